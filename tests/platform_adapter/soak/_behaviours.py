"""What servers of a soak do wrong, by place or by version."""

from __future__ import annotations

import attrs
from twisted.internet import reactor


@attrs.define
class ServerFaults:
    """Shares of the requests that servers treat in a faulty way."""

    lost_answers: float = 0.0
    extra_answers: float = 0.0
    extra_without_id: float = 0.0
    own_errors: float = 0.05
    named_limits: dict[str, float] = attrs.Factory(dict)  # by name of the place
    named_rests: dict[str, float] = attrs.Factory(dict)  # seconds, likewise
    paces: dict[str, float] = attrs.Factory(dict)  # times the usual work, likewise
    brittle_limit: int | None = None  # refusals a second, of all plain servers
    refuses_waiting: bool = False  # requests for which no slot is free


@attrs.frozen
class VersionFault:
    """What a bad version of the servers' software does.

    Parameters
    ----------
    error_share : float
        Of the requests that it runs.
    slow_factor : float
        Of the time that they take.
    path : str
        Prefix of the requests that show it.
    since : float
        Seconds of the reactor's clock.
    """

    error_share: float = 0.0
    slow_factor: float = 1.0
    path: str = "/"
    since: float = 0.0

    def is_shown(self, path: str) -> bool:
        return path.startswith(self.path) and reactor.seconds() >= self.since
