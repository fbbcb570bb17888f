"""Controller that reads the platform's list of processes and gossips it."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import attrs
import structlog
from ebonyhaven_decisions import (
    READ_INTERVAL_S,
    GossipEntry,
    Listing,
    ListingReadSchedule,
    MemberState,
    all_instances_read,
)
from ebonyhaven_store import InstanceListClient, ListedProcess, PlatformError
from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._digests import TableDigest
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node._servers import BackendServers

INTERVAL_JITTER_RATIO = 0.3
DIGEST_CODE = "i"
DIGEST_BUDGET_BYTES = 600
MAX_ENTRIES_PER_MESSAGE = 200
INCONSISTENT_POLLS_PER_REPAIR = 10

_log = structlog.get_logger()
_FIELDS = tuple(field.name for field in attrs.fields(ListedProcess))


def _encode_process(process: ListedProcess) -> list[str]:
    return [getattr(process, name) for name in _FIELDS if name != "name"]


def _decode_process(name: str, values: list[str]) -> ListedProcess:
    texts = dict(zip(_FIELDS[1:], map(str, values), strict=True))
    return ListedProcess(name=name, **texts)


class ListingController:
    """Updates the backend servers and the listed instances.

    A few instances read the platform's list often and gossip the changes; the
    others read it rarely. While the platform is unreachable, an instance whose list
    is empty or stays inconsistent requests the list from a neighbour, so that it can
    start during an outage of the platform.

    Parameters
    ----------
    name : str
        Name of this instance.
    servers : BackendServers
    membership : MembershipController
    channels : Channels
    client : InstanceListClient
    reactor : IReactorTime
    rng : random.Random
    clock, wall_clock : callable
        Return monotonic and Unix time in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        servers: BackendServers,
        membership: MembershipController,
        channels: Channels,
        client: InstanceListClient,
        reactor: IReactorTime,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._servers = servers
        self._membership = membership
        self._client = client
        self._reactor = reactor
        self._rng = rng
        self._clock = clock
        self._wall_clock = wall_clock
        self._schedule = ListingReadSchedule(name=name, rng=rng)
        self._listing = Listing()
        self._inconsistent_polls = 0
        self._reachable = True
        self._stopped = False
        self._apply_call: Any = None
        self._poll_delay: Deferred | None = None
        digest = TableDigest(
            code=DIGEST_CODE,
            table=self._listing.table,
            clock=clock,
            merge=self._merge_entry,
        )
        digest.dedicated_budget_bytes = DIGEST_BUDGET_BYTES
        membership.add_digest(digest)
        channels.subscribe(FrameKind.LISTING_REQUEST, self._answer_request)
        channels.subscribe(FrameKind.LISTING, self._receive_listing)

    async def run(self) -> None:
        """Read the list whenever a read is due, until `stop` is called."""
        while not self._stopped:
            repair_due = self._is_repair_due()
            if repair_due or self._is_due():
                await self._read_once()
            if repair_due and not self._reachable:
                self._request_listing()
            interval_s = READ_INTERVAL_S * self._rng.uniform(
                1 - INTERVAL_JITTER_RATIO, 1
            )
            self._poll_delay = task.deferLater(self._reactor, interval_s)
            self._poll_delay.addErrback(lambda _: None)
            await self._poll_delay

    def stop(self) -> None:
        """Make `run` return."""
        self._stopped = True
        if self._poll_delay is not None:
            self._poll_delay.cancel()
        if self._apply_call is not None and self._apply_call.active():
            self._apply_call.cancel()

    def _is_repair_due(self) -> bool:
        """Return whether the list is empty or stays inconsistent.

        True for an inconsistent list at every `INCONSISTENT_POLLS_PER_REPAIR`-th
        consecutive poll.
        """
        if not self._listing:
            return True
        if self._listing.is_consistent():
            self._inconsistent_polls = 0
            return False
        self._inconsistent_polls += 1
        return self._inconsistent_polls % INCONSISTENT_POLLS_PER_REPAIR == 0

    def _list_available(self) -> list[str]:
        """Return the names of the instances that are neither suspect nor dead."""
        return [
            record.name
            for record in self._membership.members
            if record.state <= MemberState.LEAVING
        ]

    def _is_due(self) -> bool:
        wall_s = self._wall_clock()
        return self._schedule.is_due(
            self._list_available(),
            now=self._clock(),
            wall_s=wall_s,
            age_s=self._listing.compute_age(wall_s),
        )

    async def _read_once(self) -> None:
        started_at = self._clock()
        try:
            listed = await self._client.read()
        except PlatformError as error:
            self._update_reachable(False, reason=error.reason)
            return
        self._update_reachable(True)
        changed = self._listing.merge_read(
            {item.name: _encode_process(item) for item in listed.processes},
            started_at=started_at,
            now=self._clock(),
            wall_s=self._wall_clock(),
            publish=not all_instances_read(len(self._list_available())),
        )
        if changed:
            self._membership.schedule_heartbeats()
        self._apply()

    def _merge_entry(self, entry: GossipEntry) -> bool:
        if entry.value is not None and entry.key:
            # Raises an exception for a malformed value, before it is merged.
            _decode_process(entry.key, entry.value)
        changed = self._listing.merge_entry(entry, self._clock())
        self._servers.has_complete_list = self._listing.is_complete()
        if changed and (self._apply_call is None or not self._apply_call.active()):
            self._apply_call = self._reactor.callLater(0, self._apply)
        return changed

    def _apply(self) -> None:
        processes = [
            _decode_process(name, value)
            for name, value in self._listing.values().items()
        ]
        instances = tuple(item for item in processes if item.kind == "instance")
        self._servers.instances = instances
        self._servers.has_complete_list = self._listing.is_complete()
        self._membership.set_listed_instances(instances)
        self._servers.merge_list(
            item for item in processes if item.kind == "backend_server"
        )

    def _request_listing(self) -> None:
        neighbours = self._membership.neighbours
        if neighbours:
            name = self._rng.choice(neighbours)
            self._membership.send(name, FrameKind.LISTING_REQUEST, None)

    def _answer_request(self, frame: Frame) -> None:
        entries = self._listing.entries()
        for first in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE):
            batch = entries[first : first + MAX_ENTRIES_PER_MESSAGE]
            self._membership.send(frame.sender, FrameKind.LISTING, batch)

    def _receive_listing(self, frame: Frame) -> None:
        for key, version, value in frame.payload:
            self._merge_entry(GossipEntry(str(key), int(version), value))

    def _update_reachable(self, reachable: bool, *, reason: str = "") -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        _log.info("instance_list_reachable", reachable=reachable, reason=reason)
