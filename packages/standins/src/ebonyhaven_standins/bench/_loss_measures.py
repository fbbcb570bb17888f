"""Resume latencies of streams after a loss, and their floors.

The floor of a latency is the lowest value that is achievable with the speed of the
engine stand-in and, if the loss is silent, with the silence timeout of the node.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ebonyhaven_decisions import StreamPace, plan_resume

from ebonyhaven_standins.caller import COMPLETED, ReceivedToken, RequestRecord
from ebonyhaven_standins.checker import LogLine, summarize_latencies

# Tokens received within this time after a loss count as sent before it.
IN_FLIGHT_GRACE_S = 0.05
# Default speed of the engine stand-in; the floors are computed from it.
PREFILL_TOKENS_PER_S = 4000.0
DECODE_STEP_S = 0.02


class LossEvent(NamedTuple):
    """Loss of an engine, an instance or both.

    Parameters
    ----------
    time : float
        Seconds since the epoch.
    engine : str
        Name of the backend server that was lost or whose connections became
        silent; empty if none.
    address : str
        Address at which the lost instance served callers; empty if none was lost.
    is_silent : bool
        Whether connections stay open, so that only a silence timeout detects the
        loss.
    """

    time: float
    engine: str
    address: str
    is_silent: bool


class ResumeSample(NamedTuple):
    """Resume latency of one stream.

    Parameters
    ----------
    request_class : str
    latency_s : float or None
        Time from the loss to the first new token; None if the stream never resumed.
    floor_s : float
        Lowest achievable latency.
    """

    request_class: str
    latency_s: float | None
    floor_s: float


class ResumeSummary(NamedTuple):
    """Quantiles of the resume latencies of one class and of their floors, seconds.

    ``count`` is the number of interrupted streams, ``unresumed`` the number of those
    that never resumed. The latency quantiles are of the resumed streams.
    """

    count: int
    unresumed: int
    p50: float
    p95: float
    max: float
    floor_p50: float
    floor_p95: float

    @property
    def p95_to_floor_ratio(self) -> float:
        """``p95`` as a multiple of ``floor_p95``; 0 if the floor is 0."""
        return self.p95 / self.floor_p95 if self.floor_p95 else 0.0


def measure_resumes(
    attempts_by_request: Sequence[Sequence[RequestRecord]],
    loss: LossEvent,
    lines: Sequence[LogLine],
    targets_s: dict[str, float],
) -> list[ResumeSample]:
    """Return the resume latencies of the streams that a loss interrupted.

    Parameters
    ----------
    attempts_by_request : sequence of sequence of RequestRecord
        Records of each request, one per submission by its caller.
    loss : LossEvent
    lines : sequence of LogLine
        Lines of the execution logs, ordered by time.
    targets_s : dict of str to float
        Resume target of each class, seconds.

    Returns
    -------
    list of ResumeSample
    """
    samples = []
    for attempts in attempts_by_request:
        received = _list_received(attempts[0], loss)
        if received and _is_affected(attempts[0], received[-1], loss):
            class_name = attempts[0]["request_class"]
            resumed = _find_first_resumed_token(attempts, len(received), loss)
            latency_s = resumed.time - loss.time if resumed else None
            floor_s = _compute_floor_s(attempts[0], loss, lines, targets_s[class_name])
            samples.append(ResumeSample(class_name, latency_s, floor_s))
    return samples


def summarize_resumes(samples: Sequence[ResumeSample]) -> ResumeSummary:
    """Return the quantiles of the samples of one class.

    Parameters
    ----------
    samples : sequence of ResumeSample

    Returns
    -------
    ResumeSummary
    """
    latencies = [item.latency_s for item in samples if item.latency_s is not None]
    resumed = summarize_latencies(latencies)
    floor = summarize_latencies([item.floor_s for item in samples])
    return ResumeSummary(
        count=len(samples),
        unresumed=len(samples) - len(latencies),
        p50=resumed.p50,
        p95=resumed.p95,
        max=resumed.max,
        floor_p50=floor.p50,
        floor_p95=floor.p95,
    )


def _list_received(record: RequestRecord, loss: LossEvent) -> list[ReceivedToken]:
    received_until = loss.time + IN_FLIGHT_GRACE_S
    return [token for token in record["tokens"] if token.time <= received_until]


def _is_affected(record: RequestRecord, last: ReceivedToken, loss: LossEvent) -> bool:
    if record["outcome"] == COMPLETED and record["finished_at"] <= (
        loss.time + IN_FLIGHT_GRACE_S
    ):
        return False
    address = record["connections"][last.connection]["address"]
    return last.server == loss.engine or address == loss.address


def _find_first_resumed_token(
    attempts: Sequence[RequestRecord], received_count: int, loss: LossEvent
) -> ReceivedToken | None:
    for record in attempts:
        for token in record["tokens"]:
            if token.offset >= received_count and token.time > loss.time:
                return token
    return None


def _compute_floor_s(
    record: RequestRecord,
    loss: LossEvent,
    lines: Sequence[LogLine],
    target_s: float,
) -> float:
    """Return the lowest achievable resume latency, seconds.

    It is the time to detect a silent loss, or one decode step for any other loss,
    plus the prefill and the first decode step of the continuation, if there was one.
    """
    prefill_tokens = _find_continuation_prefill_tokens(record, loss, lines)
    compute_s = (
        0.0
        if prefill_tokens is None
        else prefill_tokens / PREFILL_TOKENS_PER_S + DECODE_STEP_S
    )
    if not loss.is_silent:
        return compute_s + DECODE_STEP_S
    plan = plan_resume(
        resume_target_s=target_s,
        pace=StreamPace(gap_s=DECODE_STEP_S),
        continuation_s=0.0,
    )
    return plan.suspect_after_s + compute_s


def _find_continuation_prefill_tokens(
    record: RequestRecord, loss: LossEvent, lines: Sequence[LogLine]
) -> int | None:
    """Return the number of prefill tokens of the continuation.

    None if there was no continuation, 0 if it logged no token count.
    """
    request_lines = [
        line
        for line in lines
        if line.time > loss.time and line.origin.startswith(record["prompt_origin"])
    ]
    started = next((line for line in request_lines if line.event == "continue"), None)
    if started is None:
        return None
    for line in request_lines:
        same_run = line.server == started.server and line.time > started.time
        if same_run and line.event == "token_count":
            return line.prefill_tokens
    return 0
