"""Controller of the membership protocol of this instance."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

import structlog
from ebonyhaven_decisions import (
    TICK_S,
    EntryList,
    Envelope,
    Heartbeat,
    MemberRecord,
    Membership,
    MembershipMessage,
    Probe,
)
from prometheus_client import CollectorRegistry
from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._digests import Digest, DigestSet
from ebonyhaven_node._entry_lists import EntryLists
from ebonyhaven_node._frames import Frame, FrameError, FrameKind
from ebonyhaven_node._membership_codec import (
    KIND_BY_MESSAGE_TYPE,
    decode_heartbeat,
    decode_message,
    encode_heartbeat,
    encode_message,
)
from ebonyhaven_node._membership_metrics import MembershipMetrics

if TYPE_CHECKING:
    from ebonyhaven_store import ListedProcess

FLUSH_DELAY_S = 0.03
FLUSH_INTERVAL_S = 0.1
IDLE_CHECK_INTERVAL_TICKS = 20
DEPARTURE_DELAY_S = 0.2

_log = structlog.get_logger()


class MembershipController:
    """Runs the membership protocol and exchanges digests with other instances.

    Parameters
    ----------
    own : MemberRecord
        Record of this instance.
    channels : Channels
        Transport of the messages.
    reactor : IReactorTime
    rng : random.Random
    registry : CollectorRegistry
        Registry of the metrics.
    clock : callable
        Returns seconds of a clock that also runs while the process is paused.
    """

    def __init__(
        self,
        *,
        own: MemberRecord,
        channels: Channels,
        reactor: IReactorTime,
        rng: random.Random,
        registry: CollectorRegistry,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._channels = channels
        self._reactor = reactor
        self._rng = rng
        self._clock = clock
        self._membership = Membership(own=own, rng=rng, now=clock())
        self._metrics = MembershipMetrics(registry, self._membership)
        self._digests = DigestSet(on_fault=self._metrics.count_fault)
        self._observers: list[Callable[[MemberRecord], None]] = []
        self._view_observers: list[Callable[[], None]] = []
        self._load_source: Callable[[], float] = lambda: 0.0
        self._entries = EntryLists(membership=self._membership, rng=rng, clock=clock)
        self._seeds: dict[str, str] = {}
        self._flushed_at = clock()
        self._flush_call: Any = None
        self._flush_all_targets = False
        self._tick_call: Any = None
        self._ticks = 0
        self._superseded = False
        for kind in KIND_BY_MESSAGE_TYPE.values():
            channels.subscribe(kind, self._receive)

    @property
    def own(self) -> MemberRecord:
        """Current record of this instance."""
        return self._membership.own

    @property
    def members(self) -> list[MemberRecord]:
        """Records of all known instances, including this one."""
        return list(self._membership.table)

    @property
    def has_joined(self) -> bool:
        """Whether `members` shows the other instances; it does not after a start."""
        return self._membership.has_joined

    @property
    def neighbours(self) -> tuple[str, ...]:
        """Names of the instances that receive heartbeats from this one."""
        return self._membership.targets

    def start(self) -> None:
        """Start sending heartbeats."""
        delay_s = TICK_S * self._rng.random()
        self._tick_call = self._reactor.callLater(delay_s, self._tick)

    def stop(self) -> None:
        """Cancel all timers."""
        for call in (self._tick_call, self._flush_call):
            if call is not None and call.active():
                call.cancel()

    def leave(self) -> None:
        """Announce that this instance accepts no new callers."""
        self._membership.leave(self._clock())
        self._schedule_flush()

    def depart(self) -> Deferred[None]:
        """Announce that this instance stops, and cancel all timers.

        Returns
        -------
        Deferred
            Fires after a delay in which the queued announcement can be sent.
        """
        self.stop()
        self._send_all(self._membership.depart(self._clock()))
        return task.deferLater(self._reactor, DEPARTURE_DELAY_S, lambda: None)

    def set_seeds(self, addresses: Mapping[str, str]) -> None:
        """Set instances to contact in addition to those on the platform's list.

        Parameters
        ----------
        addresses : mapping of str to str
            Control addresses by name.
        """
        self._seeds = dict(addresses)
        self._membership.set_listed(self._seeds)

    def set_listed_instances(self, instances: Iterable[ListedProcess]) -> None:
        """Set the instances on the platform's list, which may be out of date.

        Parameters
        ----------
        instances : iterable of ListedProcess
        """
        listed = list(instances)
        self._entries.set_excluded(
            (item.name for item in listed if item.state == "leaving"),
            reason="listed as leaving",
        )
        addresses = {
            item.name: item.control_address for item in listed if item.control_address
        }
        self._membership.set_listed(self._seeds | addresses)

    def set_excluded_entries(
        self, names: Iterable[str], *, reason: str, may_exclude_all: bool = True
    ) -> None:
        """Set the instances that are left out of the entry points for callers.

        Parameters
        ----------
        names, reason, may_exclude_all
            See `EntryLists.set_excluded`.
        """
        self._entries.set_excluded(
            names, reason=reason, may_exclude_all=may_exclude_all
        )
        self._entries.record_change()

    def add_digest(self, digest: Digest) -> None:
        """Send and receive a digest with the heartbeats.

        Parameters
        ----------
        digest : Digest
        """
        self._digests.add(digest)

    def observe(self, observer: Callable[[MemberRecord], None]) -> None:
        """Call ``observer`` with each changed record of another instance.

        Parameters
        ----------
        observer : callable
        """
        self._observers.append(observer)

    def observe_view(self, observer: Callable[[], None]) -> None:
        """Call ``observer`` once after changed records, however many there are.

        Parameters
        ----------
        observer : callable
            Called after the observers of the records.
        """
        self._view_observers.append(observer)

    def set_load_source(self, source: Callable[[], float]) -> None:
        """Set the function that measures the load of this instance.

        Parameters
        ----------
        source : callable
            Returns the used share of the capacity, 0 to 1.
        """
        self._load_source = source

    def send(self, name: str, kind: FrameKind, payload: Any) -> bool:
        """Send a message of another controller.

        Parameters
        ----------
        name : str
            Name of the receiving instance.
        kind : FrameKind
        payload : object
            JSON value.

        Returns
        -------
        bool
            Whether the receiver is known and the message was queued.
        """
        record = self._membership.table.get(name)
        if record is None:
            return False
        frame = Frame(kind, self.own.name, self.own.incarnation, payload)
        return self._channels.send(record.control_address, frame)

    def send_to_all(self, names: Iterable[str], kind: FrameKind, payload: Any) -> None:
        """Send the same message of another controller to several instances.

        Parameters
        ----------
        names : iterable of str
            Names of the receiving instances; unknown ones are left out.
        kind : FrameKind
        payload : object
            JSON value.
        """
        records = map(self._membership.table.get, names)
        addresses = [each.control_address for each in records if each is not None]
        frame = Frame(kind, self.own.name, self.own.incarnation, payload)
        self._channels.send_to_all(addresses, frame)

    def schedule_heartbeats(self) -> None:
        """Schedule heartbeats to all neighbours to send a changed digest early."""
        self._schedule_flush(all_targets=True)

    def choose_entries(self) -> EntryList:
        """Return the entry points for a caller."""
        return self._entries.choose(load=self._load_source())

    def _tick(self) -> None:
        self._tick_call = self._reactor.callLater(TICK_S, self._tick)
        now = self._clock()
        tenths = min(10, max(0, round(10 * self._load_source())))
        self._membership.report_load(tenths, now)
        self._send_all(self._membership.tick(now))
        self._handle_changes(now)
        self._ticks += 1
        if self._ticks % IDLE_CHECK_INTERVAL_TICKS == 0:
            self._channels.close_idle()

    def _receive(self, frame: Frame) -> None:
        try:
            message = self._decode(frame)
        except FrameError:
            self._metrics.count_fault("message_malformed")
            return
        if isinstance(message, Probe):  # its sender does not hear this instance
            self._channels.replace_connections()
        now = self._clock()
        envelopes = self._membership.receive(
            frame.sender, frame.incarnation, message, now
        )
        self._send_all(envelopes)
        self._handle_changes(now)

    def _decode(self, frame: Frame) -> MembershipMessage:
        if frame.kind != FrameKind.HEARTBEAT:
            return decode_message(frame.kind, frame.payload)
        heartbeat, digests = decode_heartbeat(frame.payload)
        if digests:
            self._digests.merge(frame.sender, digests)
        return heartbeat

    def _handle_changes(self, now: float) -> None:
        changes = self._membership.pop_changes()
        for record in changes:
            self._entries.record_change()
            _log.info(
                "instance_changed",
                peer=record.name,
                state=record.state.name.lower(),
                incarnation=record.incarnation,
            )
            for observer in self._observers:
                observer(record)
        if changes:
            for notify in self._view_observers:
                notify()
        if self._membership.superseded and not self._superseded:
            self._superseded = True
            _log.error("instance_superseded")
        if self._membership.has_pending_updates:
            self._schedule_flush()

    def _schedule_flush(self, *, all_targets: bool = False) -> None:
        self._flush_all_targets |= all_targets
        if self._flush_call is not None and self._flush_call.active():
            return
        remaining_s = self._flushed_at + FLUSH_INTERVAL_S - self._clock()
        delay_s = max(FLUSH_DELAY_S, remaining_s)
        self._flush_call = self._reactor.callLater(delay_s, self._flush)

    def _flush(self) -> None:
        now = self._clock()
        all_targets, self._flush_all_targets = self._flush_all_targets, False
        self._flushed_at = now
        self._send_all(self._membership.flush(now, all_targets=all_targets))
        if self._membership.has_pending_updates:
            self._schedule_flush()

    def _send_all(self, envelopes: Iterable[Envelope]) -> None:
        for envelope in envelopes:
            self._send_envelope(envelope)

    def _send_envelope(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, Heartbeat):
            payload = encode_heartbeat(message, self._digests.collect())
        else:
            payload = encode_message(message)
        kind = KIND_BY_MESSAGE_TYPE[type(message)]
        frame = Frame(kind, self.own.name, self.own.incarnation, payload)
        self._channels.send(
            envelope.address, frame, new_connection=envelope.new_connection
        )
