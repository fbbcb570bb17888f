"""Digests of server load and health that instances exchange."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from ebonyhaven_decisions._server_table import ServerTable
from ebonyhaven_decisions._servers import ServerReport, ServerState

MAX_LOAD_ENTRIES = 16
MAX_REPORT_AGE_S = 5.0


class LoadEntry(NamedTuple):
    """Load and health of one backend server as seen by one instance.

    Parameters
    ----------
    server : str
    sequences : int
        Sequences in the batch and in the queue of the server.
    capacity : int
        Maximum number of sequences in the batch.
    pace_ms : float
        Gap between tokens, milliseconds.
    age_s : float
        Age of the measurement, or of the last failure of a suspect server, seconds.
    is_leaving : bool
        Whether the server accepts no new work.
    is_suspect : bool
        Whether new work is withheld after a recent failure.
    """

    server: str
    sequences: int
    capacity: int
    pace_ms: float
    age_s: float
    is_leaving: bool
    is_suspect: bool


def build_load_digest(
    table: ServerTable, now: float, random_source: random.Random
) -> list[LoadEntry]:
    """Return the digest of the suspect servers and those with a recent report.

    Parameters
    ----------
    table : ServerTable
    now : float
        Seconds.
    random_source : random.Random
        Samples the servers when the digest cannot contain all of them.

    Returns
    -------
    list of LoadEntry
        At most `MAX_LOAD_ENTRIES`, starting with leaving and suspect servers.
    """
    fresh = [state for state in table if _is_current(state, now)]
    unavailable = [
        state for state in fresh if state.is_leaving or state.is_suspect(now)
    ]
    others = [state for state in fresh if state not in unavailable]
    count = max(MAX_LOAD_ENTRIES - len(unavailable), 0)
    if len(others) > count:
        others = random_source.sample(others, count)
    return [
        _build_entry(state, now) for state in (unavailable + others)[:MAX_LOAD_ENTRIES]
    ]


def merge_load_digest(
    table: ServerTable, entries: Sequence[LoadEntry], gap_limit_ms: float, now: float
) -> None:
    """Apply the entries of another instance that are newer than local reports.

    Parameters
    ----------
    table : ServerTable
    entries : sequence of LoadEntry
    gap_limit_ms : float
        Maximum gap between tokens, milliseconds.
    now : float
        Seconds.
    """
    for entry in entries[:MAX_LOAD_ENTRIES]:
        state = table.get(entry.server)
        measured_at = now - entry.age_s
        if state is None or measured_at <= state.reported_at:
            continue
        if entry.is_suspect:
            state.record_remote_failure(now, measured_at)
            continue
        report = ServerReport(
            running=entry.sequences,
            waiting=0,
            measured_at=measured_at,
            capacity=entry.capacity,
            pace_ms=entry.pace_ms,
            is_leaving=entry.is_leaving,
        )
        state.record_report(report, gap_limit_ms)


def _is_current(state: ServerState, now: float) -> bool:
    return now - state.reported_at <= MAX_REPORT_AGE_S or state.is_suspect(now)


def _build_entry(state: ServerState, now: float) -> LoadEntry:
    is_suspect = state.is_suspect(now)
    observed_at = state.failed_at if is_suspect else state.reported_at
    return LoadEntry(
        server=state.name,
        sequences=state.reported_sequences,
        capacity=state.capacity,
        pace_ms=round(state.pace_ms, 2),
        age_s=round(now - observed_at, 3),
        is_leaving=state.is_leaving,
        is_suspect=is_suspect,
    )
