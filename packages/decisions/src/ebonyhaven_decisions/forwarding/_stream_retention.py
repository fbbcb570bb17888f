"""For how long a stream that began may still be taken up again.

What instances know of a stream has to last as long as the stream itself: until its
deadline, whether its servers have ended it or not, and until its caller has come back.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from ebonyhaven_decisions.forwarding._routes import RequestKind, RoutingConfiguration

MIN_RETENTION_S = 30.0  # also before a configuration is known
RETURN_S = 5.0  # after its deadline, in which a caller that waits longer comes back


class _Period(NamedTuple):
    """Time in which the same retention was enough.

    Parameters
    ----------
    retention_s : float
    began_at, ended_at : float
        Seconds; infinite if unknown, and if the period has not ended.
    """

    retention_s: float
    began_at: float
    ended_at: float = math.inf


class StreamRetention:
    """Retention of what is known of streams, from the timeouts of their routes.

    A configuration with other timeouts affects the streams that begin under it. Those
    that began before keep theirs.
    """

    __slots__ = ("_periods",)

    def __init__(self) -> None:
        self._periods: list[_Period] = []

    def apply(self, configuration: RoutingConfiguration, now: float) -> None:
        """Record that a configuration is in force.

        Parameters
        ----------
        configuration : RoutingConfiguration
        now : float
            Seconds.
        """
        retention_s = RETURN_S + _find_longest_timeout_s(configuration)
        began_at = -math.inf
        if self._periods:
            latest = self._periods[-1]
            if latest.retention_s == retention_s:
                return
            self._periods[-1] = latest._replace(ended_at=now)
            began_at = now
        self._periods = [each for each in self._periods if _is_open(each, now)]
        self._periods.append(_Period(retention_s, began_at))

    def get_s(self, now: float) -> float:
        """Return the age of the oldest stream that may be taken up, seconds.

        Parameters
        ----------
        now : float
            Seconds.
        """
        ages_s = [
            min(each.retention_s, now - each.began_at)
            for each in self._periods
            if _is_open(each, now)
        ]
        return max([MIN_RETENTION_S, *ages_s])


def _is_open(period: _Period, now: float) -> bool:
    """Return whether streams that began in a period may still be taken up."""
    return now <= period.ended_at + period.retention_s


def _find_longest_timeout_s(configuration: RoutingConfiguration) -> float:
    return max(
        (
            route.timeout_s
            for routes in configuration.routes.values()
            for route in routes
            if route.kind is RequestKind.STREAM
        ),
        default=0.0,
    )
