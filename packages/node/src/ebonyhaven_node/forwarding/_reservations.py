"""What one run occupies on engines, counted for placement."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhaven_decisions.forwarding import Backend, TokenDemand


class EngineReservation:
    """Counts a run on its engine and its copy on another one until released.

    Parameters
    ----------
    backend : Backend
        Engine of the run.
    holder : Backend or None
        Engine of the copy.
    demand : TokenDemand
    prefill_tokens : int
        Tokens of the prompt that have to be read.
    on_change : callable
        Called after each change.

    Attributes
    ----------
    prefill_tokens : int
        Tokens that are still counted as to be read.
    """

    __slots__ = ("_backend", "_holder", "_need", "_on_change", "prefill_tokens")

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
        self._need = demand
        self._on_change = on_change
        self.prefill_tokens = prefill_tokens
        backend.run_tokens += demand.tokens
        backend.prefill_tokens += prefill_tokens
        if holder is not None:
            holder.copy_tokens += demand.tokens
        on_change()

    def end_prefill(self) -> None:
        """Count the prompt as read."""
        if self._backend is not None and self.prefill_tokens:
            self._backend.prefill_tokens -= self.prefill_tokens
            self.prefill_tokens = 0
            self._on_change()

    def replace_holder(self, holder: Backend) -> None:
        """Count the copy on another engine.

        Parameters
        ----------
        holder : Backend
        """
        if self._backend is None:
            return
        if self._holder is not None:
            self._holder.copy_tokens -= self._need.tokens
        self._holder = holder
        holder.copy_tokens += self._need.tokens
        self._on_change()

    def release(self) -> None:
        """Count nothing any more."""
        if self._backend is None:
            return
        self.end_prefill()
        self._backend.run_tokens -= self._need.tokens
        if self._holder is not None:
            self._holder.copy_tokens -= self._need.tokens
        self._backend = None
        self._on_change()
