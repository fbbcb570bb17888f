"""Simulated cluster of membership views on a virtual clock."""

from __future__ import annotations

import heapq
import random

from ebonyhaven_decisions import (
    TICK_S,
    Envelope,
    MemberRecord,
    Membership,
    MemberState,
)

MESSAGE_DELAY_S = 0.002


def make_record(name: str, *, data_centre: str = "dc-a", **changes) -> MemberRecord:
    record = MemberRecord(
        incarnation=1,
        state=MemberState.LIVE,
        name=name,
        control_address=f"{name}:1",
        caller_address=f"{name}:2",
        data_centre=data_centre,
        region="r1",
    )
    return record._replace(**changes)


class SimulatedCluster:
    """Membership views of several instances that exchange messages in memory.

    Each message is lost with the probability ``loss``. All messages are lost on the
    links in ``cut_links``, which are pairs of sender and receiver. Instances in
    ``stopped`` receive neither ticks nor messages.
    """

    def __init__(self, count: int, *, seed: int = 1, loss: float = 0.0):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.loss = loss
        self.views: dict[str, Membership] = {}
        self.stopped: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.sent_message_count = 0
        self._events: list[tuple[float, int, str, tuple | None]] = []
        self._sequence = 0
        for index in range(count):
            self.start(f"n{index}", data_centre=f"dc-{index % 3}")

    def start(self, name: str, **changes) -> Membership:
        own = make_record(name, **changes)
        rng = random.Random(self.rng.random())
        view = Membership(own=own, rng=rng, now=self.now)
        self.views[name] = view
        self.stopped.discard(name)
        for each in self.views.values():
            each.set_listed({other: f"{other}:1" for other in self.views})
        self._schedule(self.now + self.rng.random() * TICK_S, name, None)
        return view

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, name, delivery = heapq.heappop(self._events)
            self.now = at
            self._handle(name, delivery)
        self.now = end

    def run_until(self, condition, limit_s: float) -> float:
        """Run until the condition is met and return the elapsed seconds."""
        started_at = self.now
        while not condition():
            assert self.now - started_at < limit_s, "not reached in time"
            self.run(0.05)
        return self.now - started_at

    def list_states(self, subject: str) -> set[MemberState | None]:
        """Return the states of an instance in the views of the other running ones.

        The set contains None if a view has no record of the instance.
        """
        states = set()
        for name, view in self.views.items():
            if name != subject and name not in self.stopped:
                record = view.table.get(subject)
                states.add(record.state if record else None)
        return states

    def has_converged(self) -> bool:
        """Return whether each running view has as many live members as are running."""
        running = [v for n, v in self.views.items() if n not in self.stopped]
        return all(
            sum(record.state == MemberState.LIVE for record in view.table)
            == len(running)
            for view in running
        )

    def _handle(self, name: str, delivery: tuple | None) -> None:
        if delivery is None:
            self._schedule(self.now + TICK_S, name, None)
        if name in self.stopped:
            return
        view = self.views[name]
        if delivery is None:
            envelopes = view.tick(self.now)
        else:
            sender, incarnation, message = delivery
            envelopes = view.receive(sender, incarnation, message, self.now)
        if view.has_pending_updates:
            envelopes = envelopes + view.flush(self.now)
        for envelope in envelopes:
            self._send(view, envelope)

    def _send(self, view: Membership, envelope: Envelope) -> None:
        self.sent_message_count += 1
        target = envelope.address.split(":")[0]
        if (view.own.name, target) in self.cut_links or self.rng.random() < self.loss:
            return
        delivery = (view.own.name, view.own.incarnation, envelope.message)
        self._schedule(self.now + MESSAGE_DELAY_S, target, delivery)

    def _schedule(self, at: float, name: str, delivery: tuple | None) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, name, delivery))
