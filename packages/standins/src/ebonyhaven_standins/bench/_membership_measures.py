"""Measurements of membership: idle cost, detection time and false suspicions."""

from __future__ import annotations

import datetime
import json
import os
import pathlib
import random
import statistics
import time
from collections.abc import Iterable
from typing import NamedTuple, TypedDict

from ebonyhaven_standins.bench._node_sets import NodeSet
from ebonyhaven_standins.log_lines import read_whole_lines

DETECTION_WAIT_S = 4.0
REJOIN_WAIT_S = 8.0
PAUSE_S = 5.0
PAUSE_INTERVAL_S = 7.0
DOWN_STATES = frozenset({"suspect", "dead"})


class Usage(NamedTuple):
    """Resource counters of one process at a point in time.

    Parameters
    ----------
    cpu_s : float
        Processor time since the start of the process, seconds.
    resident_mb : float
        Resident memory in megabytes.
    sent_messages, received_messages, sent_bytes, received_bytes : float
        Totals of the control protocol.
    """

    cpu_s: float
    resident_mb: float
    sent_messages: float
    received_messages: float
    sent_bytes: float
    received_bytes: float


class IdleCost(TypedDict):
    """Cost of a process without requests and faults; means over all processes.

    ``cpu_share`` is processor time per second, ``cpu_share_max`` its maximum over
    the processes.
    """

    size: int
    cpu_share: float
    cpu_share_max: float
    resident_mb: float
    sent_messages_per_s: float
    received_messages_per_s: float
    sent_bytes_per_s: float
    received_bytes_per_s: float


class Detection(TypedDict):
    """Time from a kill until each other instance marks the killed one suspect or dead.

    ``observations`` counts instances that did so within `DETECTION_WAIT_S`,
    ``missed`` those that did not.
    """

    size: int
    observations: int
    missed: int
    p50_s: float
    p95_s: float
    max_s: float


class FalseSuspicions(TypedDict):
    """False suspicions under message loss and pauses.

    ``wrong_suspect`` and ``wrong_dead`` count the changes to these states that any
    instance logged about an instance that was not paused; ``not_returned`` counts
    pairs of instances of which one did not regard the other as live at the end.
    """

    size: int
    seconds: float
    pauses: int
    wrong_suspect: int
    wrong_dead: int
    not_returned: int


class StateChange(NamedTuple):
    """Change of the state of an instance, as logged by another one.

    Parameters
    ----------
    observer, subject : str
        Names of the instance that logged the change and the one that it is about.
    state : str
    at : float
        Seconds since the epoch.
    """

    observer: str
    subject: str
    state: str
    at: float


def read_usage(nodes: NodeSet, name: str) -> Usage:
    """Return the resource counters of a process.

    Parameters
    ----------
    nodes : NodeSet
    name : str

    Returns
    -------
    Usage
    """
    process_id = nodes.child(name).process_id
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(int(value) for value in fields.split()[11:13])
    pages = int(pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1])
    samples = nodes.read_metrics(name)
    messages = "ebonyhaven_control_messages_total"
    size = "ebonyhaven_control_bytes_total"
    sent, received = 'direction="sent"', 'direction="received"'
    return Usage(
        cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
        resident_mb=pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
        sent_messages=samples.sum(messages, sent),
        received_messages=samples.sum(messages, received),
        sent_bytes=samples.sum(size, sent),
        received_bytes=samples.sum(size, received),
    )


def read_state_changes(nodes: NodeSet, names: Iterable[str]) -> list[StateChange]:
    """Return the state changes that instances logged.

    Parameters
    ----------
    nodes : NodeSet
    names : iterable of str

    Returns
    -------
    list of StateChange
    """
    changes = []
    for name in names:
        for line in read_whole_lines(nodes.child(name).log_path):
            if '"instance_changed"' in line:
                entry = json.loads(line)
                changes.append(
                    StateChange(name, entry["peer"], entry["state"], _read_time(entry))
                )
    return changes


def _read_time(entry: dict[str, str | float]) -> float:
    timestamp = entry["timestamp"]
    if isinstance(timestamp, str):
        return datetime.datetime.fromisoformat(timestamp).timestamp()
    return timestamp


