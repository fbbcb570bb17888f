"""Exchange of workspace usage and server load with other instances."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from ebonyhaven_decisions import (
    LoadEntry,
    MemberState,
    Scheduler,
    UsageEntry,
    build_load_digest,
    merge_load_digest,
)
from twisted.internet import task
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController

SEND_INTERVAL_S = 0.5


class SchedulingDigestExchange:
    """Sends bounded digests to one random instance at a time.

    The amount of data sent does not depend on the number of instances:
    `UsageLedger` extrapolates the usage received from some of them to all.

    Parameters
    ----------
    membership : MembershipController
    channels : Channels
    scheduler : Scheduler
    reactor : IReactorTime
    rng : random.Random
    on_update : callable
        Called after each merged digest.
    """

    def __init__(
        self,
        *,
        membership: MembershipController,
        channels: Channels,
        scheduler: Scheduler,
        reactor: IReactorTime,
        rng: random.Random,
        on_update: Callable[[], None],
    ):
        self._membership = membership
        self._scheduler = scheduler
        self._rng = rng
        self._on_update = on_update
        self._loop = task.LoopingCall(self._send)
        self._loop.clock = reactor
        channels.subscribe(FrameKind.USAGE, self._receive_usage)
        channels.subscribe(FrameKind.LOAD_DIGEST, self._receive_load)

    def start(self) -> None:
        """Start sending digests."""
        self._loop.start(SEND_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop sending digests."""
        self._loop.stop()

    def _send(self) -> None:
        own_name = self._membership.own.name
        peers = [
            record.name
            for record in self._membership.members
            if record.state == MemberState.LIVE and record.name != own_name
        ]
        self._scheduler.dispatcher.ledger.instances = 1 + len(peers)
        if not peers:
            return
        peer = self._rng.choice(peers)
        now = time.monotonic()
        usage = self._scheduler.build_usage_digest(now)
        if usage:
            payload = [_round_usage(entry) for entry in usage]
            self._membership.send(peer, FrameKind.USAGE, payload)
        load = build_load_digest(self._scheduler.dispatcher.table, now, self._rng)
        if load:
            self._membership.send(
                peer, FrameKind.LOAD_DIGEST, [list(each) for each in load]
            )

    def _receive_usage(self, frame: Frame) -> None:
        try:
            entries = [
                UsageEntry(str(name), str(workspace), float(tokens), float(queued))
                for name, workspace, tokens, queued in frame.payload
            ]
        except (TypeError, ValueError):
            return
        self._scheduler.merge_usage_digest(frame.sender, entries, time.monotonic())
        self._on_update()

    def _receive_load(self, frame: Frame) -> None:
        try:
            entries = [_parse_load(each) for each in frame.payload]
        except (TypeError, ValueError):
            return
        dispatcher = self._scheduler.dispatcher
        merge_load_digest(
            dispatcher.table,
            entries,
            dispatcher.read_gap_limit_ms(),
            time.monotonic(),
        )
        dispatcher.change_count += 1
        self._on_update()


def _round_usage(entry: UsageEntry) -> list[object]:
    return [
        entry.class_name,
        entry.workspace,
        round(entry.tokens),
        round(entry.queued_tokens),
    ]


def _parse_load(values: list[object]) -> LoadEntry:
    server, sequences, capacity, pace_ms, age_s, is_leaving, is_suspect = values
    return LoadEntry(
        server=str(server),
        sequences=int(sequences),
        capacity=int(capacity),
        pace_ms=float(pace_ms),
        age_s=max(float(age_s), 0.0),
        is_leaving=bool(is_leaving),
        is_suspect=bool(is_suspect),
    )
