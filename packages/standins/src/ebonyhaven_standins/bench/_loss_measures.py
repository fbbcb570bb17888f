"""Resume latencies after one loss, and their floor."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ebonyhaven_decisions import StreamPace, plan_resume

from ebonyhaven_standins.caller import COMPLETED, ReceivedToken, RequestRecord
from ebonyhaven_standins.checker import LogLine, summarize_latencies

# Tokens that were on their way at the loss arrive within this time after it.
IN_FLIGHT_S = 0.05
PREFILL_TOKENS_PER_S = 4000.0
STEP_S = 0.02


class LossEvent(NamedTuple):
    """What was lost at a time.

    Parameters
    ----------
    time : float
        Seconds since the epoch.
    engine, address : str
        Backend server and caller address of the instance; empty if spared.
    is_silent : bool
        Whether nothing tells of the loss but silence.
    """

    time: float
    engine: str
    address: str
    is_silent: bool


class ResumeSample(NamedTuple):
    """Resume of one stream, in seconds; latency is None if it never resumed."""

    request_class: str
    latency_s: float | None
    floor_s: float


class ResumeSummary(NamedTuple):
    """Quantiles in seconds of the resumes of one class."""

    count: int
    unresumed: int
    p50: float
    p95: float
    max: float
    floor_p50: float
    floor_p95: float

    @property
    def over_floor(self) -> float:
        """95th percentile as a multiple of the floor's."""
        return self.p95 / self.floor_p95 if self.floor_p95 else 0.0


def measure_resumes(
    chains: Sequence[Sequence[RequestRecord]],
    loss: LossEvent,
    lines: Sequence[LogLine],
    targets_s: dict[str, float],
) -> list[ResumeSample]:
    """Return the resumes of the streams that a loss hit.

    Parameters
    ----------
    chains : sequence of sequence of RequestRecord
        Each request's records: one, or several where the caller began again.
    loss : LossEvent
    lines : sequence of LogLine
        Execution logs in order of time.
    targets_s : dict of str to float
        Resume target of each class in seconds.

    Returns
    -------
    list of ResumeSample
    """
    samples = []
    for chain in chains:
        held = _list_held(chain[0], loss)
        if held and _is_hit(chain[0], held[-1], loss):
            name = chain[0]["request_class"]
            resumed = _find_resume(chain, len(held), loss)
            latency = resumed.time - loss.time if resumed else None
            floor = _derive_floor(chain[0], loss, lines, targets_s[name])
            samples.append(ResumeSample(name, latency, floor))
    return samples


def summarize_resumes(samples: Sequence[ResumeSample]) -> ResumeSummary:
    """Return the quantiles of samples.

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


def _list_held(record: RequestRecord, loss: LossEvent) -> list[ReceivedToken]:
    end = loss.time + IN_FLIGHT_S
    return [token for token in record["tokens"] if token.time <= end]


def _is_hit(record: RequestRecord, last: ReceivedToken, loss: LossEvent) -> bool:
    if record["outcome"] == COMPLETED and record["finished_at"] <= (
        loss.time + IN_FLIGHT_S
    ):
        return False
    address = record["connections"][last.connection]["address"]
    return last.server == loss.engine or address == loss.address


def _find_resume(
    chain: Sequence[RequestRecord], held: int, loss: LossEvent
) -> ReceivedToken | None:
    for record in chain:
        for token in record["tokens"]:
            if token.offset >= held and token.time > loss.time:
                return token
    return None


def _derive_floor(
    record: RequestRecord,
    loss: LossEvent,
    lines: Sequence[LogLine],
    target_s: float,
) -> float:
    prefill = _find_continued_prefill(record, loss, lines)
    compute_s = 0.0 if prefill is None else prefill / PREFILL_TOKENS_PER_S + STEP_S
    if not loss.is_silent:
        return compute_s + STEP_S
    plan = plan_resume(
        resume_target_s=target_s, pace=StreamPace(gap_s=STEP_S), continuation_s=0.0
    )
    return plan.suspect_after_s + compute_s


def _find_continued_prefill(
    record: RequestRecord, loss: LossEvent, lines: Sequence[LogLine]
) -> int | None:
    """Return the tokens that the continuation prefilled, None if there was none."""
    own = [
        line
        for line in lines
        if line.time > loss.time and line.origin.startswith(record["prompt_origin"])
    ]
    started = next((line for line in own if line.event == "continue"), None)
    if started is None:
        return None
    for line in own:
        same_run = line.server == started.server and line.time > started.time
        if same_run and line.event == "token_count":
            return line.prefill_tokens
    return 0
