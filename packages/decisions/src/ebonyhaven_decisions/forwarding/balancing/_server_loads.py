"""Loads that backend servers report of themselves."""

from __future__ import annotations

from typing import NamedTuple


class ServerLoad(NamedTuple):
    """Load that a backend server reports with a response.

    Parameters
    ----------
    running, waiting : int
        Requests of all instances.
    slots : int
        Requests that it runs concurrently.
    pace : float or None
        Time that work takes at present, as a multiple of the usual time; None if the
        server does not tell.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None

    @property
    def requests(self) -> int:
        """Running and waiting requests."""
        return self.running + self.waiting
