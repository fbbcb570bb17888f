"""Timeouts of connections whose limits may change while they run."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime


class ConnectionTimeout:
    """Calls back once a limit has passed since the last start.

    The limit is read again when it has passed, as it may have grown. The callback comes
    one turn of the reactor later, after what has arrived while the process stood still.
    A timer that runs serves again: a cancelled one would still wake the reactor.

    Parameters
    ----------
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    on_timeout : callable
    """

    __slots__ = (
        "_clock",
        "_last_look",
        "_on_timeout",
        "_reactor",
        "_read_limit_s",
        "_since",
        "_timer",
    )

    def __init__(
        self,
        *,
        reactor: IReactorTime,
        clock: Callable[[], float],
        on_timeout: Callable[[], None],
    ):
        self._reactor = reactor
        self._clock = clock
        self._on_timeout = on_timeout
        self._timer: IDelayedCall | None = None
        self._last_look: IDelayedCall | None = None
        self._read_limit_s: Callable[[], float] | None = None
        self._since = 0.0

    def start(self, read_limit_s: Callable[[], float]) -> None:
        """Start anew with a limit.

        Parameters
        ----------
        read_limit_s : callable
            Returns seconds.
        """
        self._read_limit_s = read_limit_s
        self._since = self._clock()
        self._set_timer(read_limit_s())

    def clear(self) -> None:
        """Call back no more until the next start."""
        self._read_limit_s = None

    def close(self) -> None:
        """Cancel all timers."""
        self.clear()
        for timer in (self._timer, self._last_look):
            if timer is not None and timer.active():
                timer.cancel()

    def _set_timer(self, delay_s: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay_s)
        else:
            self._timer = self._reactor.callLater(delay_s, self._check)

    def _check(self) -> None:
        if self._is_due():
            self._last_look = self._reactor.callLater(0.0, self._end)

    def _end(self) -> None:
        if self._is_due():
            self._on_timeout()

    def _is_due(self) -> bool:
        """Return whether the limit has passed; if not, wait for the rest of it."""
        if self._read_limit_s is None:
            return False
        remaining_s = self._since + self._read_limit_s() - self._clock()
        if remaining_s > 0.0:
            self._set_timer(remaining_s)
        return remaining_s <= 0.0
