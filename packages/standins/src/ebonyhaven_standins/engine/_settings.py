"""Settings of the engine stand-in."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True, slots=True)
class EngineSettings:
    """Capacity, speed and simulated faults of one engine.

    Parameters
    ----------
    name : str
        Name of the backend server.
    model : str
        Model that is loaded initially.
    capacity : int
        Maximum batch size.
    max_waiting : int
        Maximum length of the queue; further requests are refused.
    step_ms : float
        Duration of a decode step with a single sequence.
    full_step_ms : float
        Duration of a decode step with ``capacity`` sequences.
    prefill_tokens_per_s : float
        Prefill rate of uncached tokens.
    cache_blocks : int
        Capacity of the prefix cache, in blocks of 64 characters.
    load_lag_s : float
        Interval between samples of the load report.
    event_delay_s : float
        Delay before a cache event is published.
    event_loss : float
        Share of cache events that are dropped, 0 to 1.
    order_s : float
        Delay between the acceptance of an order and its effect.
    checks_fence : bool
        Whether stale fencing numbers are refused.
    time_scale : float
        Factor on all durations above; 0.1 is ten times faster.
    keep_s : float
        Retention time of the output of a finished run, not scaled.
    unattended_s : float
        Time without a subscriber after which a run is cancelled, not scaled.
    seed : int or None
        Seed of the random number generator for the dropped cache events and the random
        half of run origins.
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

    def compute_step_duration_s(self, batch_size: int) -> float:
        """Return the duration of a decode step in seconds of real time.

        Parameters
        ----------
        batch_size : int
            Number of sequences in the step.

        Returns
        -------
        float
        """
        fill_ratio = max(batch_size - 1, 0) / max(self.capacity - 1, 1)
        step_ms = self.step_ms + (self.full_step_ms - self.step_ms) * fill_ratio
        return step_ms * self.time_scale / 1000.0

    @property
    def scaled_prefill_tokens_per_s(self) -> float:
        """Prefill rate in tokens per second of real time."""
        return self.prefill_tokens_per_s / self.time_scale
