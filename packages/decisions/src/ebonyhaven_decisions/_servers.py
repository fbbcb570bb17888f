"""What an instance knows of the backend servers."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._limits import ConcurrencyLimit

DEFAULT_CAPACITY = 16
DEFAULT_PACE_MS = 30.0
DEFAULT_PREFILL_TOKENS_PER_S = 4000.0
REPORT_DECAY_S = 2.0
FORGET_AFTER_S = 5.0
AVERAGE_SMOOTHING = 0.2
MAX_OWN_HISTORY = 128
SUSPECT_MIN_S = 1.0
SUSPECT_MAX_S = 8.0
CORRECTION_SMOOTHING = 0.2
CORRECTION_MIN = 0.5
CORRECTION_MAX = 10.0
MS_PER_S = 1000.0


class ServerEntry(NamedTuple):
    """One backend server as membership lists it.

    Parameters
    ----------
    name : str
    address : str
        ``IP:PORT``.
    data_centre : str
    region : str
    models : frozenset of str
        Models that it serves, or ``service/NAME`` for a plain service.
    is_leaving : bool
    """

    name: str
    address: str
    data_centre: str = ""
    region: str = ""
    models: frozenset[str] = frozenset()
    is_leaving: bool = False


class ServerReport(NamedTuple):
    """Load of a backend server at one moment.

    Parameters
    ----------
    running, waiting : int
        Sequences in the batch and in the queue of the server.
    measured_at : float
        Seconds, on the clock of the reader.
    capacity : int or None
        Sequences that the server runs at most.
    pace_ms : float or None
        Gap between tokens, milliseconds.
    prefill_tokens_per_s : float or None
    is_leaving : bool
    """

    running: int
    waiting: int
    measured_at: float
    capacity: int | None = None
    pace_ms: float | None = None
    prefill_tokens_per_s: float | None = None
    is_leaving: bool = False


class _OwnCount(NamedTuple):
    time: float
    count: int


@attrs.define(slots=True, kw_only=True, eq=False)
class ServerState:
    """Load, speed and health of one backend server as this instance sees them.

    Parameters
    ----------
    entry : ServerEntry
    """

    entry: ServerEntry
    capacity: int = DEFAULT_CAPACITY
    limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    pace_ms: float = DEFAULT_PACE_MS
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    reports_leaving: bool = False
    is_on_probation: bool = False
    suspect_until: float = -math.inf
    failures: int = 0
    failed_at: float = -math.inf
    answered_at: float = -math.inf
    reported_sequences: int = 0
    own_in_flight: int = 0
    own_prefill_tokens: int = 0
    reported_at: float = -math.inf
    asked_at: float = -math.inf
    missing_models: frozenset[str] = frozenset()
    correction: float = 1.0
    _others: float = 0.0
    _others_average: float = 0.0
    _own_history: deque[_OwnCount] = attrs.field(
        factory=lambda: deque(maxlen=MAX_OWN_HISTORY)
    )

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self.entry.name

    @property
    def is_leaving(self) -> bool:
        """Whether its listing or its own answers say that it is leaving."""
        return self.entry.is_leaving or self.reports_leaving

    def serves(self, model: str) -> bool:
        """Return whether the model is listed for it and not known to be missing."""
        return model in self.entry.models and model not in self.missing_models

    def is_usable(self, now: float) -> bool:
        """Return whether new work may be sent to it.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.is_leaving or now < self.suspect_until:
            return False
        return not self.is_on_probation or self.own_in_flight == 0

    def is_suspect(self, now: float) -> bool:
        """Return whether an error is recent enough to keep work away.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return now < self.suspect_until

    def estimate_load(self, now: float) -> float:
        """Return the sequences that it is thought to hold at present.

        Own requests count from the moment of their dispatch; those of other
        instances come from the last report, which fades into their average as
        it ages; the average fades once there was no report for a while, so that
        a server which looked full is tried again.

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
        average = self._others_average
        if age > FORGET_AFTER_S:
            average *= FORGET_AFTER_S / age
        others = average + weight * (self._others - average)
        return self.own_in_flight + others

    def predict_first_token_s(self, prompt_tokens: int, cached_tokens: int) -> float:
        """Predict the time from a dispatch at present to the first token.

        Parameters
        ----------
        prompt_tokens, cached_tokens : int
            Length of the prompt, and of its part that the cache holds.

        Returns
        -------
        float
            Seconds.
        """
        tokens = max(prompt_tokens - cached_tokens, 0) + self.own_prefill_tokens
        prefill_s = tokens / self.prefill_tokens_per_s
        return self.correction * (prefill_s + self.pace_ms / MS_PER_S)

    def record_report(self, report: ServerReport, gap_limit_ms: float) -> None:
        """Take over a load report unless a later one is known.

        Parameters
        ----------
        report : ServerReport
        gap_limit_ms : float
            Gap that the batch may reach, milliseconds.
        """
        if report.measured_at < self.reported_at:
            return
        self.reports_leaving = report.is_leaving
        self.reported_at = report.measured_at
        self.asked_at = max(self.asked_at, report.measured_at)
        self.reported_sequences = report.running + report.waiting
        self._record_speed(report)
        own = self._count_own_at(report.measured_at)
        self._others = max(0.0, report.running + report.waiting - own)
        change = self._others - self._others_average
        self._others_average += AVERAGE_SMOOTHING * change
        self.limit.record_capacity(self.capacity)
        self.limit.record_pace(
            running=report.running,
            pace_ms=self.pace_ms,
            gap_limit_ms=gap_limit_ms,
            capacity=self.capacity,
        )

    def record_dispatch(self, prefill_tokens: int, now: float) -> None:
        """Count a request that was sent to it.

        Parameters
        ----------
        prefill_tokens : int
            Tokens of the prompt that have to be computed.
        now : float
            Seconds.
        """
        self.own_in_flight += 1
        self.own_prefill_tokens += prefill_tokens
        self._own_history.append(_OwnCount(now, self.own_in_flight))

    def record_end(self, now: float) -> None:
        """Count a request that left it.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.own_in_flight = max(0, self.own_in_flight - 1)
        self._own_history.append(_OwnCount(now, self.own_in_flight))

    def record_prefilled(self, prefill_tokens: int) -> None:
        """Count a prefill as done or given up.

        Parameters
        ----------
        prefill_tokens : int
        """
        self.own_prefill_tokens = max(0, self.own_prefill_tokens - prefill_tokens)

    def record_first_token(
        self, *, predicted_s: float, observed_s: float, now: float
    ) -> None:
        """Correct the predictions by the observed time to a first token.

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
        wanted = self.correction * observed_s / predicted_s
        wanted = min(max(wanted, CORRECTION_MIN), CORRECTION_MAX)
        self.correction += CORRECTION_SMOOTHING * (wanted - self.correction)

    def record_success(self, now: float) -> None:
        """Note that it answered.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.answered_at = now
        self.failures = 0
        self.is_on_probation = False
        self.suspect_until = -math.inf

    def record_failure(self, now: float) -> None:
        """Send it no work for a while after an error, longer each time.

        Errors of several requests at one time count once.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.failed_at = now
        if self.is_suspect(now):
            return
        pause = min(SUSPECT_MIN_S * 2**self.failures, SUSPECT_MAX_S)
        self.failures += 1
        self.is_on_probation = True
        self.suspect_until = now + pause

    def record_hearsay(self, now: float, failed_at: float) -> None:
        """Keep work away for a moment after an error at another instance.

        Parameters
        ----------
        now, failed_at : float
            Seconds; an answer after `failed_at` outweighs the error.
        """
        if self.answered_at > failed_at or self.is_suspect(now):
            return
        self.is_on_probation = True
        self.suspect_until = now + SUSPECT_MIN_S

    def record_full(self, now: float) -> None:
        """Note that it refused a request because it was full.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.reported_at = now
        self._others = max(float(self.capacity) - self.own_in_flight, 0.0)

    def _record_speed(self, report: ServerReport) -> None:
        if report.capacity:
            self.capacity = report.capacity
        if report.pace_ms:
            self.pace_ms = report.pace_ms
        if report.prefill_tokens_per_s:
            self.prefill_tokens_per_s = report.prefill_tokens_per_s

    def _count_own_at(self, time: float) -> int:
        for count in reversed(self._own_history):
            if count.time <= time:
                return count.count
        return 0
