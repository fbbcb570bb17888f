"""Detects silence on the stream of a run and measures the recovery."""

from __future__ import annotations

import time
from collections.abc import Callable

from ebonyhaven_decisions import ResumePlan, StreamPace, plan_resume
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._metrics import RunMetrics, observe
from ebonyhaven_node._runs import Run

EXPECTED_PREFILL_TOKENS_PER_S = 4000.0
# A responding engine is waited for until the number of consecutive probes without a
# new token exceeds these limits.
MAX_IDLE_PROBES = 2
MAX_IDLE_PROBES_BEFORE_FIRST_TOKEN = 5


class SilenceDetector:
    """Detects silence on the stream of a run from the arrival times of its tokens.

    Parameters
    ----------
    run : Run
    resume_target_s : float
        Resume target of the class, seconds.
    metrics : RunMetrics
    reactor : IReactorTime
    on_silence : callable
        Called when the silence timeout expires, once per call of `arm`.

    Attributes
    ----------
    accepted_at : float
        Monotonic time at which the request was accepted, seconds.
    """

    __slots__ = (
        "_awaits_prefill",
        "_idle_probe_count",
        "_last_token_at",
        "_metrics",
        "_on_silence",
        "_pace",
        "_reactor",
        "_resume_target_s",
        "_run",
        "_suspected_since",
        "_timer",
        "accepted_at",
    )

    def __init__(
        self,
        *,
        run: Run,
        resume_target_s: float,
        metrics: RunMetrics,
        reactor: IReactorTime,
        on_silence: Callable[[], None],
    ):
        self._run = run
        self._resume_target_s = resume_target_s
        self._metrics = metrics
        self._reactor = reactor
        self._on_silence = on_silence
        self._pace = StreamPace()
        self._idle_probe_count = 0
        self._awaits_prefill = True
        self._suspected_since: float | None = None
        self._timer = None
        self.accepted_at = time.monotonic()
        self._last_token_at = self.accepted_at

    def compute_resume_plan(self) -> ResumePlan:
        """Return the timeouts of the stream in its current state."""
        awaits_first = self._awaits_prefill or not self._run.texts
        prefill_s = self._estimate_prefill_s()
        return plan_resume(
            resume_target_s=self._resume_target_s,
            pace=self._pace,
            continuation_s=prefill_s + self._pace.gap_s,
            first_token_expected_s=prefill_s if awaits_first else None,
        )

    def arm(self) -> None:
        """Start the silence timer.

        Tokens do not reset the timer; arrival times are compared when it expires.
        """
        self.disarm()
        if self._run.ended:
            return
        delay_s = self.compute_resume_plan().suspect_after_s * 2**self._idle_probe_count
        armed_at = time.monotonic()
        self._timer = self._reactor.callLater(delay_s, self._check, armed_at, delay_s)

    def disarm(self) -> None:
        """Stop the silence timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def record_arrival(self) -> bool:
        """Record tokens; call this before they are appended to the run.

        Returns
        -------
        bool
            Whether the run was suspected.
        """
        now = time.monotonic()
        if not self._run.texts:
            observe(self._metrics.first_token, now - self.accepted_at)
        else:
            self._record_gap(now - self._last_token_at)
        resumed = self._suspected_since is not None
        if resumed:
            observe(self._metrics.resume, now - self._suspected_since)
            self._suspected_since = None
        self._awaits_prefill = False
        self._idle_probe_count = 0
        self._last_token_at = now
        return resumed

    def record_suspicion(self, *, since: float | None = None) -> None:
        """Record that the run is suspected.

        Parameters
        ----------
        since : float, optional
            Monotonic time of the loss, seconds; by default, the time of the last
            token.
        """
        if self._suspected_since is None:
            self._suspected_since = self._last_token_at if since is None else since

    def record_dispatch(self) -> None:
        """Record that an attempt was sent, so that a prefill precedes its tokens."""
        self._awaits_prefill = True

    def record_probe(self) -> None:
        """Record a probe, which doubles the next silence timeout."""
        self._idle_probe_count += 1

    def allows_waiting(self) -> bool:
        """Return whether to wait for an engine that has answered a probe.

        The limit is higher before the first token: restarting a queued run
        elsewhere would add to the load that delays it.

        Returns
        -------
        bool
        """
        limit = (
            MAX_IDLE_PROBES if self._run.texts else MAX_IDLE_PROBES_BEFORE_FIRST_TOKEN
        )
        return self._idle_probe_count <= limit

    def _record_gap(self, gap_s: float) -> None:
        observe(self._metrics.gap, gap_s)
        if self._suspected_since is None:
            self._pace.record_gap(gap_s)

    def _estimate_prefill_s(self) -> float:
        tokens = self._run.request.prompt_tokens + len(self._run.texts)
        return tokens / EXPECTED_PREFILL_TOKENS_PER_S

    def _check(self, armed_at: float, delay_s: float) -> None:
        self._timer = None
        silent_since = max(armed_at, self._last_token_at)
        remaining_s = silent_since + delay_s - time.monotonic()
        if remaining_s <= 0:
            self._on_silence()
            return
        next_delay_s = self.compute_resume_plan().suspect_after_s
        self._timer = self._reactor.callLater(
            remaining_s, self._check, armed_at, next_delay_s
        )
