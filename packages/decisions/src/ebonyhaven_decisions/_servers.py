"""Load, speed and health of backend servers as seen by one instance."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._limits import ConcurrencyLimit

DEFAULT_CAPACITY = 16
DEFAULT_PACE_MS = 30.0
DEFAULT_PREFILL_TOKENS_PER_S = 4000.0
REPORT_DECAY_S = 2.0  # a report of this age has half its initial weight
AVERAGE_DECAY_AFTER_S = 5.0
REMOTE_LOAD_SMOOTHING_FACTOR = 0.2
MAX_IN_FLIGHT_SAMPLES = 128
SUSPECT_MIN_S = 1.0
SUSPECT_MAX_S = 8.0
CORRECTION_SMOOTHING_FACTOR = 0.2
CORRECTION_FACTOR_MIN = 0.5
CORRECTION_FACTOR_MAX = 10.0
MS_PER_S = 1000.0


class ServerEntry(NamedTuple):
    """A backend server as listed by membership.

    Parameters
    ----------
    name : str
    address : str
        ``IP:PORT``.
    data_centre : str
    region : str
    models : frozenset of str
        Models that the server serves, or ``service/NAME`` for a plain service.
    is_leaving : bool
        Whether the server accepts no new work.
    """

    name: str
    address: str
    data_centre: str = ""
    region: str = ""
    models: frozenset[str] = frozenset()
    is_leaving: bool = False


class ServerReport(NamedTuple):
    """Load measurement of a backend server.

    Parameters
    ----------
    running, waiting : int
        Sequences in the batch and in the queue of the server.
    measured_at : float
        Monotonic time on the clock of this instance, seconds.
    capacity : int or None
        Maximum number of sequences in the batch.
    pace_ms : float or None
        Gap between tokens, milliseconds.
    prefill_tokens_per_s : float or None
    is_leaving : bool
        Whether the server accepts no new work.
    """

    running: int
    waiting: int
    measured_at: float
    capacity: int | None = None
    pace_ms: float | None = None
    prefill_tokens_per_s: float | None = None
    is_leaving: bool = False


class _InFlightSample(NamedTuple):
    time: float
    count: int


@attrs.define(slots=True, kw_only=True, eq=False)
class ServerState:
    """State of one backend server as seen by this instance.

    Parameters
    ----------
    entry : ServerEntry
    capacity : int
        Maximum number of sequences in the batch.
    limit : ConcurrencyLimit
    pace_ms : float
        Gap between tokens, milliseconds.
    prefill_tokens_per_s : float
    reports_leaving : bool
        Whether the server itself reported that it accepts no new work.
    is_recovering : bool
        Whether the server has not answered since its last failure.
    suspect_until : float
        Time until which new work is withheld, seconds.
    failures : int
        Failures since the last success; those of a suspect server are not counted.
    failed_at, answered_at : float
        Time of the last failure and of the last answer, seconds.
    reported_sequences : int
        Running and waiting sequences in the last load report.
    local_in_flight : int
        Requests of this instance on the server.
    local_prefill_tokens : int
        Prompt tokens of this instance that the server has yet to prefill.
    reported_at : float
        Time of the last load report or rejection for lack of a free slot, seconds.
    polled_at : float
        Time of the last poll or load report, seconds.
    missing_models : frozenset of str
        Listed models that the server does not have.
    correction_factor : float
        Smoothed ratio of observed to uncorrected predicted times to the first token.
    """

    entry: ServerEntry
    capacity: int = DEFAULT_CAPACITY
    limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    pace_ms: float = DEFAULT_PACE_MS
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    reports_leaving: bool = False
    is_recovering: bool = False
    suspect_until: float = -math.inf
    failures: int = 0
    failed_at: float = -math.inf
    answered_at: float = -math.inf
    reported_sequences: int = 0
    local_in_flight: int = 0
    local_prefill_tokens: int = 0
    reported_at: float = -math.inf
    polled_at: float = -math.inf
    missing_models: frozenset[str] = frozenset()
    correction_factor: float = 1.0
    _remote_load: float = 0.0
    _remote_load_average: float = 0.0
    _in_flight_history: deque[_InFlightSample] = attrs.field(
        factory=lambda: deque(maxlen=MAX_IN_FLIGHT_SAMPLES)
    )

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self.entry.name

    @property
    def is_leaving(self) -> bool:
        """Whether the listing or the reports of the server mark it as leaving."""
        return self.entry.is_leaving or self.reports_leaving

    def serves(self, model: str) -> bool:
        """Return whether the model is listed and not known to be missing."""
        return model in self.entry.models and model not in self.missing_models

    def is_usable(self, now: float) -> bool:
        """Return whether new work may be dispatched to the server.

        A server that failed is sent one request at a time until it succeeds.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.is_leaving or now < self.suspect_until:
            return False
        return not self.is_recovering or self.local_in_flight == 0

    def describe_obstacle(self, now: float) -> str:
        """Return why no new work may be dispatched to the server, empty if it may.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.is_leaving:
            return "leaving"
        if now < self.suspect_until:
            return f"failed {now - self.failed_at:.2f} s ago"
        if not self.is_usable(now):
            return "recovering, with a request in progress"
        return ""

    def is_suspect(self, now: float) -> bool:
        """Return whether new work is withheld after a recent failure.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return now < self.suspect_until

    def estimate_load(self, now: float) -> float:
        """Estimate the number of sequences on the server.

        Requests of this instance are counted from their dispatch. The load from
        other instances is taken from the last report, whose weight shifts to the
        running average as the report ages. Without a report for
        `AVERAGE_DECAY_AFTER_S`, the average decays too, so that a server which
        was last reported as full is retried.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
        """
        age = now - self.reported_at
        weight = REPORT_DECAY_S / (REPORT_DECAY_S + age) if age > 0.0 else 1.0
        average = self._remote_load_average
        if age > AVERAGE_DECAY_AFTER_S:
            average *= AVERAGE_DECAY_AFTER_S / age
        remote_load = average + weight * (self._remote_load - average)
        return self.local_in_flight + remote_load

    def predict_first_token_s(self, prompt_tokens: int, cached_tokens: int) -> float:
        """Predict the time from a dispatch now to the first token.

        Parameters
        ----------
        prompt_tokens, cached_tokens : int
            Length of the prompt and of its cached prefix.

        Returns
        -------
        float
            Seconds.
        """
        tokens = max(prompt_tokens - cached_tokens, 0) + self.local_prefill_tokens
        prefill_s = tokens / self.prefill_tokens_per_s
        return self.correction_factor * (prefill_s + self.pace_ms / MS_PER_S)

    def record_report(self, report: ServerReport, gap_limit_ms: float) -> None:
        """Apply a load report unless it is older than the last one.

        Parameters
        ----------
        report : ServerReport
        gap_limit_ms : float
            Maximum gap between tokens, milliseconds.
        """
        if report.measured_at < self.reported_at:
            return
        self.reports_leaving = report.is_leaving
        self.reported_at = report.measured_at
        self.polled_at = max(self.polled_at, report.measured_at)
        self.reported_sequences = report.running + report.waiting
        self._record_capacity_and_speed(report)
        local_load = self._count_in_flight_at(report.measured_at)
        self._remote_load = max(0.0, report.running + report.waiting - local_load)
        change = self._remote_load - self._remote_load_average
        self._remote_load_average += REMOTE_LOAD_SMOOTHING_FACTOR * change
        self.limit.record_capacity(self.capacity)
        self.limit.record_pace(
            running=report.running,
            pace_ms=self.pace_ms,
            gap_limit_ms=gap_limit_ms,
            capacity=self.capacity,
        )

    def record_dispatch(self, prefill_tokens: int, now: float) -> None:
        """Count a request that was dispatched to the server.

        Parameters
        ----------
        prefill_tokens : int
            Prompt tokens that are not cached.
        now : float
            Seconds.
        """
        self.local_in_flight += 1
        self.local_prefill_tokens += prefill_tokens
        self._in_flight_history.append(_InFlightSample(now, self.local_in_flight))

    def record_end(self, now: float) -> None:
        """Count a request that no longer runs on the server.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.local_in_flight = max(0, self.local_in_flight - 1)
        self._in_flight_history.append(_InFlightSample(now, self.local_in_flight))

    def release_prefill_tokens(self, prefill_tokens: int) -> None:
        """Subtract the tokens of a completed or abandoned prefill.

        Parameters
        ----------
        prefill_tokens : int
        """
        self.local_prefill_tokens = max(0, self.local_prefill_tokens - prefill_tokens)

    def record_first_token(
        self, *, predicted_s: float, observed_s: float, now: float
    ) -> None:
        """Adjust the correction factor to an observed time to the first token.

        Parameters
        ----------
        predicted_s, observed_s : float
            Seconds from the dispatch.
        now : float
            Seconds.
        """
        self.record_success(now)
        if predicted_s <= 0.0:
            return
        target_factor = self.correction_factor * observed_s / predicted_s
        target_factor = min(
            max(target_factor, CORRECTION_FACTOR_MIN), CORRECTION_FACTOR_MAX
        )
        self.correction_factor += CORRECTION_SMOOTHING_FACTOR * (
            target_factor - self.correction_factor
        )

    def record_success(self, now: float) -> None:
        """Record an answer of the server and clear its failures.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.answered_at = now
        self.failures = 0
        self.is_recovering = False
        self.suspect_until = -math.inf

    def record_failure(self, now: float) -> None:
        """Withhold work after a failure, with exponential backoff.

        Failures while the server is already suspect do not extend the backoff.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.failed_at = now
        if self.is_suspect(now):
            return
        backoff_s = min(SUSPECT_MIN_S * 2**self.failures, SUSPECT_MAX_S)
        self.failures += 1
        self.is_recovering = True
        self.suspect_until = now + backoff_s

    def record_remote_failure(self, now: float, failed_at: float) -> None:
        """Withhold work for `SUSPECT_MIN_S` after a failure at another instance.

        Parameters
        ----------
        now, failed_at : float
            Seconds; a failure that precedes the last answer is ignored.
        """
        if self.answered_at > failed_at or self.is_suspect(now):
            return
        self.is_recovering = True
        self.suspect_until = now + SUSPECT_MIN_S

    def record_full(self, now: float) -> None:
        """Record that the server rejected a request for lack of a free slot.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.reported_at = now
        self._remote_load = max(float(self.capacity) - self.local_in_flight, 0.0)

    def _record_capacity_and_speed(self, report: ServerReport) -> None:
        if report.capacity:
            self.capacity = report.capacity
        if report.pace_ms:
            self.pace_ms = report.pace_ms
        if report.prefill_tokens_per_s:
            self.prefill_tokens_per_s = report.prefill_tokens_per_s

    def _count_in_flight_at(self, time: float) -> int:
        for sample in reversed(self._in_flight_history):
            if sample.time <= time:
                return sample.count
        return 0
