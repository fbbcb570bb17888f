"""Continuous batching: admission, prefill and decode steps."""

from __future__ import annotations

import os
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from ebonyhaven_standins._execution_log import ExecutionLog
from ebonyhaven_standins.engine._prefix_cache import PrefixCache
from ebonyhaven_standins.engine._runs import Run, RunState
from ebonyhaven_standins.engine._settings import EngineSettings

# A prompt that contains this text crashes the engine at its prefill.
CRASH_MARKER = "[[crash]]"
CRASH_EXIT_CODE = 70
PROGRESS_INTERVAL_TOKENS = 8


class Scheduler:
    """Executes the prefill and decode steps of the batch on a reactor timer.

    Parameters
    ----------
    settings : EngineSettings
    cache : PrefixCache
    log : ExecutionLog
    clock : twisted.internet.interfaces.IReactorTime
    on_finish : callable
        Called with each finished run.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_decoding",
        "_log",
        "_on_finish",
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
        on_finish: Callable[[Run], None],
    ):
        self._settings = settings
        self._cache = cache
        self._log = log
        self._clock = clock
        self._on_finish = on_finish
        self._waiting: list[Run] = []
        self._prefilling: list[Run] = []
        self._decoding: list[Run] = []
        self._timer = None

    @property
    def running(self) -> int:
        """Number of runs in the batch."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Number of queued runs."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether the queue is full, so that further runs are refused."""
        return len(self._waiting) >= self._settings.max_waiting

    @property
    def pace_ms(self) -> float:
        """Current interval between tokens, in milliseconds of real time."""
        return (
            self._settings.compute_step_duration_s(max(len(self._decoding), 1)) * 1000.0
        )

    def add(self, run: Run) -> None:
        """Queue a run and start the step timer if it is stopped.

        Parameters
        ----------
        run : Run
        """
        self._waiting.append(run)
        self._waiting.sort(key=_scheduling_key)
        if self._timer is None:
            self._admit()
            self._schedule_step()

    def remove(self, run: Run) -> None:
        """Remove a cancelled run from the queue or the batch.

        Parameters
        ----------
        run : Run
        """
        for group in (self._waiting, self._prefilling, self._decoding):
            if run in group:
                group.remove(run)
        if run.state is RunState.PREFILLING:
            run.unlogged_prefill_tokens = int(
                run.planned_prefill_tokens - run.remaining_prefill_tokens
            )

    def _schedule_step(self) -> None:
        duration_s = self._settings.compute_step_duration_s(max(len(self._decoding), 1))
        self._timer = self._clock.callLater(duration_s, self._step, duration_s)

    def _step(self, duration_s: float) -> None:
        self._timer = None
        for run in list(self._decoding):
            self._decode(run)
        self._prefill(self._settings.scaled_prefill_tokens_per_s * duration_s)
        self._admit()
        if self.running or self._waiting:
            self._schedule_step()

    def _admit(self) -> None:
        while self._waiting and self.running < self._settings.capacity:
            run = self._waiting.pop(0)
            run.plan_prefill(self._cache.count_cached(run.prefix_hashes))
            self._prefilling.append(run)
            self._prefilling.sort(key=_scheduling_key)

    def _prefill(self, budget: float) -> None:
        while self._prefilling and budget > 0:
            run = self._prefilling[0]
            self._crash_if_requested(run)
            spent = min(budget, run.remaining_prefill_tokens)
            run.remaining_prefill_tokens -= spent
            budget -= spent
            if run.remaining_prefill_tokens > 0:
                return
            self._prefilling.pop(0)
            self._begin_decoding(run)

    def _begin_decoding(self, run: Run) -> None:
        self._cache.store(run.prefix_hashes)
        run.unlogged_prefill_tokens = run.planned_prefill_tokens
        run.state = RunState.DECODING
        self._decoding.append(run)
        log_progress(self._log, "token_count", run)
        if run.offset >= run.max_tokens:
            self._finish(run)

    def _decode(self, run: Run) -> None:
        run.decode_token()
        if run.offset >= run.max_tokens:
            self._finish(run)
        elif run.unlogged_decoded_tokens >= PROGRESS_INTERVAL_TOKENS:
            log_progress(self._log, "token_count", run)

    def _finish(self, run: Run) -> None:
        self._decoding.remove(run)
        # Logged before it is sent: the checker looks up the end of every received
        # output in the log, also after a kill.
        log_progress(self._log, "finish", run)
        run.finish()
        self._on_finish(run)

    def _crash_if_requested(self, run: Run) -> None:
        if CRASH_MARKER not in run.prompt:
            return
        for other in self._decoding:
            log_progress(self._log, "token_count", other)
        log_progress(self._log, "crash", run)
        os._exit(CRASH_EXIT_CODE)


def log_progress(log: ExecutionLog, event: str, run: Run) -> None:
    """Log an event of a run with the tokens computed since its last log line.

    Parameters
    ----------
    log : ExecutionLog
    event : str
        Kind of event.
    run : Run
    """
    prefilled, decoded = run.pop_unlogged_counts()
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


def _scheduling_key(run: Run) -> tuple[int, int]:
    return run.priority, run.arrival_index
