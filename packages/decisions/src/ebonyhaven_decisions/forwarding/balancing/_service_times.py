"""Times that the requests of a service take, by route, server and told pace."""

from __future__ import annotations

import math

from ebonyhaven_decisions.forwarding.balancing._load_estimates import LoadEstimate

DEFAULT_SERVICE_S = 0.5  # until the first answer
MIN_SERVICE_S = 0.0005
TIME_SMOOTHING_FACTOR = 0.05
SLOWNESS_SMOOTHING_FACTOR = 0.05
# The time of an answer is the only sign of a server's load if it reports none.
UNREPORTED_SMOOTHING_FACTOR = 0.2
MAX_RATIO_LOG = 3.0  # of one answer's time to the usual one
PRIOR_WEIGHT = 1.0  # of the assumption that work takes as long as the pace says
FORGOTTEN_SHARE = 0.005  # of what was learned about paces, for each answer


class ServiceTimes:
    """Usual times of the requests of one service, as one instance sees them.

    How far a told pace predicts the time of an answer is learned: figures that change
    faster than answers come, or say nothing about the work, lose their weight.

    Attributes
    ----------
    usual_s : float
        Time of a request of any route on a usual server, seconds.
    """

    __slots__ = (
        "_by_route",
        "_count",
        "_counts",
        "_covariance",
        "_variance",
        "usual_s",
    )

    def __init__(self) -> None:
        self._by_route: dict[str, float] = {}
        self._counts: dict[str, int] = {}
        self._count = 0
        self.usual_s = DEFAULT_SERVICE_S
        self._covariance = PRIOR_WEIGHT
        self._variance = PRIOR_WEIGHT

    @property
    def pace_trust(self) -> float:
        """How far times follow the told paces, from 0 (not at all) to 1."""
        return max(0.0, min(1.0, self._covariance / self._variance))

    def estimate_factor(self, estimate: LoadEstimate, now: float) -> float:
        """Return how long work takes at a server, as a multiple of the usual time.

        Parameters
        ----------
        estimate : LoadEstimate
        now : float
            Seconds.
        """
        pace_log = estimate.expect_pace_log(now)
        if pace_log is None:
            return math.exp(estimate.slowness_log)
        return math.exp(estimate.slowness_log + self.pace_trust * pace_log)

    def estimate_delay_factor(self, estimate: LoadEstimate, now: float) -> float:
        """Return how much longer work takes at a server now than it usually does there.

        Parameters
        ----------
        estimate : LoadEstimate
        now : float
            Seconds.

        Returns
        -------
        float
            At least 1; 1 for a server that tells no pace.
        """
        pace_log = estimate.expect_pace_log(now)
        if pace_log is None:
            return 1.0
        return math.exp(
            max(0.0, self.pace_trust * (pace_log - estimate.usual_pace_log))
        )

    def record_answer(
        self, estimate: LoadEstimate, *, route: str, latency_s: float
    ) -> None:
        """Learn from the time of a successful answer, after its report of the load.

        Parameters
        ----------
        estimate : LoadEstimate
            Of the server that answered.
        route : str
        latency_s : float
            Seconds from sending the request to the complete response.
        """
        # The share of the time for which the request did not wait for a slot.
        service_s = latency_s / max(1.0, estimate.requests_per_slot)
        service_s = max(MIN_SERVICE_S, service_s)
        pace_log = estimate.predicted_pace_log
        if pace_log is not None and route in self._by_route:
            ratio_log = _compare(service_s, self._by_route[route])
            self._learn_pace(pace_log, ratio_log - estimate.slowness_log)
        usual_pace_s = service_s * math.exp(-self.pace_trust * (pace_log or 0.0))
        self._record_time(route, usual_pace_s)
        factor = (
            SLOWNESS_SMOOTHING_FACTOR
            if estimate.is_known
            else UNREPORTED_SMOOTHING_FACTOR
        )
        slowness_log = _compare(usual_pace_s, self._by_route[route])
        estimate.slowness_log += factor * (slowness_log - estimate.slowness_log)

    def _learn_pace(self, pace_log: float, ratio_log: float) -> None:
        self._covariance += FORGOTTEN_SHARE * (PRIOR_WEIGHT - self._covariance)
        self._covariance += pace_log * ratio_log
        self._variance += FORGOTTEN_SHARE * (PRIOR_WEIGHT - self._variance)
        self._variance += pace_log * pace_log

    def _record_time(self, route: str, time_s: float) -> None:
        count = self._counts[route] = self._counts.get(route, 0) + 1
        factor = max(TIME_SMOOTHING_FACTOR, 1.0 / count)
        known_s = self._by_route.get(route, time_s)
        self._by_route[route] = known_s + factor * (time_s - known_s)
        self._count += 1
        factor = max(TIME_SMOOTHING_FACTOR, 1.0 / self._count)
        self.usual_s += factor * (time_s - self.usual_s)


def _compare(time_s: float, usual_s: float) -> float:
    ratio_log = math.log(time_s / usual_s)
    return max(-MAX_RATIO_LOG, min(MAX_RATIO_LOG, ratio_log))