def measure_idle_cost(nodes: NodeSet, seconds: float) -> IdleCost:
    """Measure the cost of the instances without requests and faults.

    Parameters
    ----------
    nodes : NodeSet
    seconds : float
        Length of the measurement.

    Returns
    -------
    IdleCost
    """
    started = time.monotonic()
    before = [read_usage(nodes, name) for name in nodes.names]
    time.sleep(seconds)
    after = [read_usage(nodes, name) for name in nodes.names]
    took_s = time.monotonic() - started
    rates = [
        Usage(*((b - a) / took_s for a, b in zip(first, last, strict=True)))
        for first, last in zip(before, after, strict=True)
    ]
    return IdleCost(
        size=len(nodes.names),
        cpu_share=statistics.fmean(rate.cpu_s for rate in rates),
        cpu_share_max=max(rate.cpu_s for rate in rates),
        resident_mb=statistics.fmean(usage.resident_mb for usage in after),
        sent_messages_per_s=statistics.fmean(r.sent_messages for r in rates),
        received_messages_per_s=statistics.fmean(r.received_messages for r in rates),
        sent_bytes_per_s=statistics.fmean(r.sent_bytes for r in rates),
        received_bytes_per_s=statistics.fmean(r.received_bytes for r in rates),
    )


def measure_detection(nodes: NodeSet, kills: int, rng: random.Random) -> Detection:
    """Kill instances one by one and measure how fast the others detect it.

    Parameters
    ----------
    nodes : NodeSet
    kills : int
        Number of kills.
    rng : random.Random

    Returns
    -------
    Detection
    """
    delays: list[float] = []
    missed = 0
    for _ in range(kills):
        killed = rng.choice(nodes.names)
        others = [name for name in nodes.names if name != killed]
        killed_at = time.time()
        nodes.child(killed).kill()
        time.sleep(DETECTION_WAIT_S)
        delay_by_observer = _find_detection_delays(
            read_state_changes(nodes, others), killed, killed_at
        )
        delays += delay_by_observer.values()
        missed += len(others) - len(delay_by_observer)
        nodes.restart(killed)
        nodes.wait_for_convergence()
        time.sleep(rng.uniform(1.0, 2.0))
    delays.sort()
    return Detection(
        size=len(nodes.names),
        observations=len(delays),
        missed=missed,
        p50_s=statistics.median(delays),
        p95_s=delays[int(0.95 * (len(delays) - 1))],
        max_s=delays[-1],
    )


def _find_detection_delays(
    changes: list[StateChange], killed: str, killed_at: float
) -> dict[str, float]:
    """Return the seconds from a kill to its detection, by observer."""
    delay_by_observer: dict[str, float] = {}
    for change in changes:
        is_down = change.subject == killed and change.state in DOWN_STATES
        if is_down and change.at >= killed_at:
            delay_by_observer.setdefault(change.observer, change.at - killed_at)
    return delay_by_observer


def measure_false_suspicions(
    nodes: NodeSet, seconds: float, rng: random.Random
) -> FalseSuspicions:
    """Pause random instances and count suspicions about instances that run.

    Parameters
    ----------
    nodes : NodeSet
        Instances that drop a share of their control messages.
    seconds : float
        Length of the measurement.
    rng : random.Random

    Returns
    -------
    FalseSuspicions
    """
    started_at = time.time()
    pauses: list[tuple[str, float, float]] = []
    while time.time() - started_at < seconds:
        paused = rng.choice(nodes.names)
        paused_at = time.time()
        nodes.child(paused).pause()
        time.sleep(PAUSE_S)
        nodes.child(paused).resume()
        pauses.append((paused, paused_at, time.time()))
        time.sleep(PAUSE_INTERVAL_S - PAUSE_S)
    time.sleep(REJOIN_WAIT_S)
    changes = [c for c in read_state_changes(nodes, nodes.names) if c.at >= started_at]
    wrong = [change for change in changes if not _is_expected(change, pauses)]
    count = len(nodes.names)
    return FalseSuspicions(
        size=count,
        seconds=time.time() - started_at,
        pauses=len(pauses),
        wrong_suspect=sum(change.state == "suspect" for change in wrong),
        wrong_dead=sum(change.state == "dead" for change in wrong),
        not_returned=sum(count - nodes.count_live(name) for name in nodes.names),
    )


def _is_expected(change: StateChange, pauses: list[tuple[str, float, float]]) -> bool:
    """Return whether a change is no suspicion or is about a paused instance.

    A change counts as expected until the next pause begins: an observer that was
    paused itself logs outdated states only after it has resumed.
    """
    if change.state not in DOWN_STATES:
        return True
    grace_s = PAUSE_INTERVAL_S - PAUSE_S
    return any(
        name == change.subject and paused_at <= change.at <= resumed_at + grace_s
        for name, paused_at, resumed_at in pauses
    )
