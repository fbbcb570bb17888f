"""Life cycle of a lease, as seen by one instance."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder


class LeaseState(enum.StrEnum):
    """States of a lease."""

    WATCHING = "watching"
    HOLDING = "holding"


class LeaseLifecycle(Protocol):
    """Inputs that move a lease from state to state."""

    def acquire(self) -> None:
        """Note that this instance holds the lease."""

    def lose(self) -> None:
        """Note that this instance does not hold the lease."""


class LeaseObserver:
    """Receives each change of state.

    Parameters
    ----------
    observe : callable
        Called with the state that was entered.
    """

    __slots__ = ("observe",)

    def __init__(self, observe: Callable[[LeaseState], None]) -> None:
        self.observe = observe


def _build() -> Callable[[LeaseObserver], LeaseLifecycle]:
    builder = TypeMachineBuilder(LeaseLifecycle, LeaseObserver)
    watching = builder.state(LeaseState.WATCHING.value)
    holding = builder.state(LeaseState.HOLDING.value)

    @watching.upon(LeaseLifecycle.acquire).to(holding)
    def enter_holding(lifecycle: LeaseLifecycle, observer: LeaseObserver) -> None:
        observer.observe(LeaseState.HOLDING)

    @holding.upon(LeaseLifecycle.lose).to(watching)
    def enter_watching(lifecycle: LeaseLifecycle, observer: LeaseObserver) -> None:
        observer.observe(LeaseState.WATCHING)

    watching.upon(LeaseLifecycle.lose).to(watching).returns(None)
    holding.upon(LeaseLifecycle.acquire).to(holding).returns(None)
    return builder.build()


_make_machine = _build()


def make_lease_lifecycle(observe: Callable[[LeaseState], None]) -> LeaseLifecycle:
    """Return a lease that is being watched.

    Parameters
    ----------
    observe : callable
        Called with each state that is entered.
    """
    return _make_machine(LeaseObserver(observe))
