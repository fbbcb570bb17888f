"""The engine: known runs, their start, attachment and cancellation."""

from __future__ import annotations

import random
from collections.abc import Mapping

import attrs
from twisted.internet import task
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_standins._execution_log import ExecutionLog
from ebonyhaven_standins.engine._orders import EngineState
from ebonyhaven_standins.engine._prefix_cache import CacheEventFeed, PrefixCache
from ebonyhaven_standins.engine._runs import Reader, Run, RunState
from ebonyhaven_standins.engine._scheduler import Scheduler, write_progress
from ebonyhaven_standins.engine._settings import EngineSettings
from ebonyhaven_standins.engine._tokens import draw_origin, hash_prefixes, read_origin

SWEEP_INTERVAL_S = 1.0


class RefusedError(Exception):
    """A call that the engine refuses.

    Parameters
    ----------
    status : int
        HTTP status code.
    error : str
        Name of the error in the body.
    generation : str or None
        Generation of the run that exists.
    """

    def __init__(self, status: int, error: str, generation: str | None = None):
        super().__init__(error)
        self.status = status
        self.error = error
        self.generation = generation


@attrs.frozen(slots=True, kw_only=True)
class Start:
    """Body of a start or continuation.

    Parameters
    ----------
    run_id, generation, model, prompt, digest : str
    attempt, max_tokens, priority, fence : int
    continue_from : tuple of str
        Texts of the output tokens that exist already.
    """

    run_id: str
    generation: str
    model: str
    prompt: str
    digest: str = ""
    attempt: int = 1
    max_tokens: int = 16
    priority: int = 0
    fence: int = 0
    continue_from: tuple[str, ...] = ()

    @classmethod
    def from_body(cls, body: Mapping) -> Start:
        """Return the start that a JSON body describes.

        Parameters
        ----------
        body : mapping

        Returns
        -------
        Start

        Raises
        ------
        KeyError
            If a required member is missing.
        """
        names = [field.name for field in attrs.fields(cls)]
        values = {name: body[name] for name in names if body.get(name) is not None}
        values["continue_from"] = tuple(values.get("continue_from", ()))
        if missing := [n for n in names[:4] if n not in values]:
            raise KeyError(missing[0])
        return cls(**values)


