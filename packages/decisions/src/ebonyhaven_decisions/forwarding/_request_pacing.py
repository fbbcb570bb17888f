"""Pacing of requests to a server that limits those of all instances together.

Designed for many instances before a server that takes a few requests a second. Equal
shares would let each idle instance save up a request, and all of them send it at once.
Therefore only some instances, the holders, send to such a server.
"""

from __future__ import annotations

import math

SPARE_HOLDERS = 3  # beyond one for each request a second; some have few callers
SAVED_S = 0.5  # time for which a holder saves up requests, if that is more than one
# Without an answer for this long, the limit may have ended: all instances have a share.
CONFIRMATION_TTL_S = 10.0
MIN_RATE_PER_S = 0.1  # of all instances, so that the end of a limit of 0 is found


def count_holders(limit: float, instances: int) -> int:
    """Return how many instances send requests to a server.

    Parameters
    ----------
    limit : float
        Requests per second from all instances together.
    instances : int
        Instances that could send requests.

    Returns
    -------
    int
    """
    return max(1, min(instances, int(limit) + SPARE_HOLDERS))


class RequestPacer:
    """Paces the requests of one instance to one process of a server.

    Without a limit, all requests may be sent.

    Attributes
    ----------
    limit : float or None
        Requests per second from all instances together; None for no limit.
    confirmed_at : float
        Time of the last answer to any instance that named the limit, seconds.
    """

    __slots__ = (
        "_instances",
        "_is_holder",
        "_saved",
        "_updated_at",
        "confirmed_at",
        "limit",
    )

    def __init__(self) -> None:
        self.limit: float | None = None
        self.confirmed_at = -math.inf
        self._instances = 1
        self._is_holder = True
        self._saved = 1.0
        self._updated_at = -math.inf

    def set_limit(self, limit: float | None, now: float) -> None:
        """Set the limit that an answer of the server names, or that it names none.

        Parameters
        ----------
        limit : float or None
        now : float
            Seconds.
        """
        self._save_up(now)
        self.limit = limit
        self.confirmed_at = now

    def set_share(self, *, rank: int, instances: int, now: float) -> None:
        """Set this instance's part in the limit.

        Parameters
        ----------
        rank : int
            Its place in an order of the instances that differs with the server; the
            first `count_holders` of them send requests.
        instances : int
            Instances that could send requests, this one included.
        now : float
            Seconds.
        """
        self._save_up(now)
        is_holder = self.limit is not None and (
            rank < count_holders(self.limit, instances)
        )
        if not (is_holder and self._is_holder):
            self._saved = 0.0  # the instance that it replaces may just have sent one
        self._is_holder = is_holder
        self._instances = max(1, instances)

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.limit is None:
            return True
        self._save_up(now)
        return self._saved >= 1.0

    def record_sent(self, now: float) -> None:
        """Count a request that is sent.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._save_up(now)
        self._saved = max(0.0, self._saved - 1.0)

    def find_next(self, now: float) -> float:
        """Return when the next request may be sent, as far as is known.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds; infinite if the requests are left to other instances.
        """
        if self.may_send(now):
            return now
        rate = self.compute_rate(now)
        return now + (1.0 - self._saved) / rate if rate else math.inf

    def compute_rate(self, now: float) -> float:
        """Return how many requests per second this instance may send.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
            Infinite without a limit.
        """
        if self.limit is None:
            return math.inf
        limit = max(self.limit, MIN_RATE_PER_S)
        if now - self.confirmed_at > CONFIRMATION_TTL_S:
            return limit / self._instances
        return limit / count_holders(limit, self._instances) if self._is_holder else 0.0

    def _save_up(self, now: float) -> None:
        elapsed_s, self._updated_at = now - self._updated_at, now
        if self.limit is None or not math.isfinite(elapsed_s):
            return
        rate = self.compute_rate(now)
        most = max(1.0, SAVED_S * rate)
        self._saved = min(most, self._saved + rate * elapsed_s)
