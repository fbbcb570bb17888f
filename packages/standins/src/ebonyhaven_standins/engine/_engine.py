"""Start, attachment, cancellation and expiry of the runs of an engine."""

from __future__ import annotations

import random
from collections.abc import Mapping

import attrs
from twisted.internet import task
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_standins._execution_log import ExecutionLog
from ebonyhaven_standins.engine._orders import EngineState
from ebonyhaven_standins.engine._prefix_cache import CacheEventFeed, PrefixCache
from ebonyhaven_standins.engine._runs import Run, RunState, Subscriber
from ebonyhaven_standins.engine._scheduler import Scheduler, log_progress
from ebonyhaven_standins.engine._settings import EngineSettings
from ebonyhaven_standins.engine._tokens import (
    generate_origin,
    hash_prefixes,
    parse_origin,
)

SWEEP_INTERVAL_S = 1.0


class RefusedError(Exception):
    """The engine refused a request.

    Parameters
    ----------
    status : int
        HTTP status code.
    error : str
        Error name in the response body.
    generation : str or None
        Generation of the existing run, if the request conflicts with it.
    """

    def __init__(self, status: int, error: str, generation: str | None = None):
        super().__init__(error)
        self.status = status
        self.error = error
        self.generation = generation


@attrs.frozen(slots=True, kw_only=True)
class StartRequest:
    """Request to start or continue a run.

    Parameters
    ----------
    run_id, generation, model, prompt : str
    digest : str
        Digest of the request; has to match that of a known run with this id.
    attempt : int
        Number of the attempt, from 1.
    max_tokens : int
        Length of the whole output in tokens, including ``continue_from``.
    priority : int
        Priority in the queue; 0 is the highest.
    fence : int
        Fencing number; 0 for none.
    continue_from : tuple of str
        Texts of the output tokens that were generated before.
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
    def from_body(cls, body: Mapping) -> StartRequest:
        """Return the request in a decoded JSON body.

        Parameters
        ----------
        body : mapping

        Returns
        -------
        StartRequest

        Raises
        ------
        KeyError
            If ``run_id``, ``generation``, ``model`` or ``prompt`` is missing.
        """
        names = [field.name for field in attrs.fields(cls)]
        values = {name: body[name] for name in names if body.get(name) is not None}
        values["continue_from"] = tuple(values.get("continue_from", ()))
        if missing := [n for n in names[:4] if n not in values]:
            raise KeyError(missing[0])
        return cls(**values)


class Engine:
    """Simulated engine that starts, continues and cancels runs.

    Ended runs expire after the setting ``keep_s``, runs without a subscriber after
    ``unattended_s``.

    Parameters
    ----------
    settings : EngineSettings
    log : ExecutionLog
        Records every start, attachment, refusal and end of a run.
    clock : twisted.internet.interfaces.IReactorTime
    """

    def __init__(
        self, settings: EngineSettings, log: ExecutionLog, clock: IReactorTime
    ):
        self.settings = settings
        self.state = EngineState(settings, clock)
        self._rng = random.Random(settings.seed)
        self.feed = CacheEventFeed(
            delay_s=settings.event_delay_s * settings.time_scale,
            loss_share=settings.event_loss,
            rng=self._rng,
            clock=clock.seconds,
        )
        self.cache = PrefixCache(settings.cache_blocks, self.feed)
        self.scheduler = Scheduler(
            settings=settings,
            cache=self.cache,
            log=log,
            clock=clock,
            on_finish=self._record_end,
        )
        self._log = log
        self._clock = clock
        self._runs: dict[str, Run] = {}
        self._fences: dict[str, int] = {}
        self._arrival_count = 0
        self._sweeper = task.LoopingCall(self._sweep)
        self._sweeper.clock = clock
        self._sweeper.start(SWEEP_INTERVAL_S, now=False)

    def start(self, request: StartRequest) -> tuple[Run, int]:
        """Start or continue a run, or return the known run with the same id.

        A continuation replaces a known run that has no subscribers.

        Parameters
        ----------
        request : StartRequest

        Returns
        -------
        tuple of Run and int
            The run and the offset in tokens from which its output is requested.

        Raises
        ------
        RefusedError
            If the request was refused; no run was started.
        """
        self._check_fence(request.run_id, request.fence, request)
        offset = len(request.continue_from)
        run = self._runs.get(request.run_id)
        if run is not None:
            self._check_same_request(run, request)
        if run is not None and request.continue_from:
            self._cancel_superseded(run, request)
        elif run is not None:
            run.attempt = max(run.attempt, request.attempt)
            log_progress(self._log, "attach", run)
            return run, offset
        self._check_admissible(request)
        run = self._make_run(request)
        self._runs[run.run_id] = run
        run.unsubscribed_since = self._clock.seconds()
        log_progress(self._log, "continue" if run.prior_tokens else "start", run)
        self.scheduler.add(run)
        return run, offset

    def find(self, run_id: str, generation: str, fence: int) -> Run:
        """Return a known run and log the attachment to its output.

        Parameters
        ----------
        run_id : str
        generation : str
            Expected generation; empty matches any.
        fence : int
            Fencing number.

        Returns
        -------
        Run

        Raises
        ------
        RefusedError
            If the run is unknown or has another generation, or if the fencing
            number is stale.
        """
        self._check_fence(run_id, fence, None)
        run = self._runs.get(run_id)
        if run is None:
            raise RefusedError(404, "run_unknown")
        if generation and run.generation != generation:
            raise RefusedError(409, "run_exists", run.generation)
        log_progress(self._log, "attach", run)
        return run

    def has_subscribers(self, run_id: str) -> bool:
        """Return whether a run has subscribers.

        Parameters
        ----------
        run_id : str

        Returns
        -------
        bool
        """
        run = self._runs.get(run_id)
        return run is not None and run.has_subscribers

    def cancel(self, run_id: str, attempt: int | None) -> bool:
        """Cancel a run and discard its output.

        Parameters
        ----------
        run_id : str
        attempt : int or None
            Attempt that requests the cancellation; a run that a later attempt started
            or attached to is not cancelled. None cancels regardless of the attempt.

        Returns
        -------
        bool
            Whether a running or waiting run was cancelled.
        """
        run = self._runs.get(run_id)
        if run is None or (attempt is not None and attempt < run.attempt):
            return False
        del self._runs[run_id]
        if run.state is RunState.FINISHED:
            return False
        self.scheduler.remove(run)
        log_progress(self._log, "cancel", run)
        run.cancel()
        return True

    def detach(self, run: Run, subscriber: Subscriber) -> None:
        """Remove a subscriber whose connection was lost.

        Parameters
        ----------
        run : Run
        subscriber : Subscriber
        """
        run.detach(subscriber, self._clock.seconds())

    def _check_fence(
        self, run_id: str, fence: int, request: StartRequest | None
    ) -> None:
        highest = self._fences.get(run_id, 0)
        if self.settings.checks_fence and fence < highest:
            self._log_refusal(request, run_id, "stale_fence")
            raise RefusedError(409, "stale_fence")
        if fence > highest:
            self._fences[run_id] = fence

    def _check_same_request(self, run: Run, request: StartRequest) -> None:
        if run.generation != request.generation:
            self._log_refusal(request, request.run_id, "run_exists")
            raise RefusedError(409, "run_exists", run.generation)
        if run.digest != request.digest:
            self._log_refusal(request, request.run_id, "digest_mismatch")
            raise RefusedError(409, "digest_mismatch")

    def _cancel_superseded(self, run: Run, request: StartRequest) -> None:
        """Cancel a known run, as its output may differ from ``continue_from``."""
        if run.has_subscribers:
            self._log_refusal(request, request.run_id, "run_attended")
            raise RefusedError(409, "run_attended")
        self._check_admissible(request)
        self.cancel(run.run_id, None)

    def _check_admissible(self, request: StartRequest) -> None:
        refusal = None
        if self.state.leaving:
            refusal = RefusedError(503, "leaving")
        elif not self.state.has_model(request.model):
            refusal = RefusedError(404, "model_not_loaded")
        elif self.scheduler.is_full:
            refusal = RefusedError(429, "full")
        if refusal is not None:
            self._log_refusal(request, request.run_id, refusal.error)
            raise refusal

    def _log_refusal(
        self, request: StartRequest | None, run_id: str, error: str
    ) -> None:
        self._log.write(
            "refuse",
            run_id=run_id,
            generation=request.generation if request else None,
            attempt=request.attempt if request else None,
            error=error,
        )

    def _make_run(self, request: StartRequest) -> Run:
        self._arrival_count += 1
        prior_tokens = request.continue_from
        origin = (
            parse_origin(prior_tokens)
            if prior_tokens
            else generate_origin(request.prompt, self._rng)
        )
        return Run(
            run_id=request.run_id,
            generation=request.generation,
            attempt=request.attempt,
            digest=request.digest,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.priority,
            origin=origin,
            prior_tokens=prior_tokens,
            prefix_hashes=hash_prefixes(request.prompt),
            arrival_index=self._arrival_count,
        )

    def _record_end(self, run: Run) -> None:
        run.ended_at = self._clock.seconds()

    def _sweep(self) -> None:
        now = self._clock.seconds()
        for run in list(self._runs.values()):
            if run.ended_at is not None:
                if now - run.ended_at > self.settings.keep_s:
                    del self._runs[run.run_id]
            elif _is_unattended(run, now, self.settings.unattended_s):
                self.cancel(run.run_id, None)


def _is_unattended(run: Run, now: float, limit_s: float) -> bool:
    if run.has_subscribers or run.unsubscribed_since is None:
        return False
    return now - run.unsubscribed_since > limit_s
