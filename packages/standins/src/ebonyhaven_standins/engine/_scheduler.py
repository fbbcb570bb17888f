"""Continuous batching: admission, prefill and decode steps on one timer."""

from __future__ import annotations

import os
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from ebonyhaven_standins._execution_log import ExecutionLog
from ebonyhaven_standins.engine._prefix_cache import PrefixCache
from ebonyhaven_standins.engine._runs import Run, RunState
from ebonyhaven_standins.engine._settings import EngineSettings

CRASH_MARK = "[[crash]]"
CRASH_EXIT_CODE = 70
COUNT_INTERVAL_TOKENS = 8


class Scheduler:
    """Runs the batch, one reactor timer a step.

    Parameters
    ----------
    settings : EngineSettings
    cache : PrefixCache
    log : ExecutionLog
    clock : twisted.internet.interfaces.IReactorTime
    on_end : callable
        Called with each run that has finished.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_decoding",
        "_log",
        "_on_end",
        "_prefilling",
        "_settings",
        "_timer",
        "_waiting",
    )

    def __init__(
        self,
        *,
        settings: EngineSettings,
        cache: PrefixCache,
        log: ExecutionLog,
        clock: IReactorTime,
        on_end: Callable[[Run], None],
    ):
        self._settings = settings
        self._cache = cache
        self._log = log
        self._clock = clock
        self._on_end = on_end
        self._waiting: list[Run] = []
        self._prefilling: list[Run] = []
        self._decoding: list[Run] = []
        self._timer = None

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Number of runs that wait for a place."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether a further run is refused."""
        return len(self._waiting) >= self._settings.max_waiting

    @property
    def pace_ms(self) -> float:
        """Present gap between tokens in milliseconds of real time."""
        return self._settings.step_s(max(len(self._decoding), 1)) * 1000.0

    def add(self, run: Run) -> None:
        """Queue a run and start stepping.

        Parameters
        ----------
        run : Run
        """
        self._waiting.append(run)
        self._waiting.sort(key=_order)
        if self._timer is None:
            self._admit()
            self._schedule_step()

    def remove(self, run: Run) -> None:
        """Take a run out of the queue or batch, for cancellation.

        Parameters
        ----------
        run : Run
        """
        for group in (self._waiting, self._prefilling, self._decoding):
            if run in group:
                group.remove(run)
        if run.state is RunState.PREFILLING:
            run.unlogged_prefill = int(run.prefill_planned - run.prefill_left)

    def _schedule_step(self) -> None:
        duration_s = self._settings.step_s(max(len(self._decoding), 1))
        self._timer = self._clock.callLater(duration_s, self._step, duration_s)

    def _step(self, duration_s: float) -> None:
        self._timer = None
        for run in list(self._decoding):
            self._decode(run)
        self._prefill(self._settings.scaled_prefill_rate * duration_s)
        self._admit()
        if self.running or self._waiting:
            self._schedule_step()

    def _admit(self) -> None:
        while self._waiting and self.running < self._settings.capacity:
            run = self._waiting.pop(0)
            run.plan_prefill(self._cache.count_cached(run.prefixes))
            self._prefilling.append(run)
            self._prefilling.sort(key=_order)

    def _prefill(self, budget: float) -> None:
        while self._prefilling and budget > 0:
            run = self._prefilling[0]
            self._crash_if_asked(run)
            spent = min(budget, run.prefill_left)
            run.prefill_left -= spent
            budget -= spent
            if run.prefill_left > 0:
                return
            self._prefilling.pop(0)
            self._begin_decoding(run)

    def _begin_decoding(self, run: Run) -> None:
        self._cache.store(run.prefixes)
        run.unlogged_prefill = run.prefill_planned
        run.state = RunState.DECODING
        self._decoding.append(run)
        write_progress(self._log, "token_count", run)
        if run.offset >= run.max_tokens:
            self._finish(run)

    def _decode(self, run: Run) -> None:
        run.decode_token()
        if run.offset >= run.max_tokens:
            self._finish(run)
        elif run.unlogged_decoded >= COUNT_INTERVAL_TOKENS:
            write_progress(self._log, "token_count", run)

    def _finish(self, run: Run) -> None:
        self._decoding.remove(run)
        # Logged first: what a reader has seen must be in the log.
        write_progress(self._log, "finish", run)
        run.finish()
        self._on_end(run)

    def _crash_if_asked(self, run: Run) -> None:
        if CRASH_MARK not in run.prompt:
            return
        for other in self._decoding:
            write_progress(self._log, "token_count", other)
        write_progress(self._log, "crash", run)
        os._exit(CRASH_EXIT_CODE)


def write_progress(log: ExecutionLog, event: str, run: Run) -> None:
    """Log an event of a run with the work done since its last line.

    Parameters
    ----------
    log : ExecutionLog
    event : str
    run : Run
    """
    prefilled, decoded = run.take_unlogged()
    log.write(
        event,
        run_id=run.run_id,
        generation=run.generation,
        attempt=run.attempt,
        offset=run.offset,
        prefill_tokens=prefilled,
        decoded_tokens=decoded,
        origin=run.origin,
    )


def _order(run: Run) -> tuple[int, int]:
    return run.priority, run.arrival
