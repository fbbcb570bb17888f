"""Membership protocol at the target scale, in simulated time.

The `Membership` objects of all instances run in one process and exchange messages
without sockets. Each message is encoded as the node encodes it, so message sizes and
processor times are those of the node's code.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Container
from typing import Any, NamedTuple

from ebonyhaven_decisions import (
    TICK_S,
    Envelope,
    Heartbeat,
    Membership,
    MemberState,
)

from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._memory import make_member
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

INSTANCE_COUNTS = (9, 50, 150, 390)
SETTLING_TIME_S = 10.0
MEASURING_TIME_S = 10.0
NETWORK_DELAY_S = 0.002
TICK = "tick"
FLUSH = "flush"


class Traffic(NamedTuple):
    """Messages and bytes sent, and processor time used, by all instances."""

    messages: int
    bytes: int
    processor_s: float


class MembershipSimulation:
    """Membership views of many instances that exchange messages in memory.

    Parameters
    ----------
    count : int
        Number of instances.
    seed : int
        Seed of the random number generators.

    Attributes
    ----------
    stopped : set of str
        Names of instances that neither send nor receive.
    partitioned_regions : set of frozenset of str
        Pairs of regions between which all messages are lost.
    """

    def __init__(self, count: int, *, seed: int = 1) -> None:
        rng = random.Random(seed)
        self.now = 1000.0
        self.stopped: set[str] = set()
        self.partitioned_regions: set[frozenset[str]] = set()
        self.messages = self.bytes = 0
        self.processor_s = 0.0
        self._events: list[tuple[float, int, str, Any]] = []
        self._sequence = 0
        self._next_flush_at: dict[str, float] = {}
        self._last_flush_at: dict[str, float] = {}
        members = [make_member(number) for number in range(count)]
        listed = {member.name: member.control_address for member in members}
        self.members = {member.name: member for member in members}
        self.views: dict[str, Membership] = {}
        for member in members:
            view = Membership(own=member, rng=random.Random(rng.random()), now=self.now)
            view.set_listed(listed)
            # Views start converged, so that no start-up traffic is measured.
            for other in members:
                view.table.merge(other, self.now)
            self.views[member.name] = view
            self._schedule(self.now + rng.random() * TICK_S, member.name, TICK)

    def run(self, seconds: float) -> Traffic:
        """Advance the simulated time and return the traffic of that interval.

        Parameters
        ----------
        seconds : float
            Interval in simulated seconds.

        Returns
        -------
        Traffic
        """
        before = (self.messages, self.bytes, self.processor_s)
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, name, event = heapq.heappop(self._events)
            self._handle(name, event)
        self.now = end
        return Traffic(
            self.messages - before[0],
            self.bytes - before[1],
            self.processor_s - before[2],
        )

    def count_diverging_views(
        self, subjects: set[str], states: Container[MemberState]
    ) -> int:
        """Return how many running instances record an unexpected state of a subject.

        Parameters
        ----------
        subjects : set of str
            Names of instances. A view ignores a subject that it has no record of.
        states : container of MemberState
            Expected states of the subjects.
        """
        return sum(
            any(
                (record := view.table.get(subject)) is not None
                and record.state not in states
                for subject in subjects
            )
            for name, view in self.views.items()
            if name not in self.stopped
        )

    def _handle(self, name: str, event: Any) -> None:
        if event == TICK:
            self._schedule(self.now + TICK_S, name, TICK)
        if name in self.stopped:
            return
        view = self.views[name]
        started = time.thread_time()
        if event == TICK:
            envelopes = view.tick(self.now)
        elif event == FLUSH:
            self._next_flush_at.pop(name)
            self._last_flush_at[name] = self.now
            envelopes = view.flush(self.now)
        else:
            envelopes = view.receive(*event, self.now)
        self.processor_s += time.thread_time() - started
        if view.has_pending_updates:
            self._schedule_flush(name)
        for envelope in envelopes:
            self._send(view, envelope)

    def _schedule_flush(self, name: str) -> None:
        from ebonyhaven_node._membership import FLUSH_DELAY_S, FLUSH_INTERVAL_S

        if name in self._next_flush_at:
            return
        earliest = self._last_flush_at.get(name, 0.0) + FLUSH_INTERVAL_S
        self._next_flush_at[name] = max(self.now + FLUSH_DELAY_S, earliest)
        self._schedule(self._next_flush_at[name], name, FLUSH)

    def _send(self, view: Membership, envelope: Envelope) -> None:
        target = envelope.name or self._find_name(envelope.address)
        self.messages += 1
        self.bytes += count_wire_bytes(view, envelope)
        regions = frozenset({view.own.region, self.members[target].region})
        if regions in self.partitioned_regions:
            return
        delivery = (view.own.name, view.own.incarnation, envelope.message)
        self._schedule(self.now + NETWORK_DELAY_S, target, delivery)

    def _find_name(self, address: str) -> str:
        return next(
            name
            for name, member in self.members.items()
            if member.control_address == address
        )

    def _schedule(self, at: float, name: str, event: Any) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, name, event))


def count_wire_bytes(view: Membership, envelope: Envelope) -> int:
    """Return the size of an encoded message on the wire in bytes.

    Heartbeats are encoded without digests; `HEARTBEAT_DIGEST_BYTES` of the target
    scale accounts for these.
    """
    from ebonyhaven_node._frames import NNG_HEADER_BYTES, Frame, encode_frame
    from ebonyhaven_node._membership_codec import (
        KIND_BY_MESSAGE_TYPE,
        encode_heartbeat,
        encode_message,
    )

    message = envelope.message
    if isinstance(message, Heartbeat):
        payload = encode_heartbeat(message, {})
    else:
        payload = encode_message(message)
    kind = KIND_BY_MESSAGE_TYPE[type(message)]
    frame = Frame(kind, view.own.name, view.own.incarnation, payload)
    return len(encode_frame(frame)) + NNG_HEADER_BYTES


def measure_membership() -> list[Measurement]:
    """Measure traffic and processor time (µs) per instance and second.

    The views have converged before the measurement starts.
    """
    points: dict[str, list[Point]] = {"messages": [], "bytes": [], "cpu": []}
    for count in INSTANCE_COUNTS:
        simulation = MembershipSimulation(count)
        simulation.run(SETTLING_TIME_S)
        traffic = simulation.run(MEASURING_TIME_S)
        per_instance_second = 1.0 / (count * MEASURING_TIME_S)
        points["messages"].append(Point(count, traffic.messages * per_instance_second))
        points["bytes"].append(Point(count, traffic.bytes * per_instance_second))
        points["cpu"].append(
            Point(count, traffic.processor_s * 1e6 * per_instance_second)
        )
    return [
        make_measurement(f"membership_{key}", values) for key, values in points.items()
    ]
