"""Reactor whose turns are run one at a time."""

from __future__ import annotations

from twisted.internet.testing import MemoryReactorClock

NEVER_S = 1e9


class TurnReactor(MemoryReactorClock):
    """Reactor that runs calls without a delay only when asked to."""

    def __init__(self):
        super().__init__()
        self._due = []

    def callLater(self, delay, run, *args):  # noqa: N802 Twisted API
        if delay > 0.0:
            return super().callLater(delay, run, *args)
        call = super().callLater(NEVER_S, run, *args)
        self._due.append((call, run, args))
        return call

    @property
    def has_turn(self) -> bool:
        """Whether a call without a delay is due."""
        return any(call.active() for call, _, _ in self._due)

    def run_turn(self) -> None:
        """Run the calls that are due, and none that they schedule."""
        due, self._due = self._due, []
        for call, run, args in due:
            if call.active():
                call.cancel()
                run(*args)
