"""Reservations of engine memory and prefill capacity for runs."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhaven_decisions.forwarding import Backend, TokenDemand


class EngineReservation:
    """Accounts for a run on its engine, and for its copy on another, until released.

    Parameters
    ----------
    backend : Backend
        Engine of the run.
    holder : Backend or None
        Engine of the copy.
    demand : TokenDemand
    prefill_tokens : int
        Prompt tokens that the engine has to prefill.
    on_change : callable
        Called without arguments after each change.

    Attributes
    ----------
    prefill_tokens : int
        Prompt tokens still accounted as not prefilled.
    """

    __slots__ = ("_backend", "_demand", "_holder", "_on_change", "prefill_tokens")

    def __init__(
        self,
        backend: Backend,
        holder: Backend | None,
        demand: TokenDemand,
        prefill_tokens: int,
        on_change: Callable[[], None],
    ):
        self._backend: Backend | None = backend
        self._holder = holder
        self._demand = demand
        self._on_change = on_change
        self.prefill_tokens = prefill_tokens
        backend.run_tokens += demand.tokens
        backend.prefill_tokens += prefill_tokens
        if holder is not None:
            holder.copy_tokens += demand.tokens
        on_change()

    def release_prefill(self) -> None:
        """Account for the prompt as prefilled."""
        if self._backend is not None and self.prefill_tokens:
            self._backend.prefill_tokens -= self.prefill_tokens
            self.prefill_tokens = 0
            self._on_change()

    def replace_holder(self, holder: Backend) -> None:
        """Move the accounting of the copy to another engine.

        Parameters
        ----------
        holder : Backend
        """
        if self._backend is None:
            return
        if self._holder is not None:
            self._holder.copy_tokens -= self._demand.tokens
        self._holder = holder
        holder.copy_tokens += self._demand.tokens
        self._on_change()

    def release(self) -> None:
        """Release the run and its copy; further calls have no effect."""
        if self._backend is None:
            return
        self.release_prefill()
        self._backend.run_tokens -= self._demand.tokens
        if self._holder is not None:
            self._holder.copy_tokens -= self._demand.tokens
        self._backend = None
        self._on_change()
