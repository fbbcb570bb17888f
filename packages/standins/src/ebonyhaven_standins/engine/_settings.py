"""Settings of the engine stand-in."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True, slots=True)
class EngineSettings:
    """What one engine can do and how fast.

    Parameters
    ----------
    name : str
        Name of the backend server.
    model : str
        Model that is loaded at the start.
    capacity : int
        Sequences that are decoded at the same time.
    max_waiting : int
        Requests that may wait for a place; further ones are refused.
    step_ms : float
        Time of one decode step with a single sequence.
    full_step_ms : float
        Time of one decode step with ``capacity`` sequences.
    prefill_tokens_per_s : float
        Rate at which uncached prompt tokens are computed.
    cache_blocks : int
        Prefix blocks of 64 characters that fit into memory.
    load_lag_s : float
        Time between two samples of the load report.
    event_delay_s : float
        Time after which a cache event is published.
    event_loss : float
        Share of cache events that are never published, 0 to 1.
    order_s : float
        Time that an order to load takes.
    checks_fence : bool
        Whether old fencing numbers are refused.
    time_scale : float
        Factor on all durations above; 0.1 is ten times faster.
    keep_s : float
        Time for which output is kept after the end of a run, not scaled.
    unattended_s : float
        Time without a reader after which a run is cancelled, not scaled.
    seed : int
        Seed of lost cache events and of run identities.
    """

    name: str
    model: str
    capacity: int = 16
    max_waiting: int = 64
    step_ms: float = 20.0
    full_step_ms: float = 40.0
    prefill_tokens_per_s: float = 4000.0
    cache_blocks: int = 16384
    load_lag_s: float = 1.0
    event_delay_s: float = 0.5
    event_loss: float = 0.05
    order_s: float = 0.5
    checks_fence: bool = False
    time_scale: float = 1.0
    keep_s: float = 60.0
    unattended_s: float = 60.0
    seed: int | None = None

    def step_s(self, batch: int) -> float:
        """Return the time of one decode step in seconds.

        Parameters
        ----------
        batch : int
            Number of sequences in the step.

        Returns
        -------
        float
        """
        fullness = max(batch - 1, 0) / max(self.capacity - 1, 1)
        step_ms = self.step_ms + (self.full_step_ms - self.step_ms) * fullness
        return step_ms * self.time_scale / 1000.0

    @property
    def scaled_prefill_rate(self) -> float:
        """Prompt tokens computed in a second of real time."""
        return self.prefill_tokens_per_s / self.time_scale
