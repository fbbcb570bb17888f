"""What a server in need asks of all instances together."""

from __future__ import annotations

from typing import NamedTuple


class ServerLimits(NamedTuple):
    """Limits that a server names in its answers.

    Parameters
    ----------
    requests_per_s : float or None
        Requests that it takes; None for no limit.
    refusals_per_s : int or None
        Requests that it can refuse for lack of room without ending; None if it is not
        brittle.
    """

    requests_per_s: float | None = None
    refusals_per_s: int | None = None


NO_LIMITS = ServerLimits()
