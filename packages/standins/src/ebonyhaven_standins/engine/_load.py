"""Load report, sampled at an interval."""

from __future__ import annotations

from twisted.internet import task
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_standins.engine._engine import Engine


class LoadSampler:
    """Samples the load every ``load_lag_s`` seconds times ``time_scale``.

    Reports are stale by up to this interval.

    Parameters
    ----------
    engine : Engine
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_engine", "_sample", "_sampled_at", "_sampler")

    def __init__(self, engine: Engine, clock: IReactorTime):
        self._engine = engine
        self._clock = clock
        self._sample: dict[str, object] = {}
        self._sampled_at = 0.0
        self._sampler = task.LoopingCall(self._take_sample)
        self._sampler.clock = clock
        settings = engine.settings
        self._sampler.start(max(settings.load_lag_s * settings.time_scale, 0.01))

    def report(self) -> dict[str, object]:
        """Return the last sample with its age, in milliseconds.

        Returns
        -------
        dict
        """
        age_ms = (self._clock.seconds() - self._sampled_at) * 1000.0
        return {**self._sample, "measured_ms_ago": round(age_ms, 1)}

    def _take_sample(self) -> None:
        engine = self._engine
        self._sampled_at = self._clock.seconds()
        self._sample = {
            "server": engine.settings.name,
            "running": engine.scheduler.running,
            "waiting": engine.scheduler.waiting,
            "capacity": engine.settings.capacity,
            "pace_ms": engine.scheduler.pace_ms,
            "prefill_tokens_per_s": engine.settings.scaled_prefill_tokens_per_s,
            "cached_blocks": len(engine.cache),
            "cache_capacity_blocks": engine.cache.capacity,
            "leaving": engine.state.leaving,
            "models": engine.state.describe()["models"],
        }
