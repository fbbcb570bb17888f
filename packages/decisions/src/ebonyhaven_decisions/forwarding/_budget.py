"""Bound on the repeats of a service's requests."""

from __future__ import annotations

from collections import deque

BUCKETS = 20
SAFETY = 0.85  # of the allowance: windows slide, and counts here go by steps


class RepeatBudget:
    """Share of this instance in what all instances may repeat.

    The bound holds for any span of a window's length over all instances
    together. The part that follows the requests is proportional to the requests
    that this instance takes; the fixed part is split between the instances.

    Parameters
    ----------
    ratio : float
        Repeats for each request of the window.
    window_s : float
        Length of the window, seconds.
    slack : float
        Repeats that are allowed on top, for all instances together.
    """

    __slots__ = ("_counts", "_ratio", "_slack", "_window_s", "instances")

    def __init__(self, *, ratio: float, window_s: float, slack: float):
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._counts: dict[str, deque[list[float]]] = {}
        self.instances = 1

    def record_request(self, service: str, now: float) -> None:
        """Count a request for a service.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        self._bucket(service, now)[1] += 1

    def take_repeat(self, service: str, now: float) -> bool:
        """Spend one repeat.

        Parameters
        ----------
        service : str
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether the bound allows it.
        """
        bucket = self._bucket(service, now)
        counts = self._counts[service]
        requests = sum(each[1] for each in counts)
        repeats = sum(each[2] for each in counts)
        allowed = self._ratio * requests + self._slack / max(1, self.instances)
        if repeats + 1 > SAFETY * allowed:
            return False
        bucket[2] += 1
        return True

    def give_back(self, service: str, now: float) -> None:
        """Take back a repeat that never reached a server.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        bucket = self._bucket(service, now)
        bucket[2] -= 1

    def _bucket(self, service: str, now: float) -> list[float]:
        width_s = self._window_s / BUCKETS
        number = now // width_s
        counts = self._counts.setdefault(service, deque())
        while counts and counts[0][0] <= number - BUCKETS:
            counts.popleft()
        if not counts or counts[-1][0] != number:
            counts.append([number, 0.0, 0.0])
        return counts[-1]