class Engine:
    """Composes the parts of one engine.

    Parameters
    ----------
    settings : EngineSettings
    log : ExecutionLog
    clock : twisted.internet.interfaces.IReactorTime
    """

    def __init__(
        self, settings: EngineSettings, log: ExecutionLog, clock: IReactorTime
    ):
        self.settings = settings
        self.state = EngineState(settings, clock)
        self._source = random.Random(settings.seed)
        self.feed = CacheEventFeed(
            delay_s=settings.event_delay_s * settings.time_scale,
            loss=settings.event_loss,
            source=self._source,
            clock=clock.seconds,
        )
        self.cache = PrefixCache(settings.cache_blocks, self.feed)
        self.scheduler = Scheduler(
            settings=settings,
            cache=self.cache,
            log=log,
            clock=clock,
            on_end=self._keep_ended,
        )
        self._log = log
        self._clock = clock
        self._runs: dict[str, Run] = {}
        self._fences: dict[str, int] = {}
        self._arrivals = 0
        self._sweeper = task.LoopingCall(self._sweep)
        self._sweeper.clock = clock
        self._sweeper.start(SWEEP_INTERVAL_S, now=False)

    def start(self, start: Start) -> tuple[Run, int]:
        """Start or continue a run, or find the one that is known already.

        Parameters
        ----------
        start : Start

        Returns
        -------
        tuple of Run and int
            The run and the offset from which its output is wanted.

        Raises
        ------
        RefusedError
            If nothing was started.
        """
        self._check_fence(start.run_id, start.fence, start)
        offset = len(start.continue_from)
        run = self._runs.get(start.run_id)
        if run is not None:
            self._check_same(run, start)
        if run is not None and start.continue_from:
            self._make_way(run, start)
        elif run is not None:
            run.attempt = max(run.attempt, start.attempt)
            write_progress(self._log, "attach", run)
            return run, offset
        self._check_admissible(start)
        run = self._make_run(start)
        self._runs[run.run_id] = run
        run.unattended_since = self._clock.seconds()
        write_progress(self._log, "continue" if run.given else "start", run)
        self.scheduler.add(run)
        return run, offset

    def find(self, run_id: str, generation: str, fence: int) -> Run:
        """Return a known run to attach to.

        Parameters
        ----------
        run_id : str
        generation : str
            Expected generation; empty matches any.
        fence : int

        Returns
        -------
        Run

        Raises
        ------
        RefusedError
            If the run is unknown, of another generation, or the fence is old.
        """
        self._check_fence(run_id, fence, None)
        run = self._runs.get(run_id)
        if run is None:
            raise RefusedError(404, "run_unknown")
        if generation and run.generation != generation:
            raise RefusedError(409, "run_exists", run.generation)
        write_progress(self._log, "attach", run)
        return run

    def is_attended(self, run_id: str) -> bool:
        """Tell whether somebody is attached to a run.

        Parameters
        ----------
        run_id : str

        Returns
        -------
        bool
        """
        run = self._runs.get(run_id)
        return run is not None and run.is_attended

    def cancel(self, run_id: str, attempt: int | None) -> bool:
        """Cancel a run and forget it.

        Parameters
        ----------
        run_id : str
        attempt : int or None
            A run that a later attempt took up is left alone.

        Returns
        -------
        bool
            Whether a run was cancelled.
        """
        run = self._runs.get(run_id)
        if run is None or (attempt is not None and attempt < run.attempt):
            return False
        del self._runs[run_id]
        if run.state is RunState.FINISHED:
            return False
        self.scheduler.remove(run)
        write_progress(self._log, "cancel", run)
        run.cancel()
        return True

    def detach(self, run: Run, reader: Reader) -> None:
        """Forget a reader whose connection is lost.

        Parameters
        ----------
        run : Run
        reader : Reader
        """
        run.detach(reader, self._clock.seconds())

    def _check_fence(self, run_id: str, fence: int, start: Start | None) -> None:
        highest = self._fences.get(run_id, 0)
        if self.settings.checks_fence and fence < highest:
            self._log_refusal(start, run_id, "stale_fence")
            raise RefusedError(409, "stale_fence")
        if fence > highest:
            self._fences[run_id] = fence

    def _check_same(self, run: Run, start: Start) -> None:
        if run.generation != start.generation:
            self._log_refusal(start, start.run_id, "run_exists")
            raise RefusedError(409, "run_exists", run.generation)
        if run.digest != start.digest:
            self._log_refusal(start, start.run_id, "digest_mismatch")
            raise RefusedError(409, "digest_mismatch")

    def _make_way(self, run: Run, start: Start) -> None:
        """Give up a known run, whose tokens may differ from those of the start."""
        if run.is_attended:
            self._log_refusal(start, start.run_id, "run_attended")
            raise RefusedError(409, "run_attended")
        self._check_admissible(start)
        self.cancel(run.run_id, None)

    def _check_admissible(self, start: Start) -> None:
        refusal = None
        if self.state.leaving:
            refusal = RefusedError(503, "leaving")
        elif not self.state.has_model(start.model):
            refusal = RefusedError(404, "model_not_loaded")
        elif self.scheduler.is_full:
            refusal = RefusedError(429, "full")
        if refusal is not None:
            self._log_refusal(start, start.run_id, refusal.error)
            raise refusal

    def _log_refusal(self, start: Start | None, run_id: str, error: str) -> None:
        self._log.write(
            "refuse",
            run_id=run_id,
            generation=start.generation if start else None,
            attempt=start.attempt if start else None,
            error=error,
        )

    def _make_run(self, start: Start) -> Run:
        self._arrivals += 1
        given = start.continue_from
        origin = (
            read_origin(given) if given else draw_origin(start.prompt, self._source)
        )
        return Run(
            run_id=start.run_id,
            generation=start.generation,
            attempt=start.attempt,
            digest=start.digest,
            prompt=start.prompt,
            max_tokens=start.max_tokens,
            priority=start.priority,
            origin=origin,
            given=given,
            prefixes=hash_prefixes(start.prompt),
            arrival=self._arrivals,
        )

    def _keep_ended(self, run: Run) -> None:
        run.ended_at = self._clock.seconds()

    def _sweep(self) -> None:
        now = self._clock.seconds()
        for run in list(self._runs.values()):
            if run.ended_at is not None:
                if now - run.ended_at > self.settings.keep_s:
                    del self._runs[run.run_id]
            elif _is_abandoned(run, now, self.settings.unattended_s):
                self.cancel(run.run_id, None)


def _is_abandoned(run: Run, now: float, limit_s: float) -> bool:
    if run.is_attended or run.unattended_since is None:
        return False
    return now - run.unattended_since > limit_s
