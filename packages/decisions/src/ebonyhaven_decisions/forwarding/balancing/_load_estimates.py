"""Expectation of the load and the pace of one server from what it reported."""

from __future__ import annotations

import math

import attrs

from ebonyhaven_decisions.forwarding.balancing._server_loads import ServerLoad

USUAL_S = 2.0  # over which the usual load and pace of a server are averaged
USUAL_TTL_S = 10.0  # after which its usual load says little about the present one
# A server has replaced what it ran after a few of its service times.
MEMORY_SERVICE_TIMES = 0.7
PACE_MEMORY_S = 1.5  # for which a pace that a server told predicts its work
USUAL_SHARE = 0.5  # of a server's own usual load beside the mean of its service


@attrs.define(slots=True, eq=False)
class LoadEstimate:
    """What a server's reports say about its load and pace at a later time.

    A report ages into the usual load, as the requests that it counted end and others
    take their places. It does not fade to an idle server.

    Attributes
    ----------
    others : float
        Requests of other instances in the last report.
    reported_at : float
        Time of the last report, seconds.
    is_shared : bool
        Whether other instances have the last report as well.
    requests_per_slot : float
        Requests of all instances in the last report, per slot; 0 before the first.
    predicted_pace_log : float or None
        Logarithm of the pace that was expected when the last report came; None if the
        server had told none.
    slowness_log : float
        Logarithm of the server's time for the same work at the same pace, relative to
        the other servers.
    usual_pace_log : float
        Logarithm of the pace that the server usually told.
    """

    others: float = 0.0
    reported_at: float = -math.inf
    is_shared: bool = False
    requests_per_slot: float = 0.0
    predicted_pace_log: float | None = None
    slowness_log: float = 0.0
    usual_pace_log: float = 0.0
    _usual: float = 0.0
    _pace_log: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether the server has reported its load."""
        return self.reported_at != -math.inf

    def record(
        self, load: ServerLoad, *, in_flight: int, now: float, is_shared: bool = False
    ) -> None:
        """Take in a report.

        Parameters
        ----------
        load : ServerLoad
        in_flight : int
            Requests of this instance among those that the server counted.
        now : float
            Time at which the server counted, seconds; reports older than the last
            one are left out.
        is_shared : bool
            Whether other instances have the same report.
        """
        if now < self.reported_at:
            return
        share = 1.0 - math.exp((self.reported_at - now) / USUAL_S)
        self.others = max(0.0, float(load.requests - in_flight))
        self._usual += share * (self.others - self._usual)
        self._record_pace(load.pace, share, now)
        self.requests_per_slot = load.requests / max(1, load.slots)
        self.reported_at = now
        self.is_shared = is_shared

    def expect_usual(self, now: float, mean: float) -> float:
        """Return the requests of others that the server usually has.

        Parameters
        ----------
        now : float
            Seconds.
        mean : float
            Mean requests of others at the servers of its service.
        """
        if not self.is_known:
            return mean
        age_s = max(0.0, now - self.reported_at)
        share = USUAL_SHARE * math.exp(-age_s / USUAL_TTL_S)
        return mean + share * (self._usual - mean)

    def expect_others(self, now: float, *, usual: float, service_s: float) -> float:
        """Return the requests of others that the server is expected to have now.

        Parameters
        ----------
        now : float
            Seconds.
        usual : float
            See `expect_usual`.
        service_s : float
            Time that a request takes at the server, seconds.
        """
        if not self.is_known:
            return usual
        age_s = max(0.0, now - self.reported_at)
        weight = math.exp(-age_s / (MEMORY_SERVICE_TIMES * service_s))
        return usual + weight * (self.others - usual)

    def expect_pace_log(self, now: float) -> float | None:
        """Return the logarithm of the expected pace; None if the server tells none.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self._pace_log is None:
            return None
        age_s = max(0.0, now - self.reported_at)
        deviation = self._pace_log - self.usual_pace_log
        return self.usual_pace_log + deviation * math.exp(-age_s / PACE_MEMORY_S)

    def _record_pace(self, pace: float | None, share: float, now: float) -> None:
        self.predicted_pace_log = self.expect_pace_log(now)
        if pace is None:
            self._pace_log = None
            return
        if self._pace_log is None:
            share = 1.0
        self._pace_log = math.log(pace)
        self.usual_pace_log += share * (self._pace_log - self.usual_pace_log)
