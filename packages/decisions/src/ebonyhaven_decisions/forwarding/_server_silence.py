"""Whether a backend server has stopped to answer, although it may still be listed.

Designed for a process that stands still, stopped or out of processor time, while its
kernel accepts connections and takes requests for it. It reads them once it goes on,
perhaps seconds later, so that a connection that it accepts proves nothing.
"""

from __future__ import annotations

import attrs

MIN_PATIENCE_S = 0.25  # exceeds the pauses of a loaded process
SLOW_FACTOR = 2.0  # of the patience with a server that only says that it is there
LATENCY_FACTOR = 4.0  # of the usual time to a response
TIMEOUT_SHARE = 0.8  # of the time for the request, whose end proves less


def compute_patience_s(
    *, target_latency_s: float, latency_s: float, timeout_s: float
) -> float:
    """Return how long a server may leave a short request without any sign of life.

    Parameters
    ----------
    target_latency_s : float
        Target of the request's route.
    latency_s : float
        Usual time to a response of the server.
    timeout_s : float
        Time until the request ends.

    Returns
    -------
    float
        Seconds.
    """
    patience_s = max(target_latency_s, LATENCY_FACTOR * latency_s)
    return min(patience_s, TIMEOUT_SHARE * timeout_s)


@attrs.define(slots=True, eq=False)
class ServerSilence:
    """Time for which one process of a server has left requests without a byte.

    All requests of this instance to the process count, and bytes of any response to
    one of them end the silence. A process that was unresponsive stays so until it
    sends something, even if all requests to it are given up.

    Attributes
    ----------
    since : float or None
        Time of the last byte, or of the first request after it, seconds; None if
        nothing is expected from the server.
    patience_s : float
        Time for which the server may be silent, as the slowest of its requests since
        then allows.
    """

    since: float | None = None
    patience_s: float = 0.0
    _waiting: list[float] = attrs.Factory(list)  # patience with each request
    _slow_factor: float = 1.0

    @property
    def requests(self) -> int:
        """Requests at the server whose responses are not complete."""
        return len(self._waiting)

    def record_sent(self, now: float, patience_s: float) -> None:
        """Record that a request was sent.

        Parameters
        ----------
        now : float
            Seconds.
        patience_s : float
            Time for which the server may be silent about it.
        """
        self._waiting.append(patience_s)
        if self.since is None:
            self._slow_factor = 1.0
            self._begin(now)
        else:
            self.patience_s = max(self.patience_s, self._slow_factor * patience_s)

    def record_begun(self, patience_s: float, gap_patience_s: float) -> None:
        """Record that the body of a response has begun, before it is received.

        Parameters
        ----------
        patience_s : float
            As when the request was sent.
        gap_patience_s : float
            Time for which the server may be silent about the request from now on.
        """
        self._waiting.remove(patience_s)
        self._waiting.append(gap_patience_s)

    def record_received(self, now: float) -> None:
        """Record that bytes of a response arrived.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._slow_factor = 1.0
        self._begin(now)

    def record_alive(self, now: float) -> None:
        """Record that the server says that it is there, and leaves requests waiting.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._slow_factor *= SLOW_FACTOR
        self._begin(now)

    def record_ended(self, now: float, patience_s: float) -> None:
        """Record that a request was completed or given up.

        Parameters
        ----------
        now : float
            Seconds.
        patience_s : float
            That applied to it last.
        """
        self._waiting.remove(patience_s)
        if not self._waiting and not self.is_unresponsive(now):
            self.since = None

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the server has been silent for longer than it may be.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return self.since is not None and now - self.since > self.patience_s

    def _begin(self, now: float) -> None:
        """Count the silence from now on, about the requests that are waiting now."""
        self.since = now if self._waiting else None
        patience_s = max(self._waiting, default=0.0)
        self.patience_s = self._slow_factor * max(patience_s, MIN_PATIENCE_S)
