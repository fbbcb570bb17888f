"""How late the turns of the reactor come."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime

SAMPLE_INTERVAL_S = 0.25


class TurnLagSampler:
    """Measures how much later than asked a call comes, as all bytes wait for turns.

    Parameters
    ----------
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    observe : callable
        Called with each lag, seconds.
    """

    __slots__ = ("_call", "_clock", "_due_at", "_observe", "_reactor")

    def __init__(
        self,
        *,
        reactor: IReactorTime,
        clock: Callable[[], float],
        observe: Callable[[float], None],
    ):
        self._reactor = reactor
        self._clock = clock
        self._observe = observe
        self._call: IDelayedCall | None = None
        self._due_at = 0.0

    def start(self) -> None:
        """Measure every `SAMPLE_INTERVAL_S` from now on."""
        self._due_at = self._clock() + SAMPLE_INTERVAL_S
        self._call = self._reactor.callLater(SAMPLE_INTERVAL_S, self._sample)

    def stop(self) -> None:
        """Cancel the next measurement."""
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _sample(self) -> None:
        self._observe(max(0.0, self._clock() - self._due_at))
        self.start()
