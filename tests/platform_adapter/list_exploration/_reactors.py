"""Reactor of one simulated instance, which can be frozen and killed."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.task import Clock


class TimedCall:
    """Scheduled call of an instance; see `IDelayedCall`."""

    def __init__(self, reactor: InstanceReactor, delay: float, call: Callable):
        self._reactor = reactor
        self._call = call
        self._is_active = True
        self._timer = reactor.world.callLater(max(0.0, delay), self.run)

    def active(self) -> bool:
        return self._is_active

    def cancel(self) -> None:
        self._is_active = False
        if self._timer.active():
            self._timer.cancel()

    def getTime(self) -> float:  # noqa: N802 Twisted API
        return self._timer.getTime()

    def reset(self, delay: float) -> None:
        self._timer.reset(delay)

    def run(self) -> None:
        if self._reactor.is_dead or not self._is_active:
            return
        if self._reactor.is_frozen:
            self._reactor.held.append(self)
            return
        self._is_active = False
        self._call()


class InstanceReactor:
    """Clock and timers of one process on the time of the world."""

    def __init__(self, world: Clock):
        self.world = world
        self.is_frozen = False
        self.is_dead = False
        self.held: list[TimedCall] = []

    def seconds(self) -> float:
        return self.world.seconds()

    def callLater(self, delay, call, *args, **kwargs) -> TimedCall:  # noqa: N802
        return TimedCall(self, delay, lambda: call(*args, **kwargs))

    def thaw(self) -> None:
        """Run what was due while the process was frozen, in its order."""
        self.is_frozen = False
        held, self.held = self.held, []
        for call in held:
            call.run()
