"""State machine of a lease as seen by one instance."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder


class LeaseState(enum.StrEnum):
    """``HOLDING`` while this instance holds the lease, otherwise ``WATCHING``."""

    WATCHING = "watching"
    HOLDING = "holding"


class LeaseLifecycle(Protocol):
    """Inputs of the state machine of a lease."""

    def acquire(self) -> None:
        """Enter ``HOLDING``, unless already there."""

    def lose(self) -> None:
        """Enter ``WATCHING``, unless already there."""


class LeaseObserver:
    """Observer of state changes of a lease.

    Parameters
    ----------
    observe : callable
        Called with each state that is entered.
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
    """Return the state machine of a lease in the state ``WATCHING``.

    Parameters
    ----------
    observe : callable
        Called with each state that is entered.
    """
    return _make_machine(LeaseObserver(observe))
