"""Simulated instances: real sources and feeds over links that fail."""

from __future__ import annotations

import json
import random

from ebonyhaven_adapter._source import PlatformStateSource
from ebonyhaven_decisions import MemberRecord, MemberState
from ebonyhaven_decisions.forwarding import BackendState
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node._frames import encode_json
from ebonyhaven_node.forwarding import ForwardingState
from ebonyhaven_node.forwarding._state_feed import ServerChangeFeed
from ebonyhaven_node.forwarding._state_synchronization import (
    StateSynchronizer,
)
from twisted.internet.task import Clock

from tests.platform_adapter.list_exploration._reactors import InstanceReactor
from tests.platform_adapter.list_exploration._store import (
    SimulatedClient,
    SimulatedStore,
)

HEARTBEAT_INTERVAL_S = 0.2
SUSPICION_S = 1.2  # of silence, after which an instance is no longer taken for live
LINK_LATENCY_S = 0.002


class Network:
    """Links between instances: ordered, with delays and losses by direction."""

    def __init__(self, world: Clock, rng: random.Random):
        self._world = world
        self._rng = rng
        self.instances: dict[str, SimulatedInstance] = {}
        self.delays_s: dict[tuple[str, str], float] = {}
        self.losses: dict[tuple[str, str], float] = {}
        self._arrivals: dict[tuple[str, str], float] = {}

    def send(self, sender: str, receiver: str, kind: object, payload: object) -> None:
        """Send a message; it arrives after those sent before it, or never."""
        link = (sender, receiver)
        if self._rng.random() < self.losses.get(link, 0.0):
            return
        data = json.loads(encode_json(payload))
        now = self._world.seconds()
        delay_s = self.delays_s.get(link, 0.0)
        delay_s += LINK_LATENCY_S * self._rng.uniform(0.5, 1.5)
        arrival = max(now + delay_s, self._arrivals.get(link, 0.0))
        self._arrivals[link] = arrival
        self._world.callLater(arrival - now, self._arrive, link, kind, data)

    def _arrive(self, link: tuple[str, str], kind: object, payload: object) -> None:
        sender, receiver = link
        instance = self.instances.get(receiver)
        if instance is not None:
            instance.reactor.callLater(0.0, instance.receive, sender, kind, payload)


class SimulatedMembership:
    """Membership by heartbeats that arrive; the parts that feed and sync use."""

    def __init__(self, name: str, network: Network, reactor: InstanceReactor):
        self.own = make_record(name, MemberState.LIVE)
        self._network = network
        self._reactor = reactor
        self._heard: dict[str, tuple[float, MemberState]] = {}
        self._digests = []
        self._observers = []

    @property
    def members(self) -> list[MemberRecord]:
        now = self._reactor.seconds()
        others = [
            make_record(
                name, state if now - heard_at < SUSPICION_S else MemberState.SUSPECT
            )
            for name, (heard_at, state) in self._heard.items()
        ]
        return [self.own, *others]

    def send(self, name: str, kind: object, payload: object) -> bool:
        self._network.send(self.own.name, name, kind, payload)
        return True

    def add_digest(self, digest) -> None:
        self._digests.append(digest)

    def observe_view(self, observer) -> None:
        self._observers.append(lambda _: observer())

    def send_to_all(self, names, kind, payload) -> None:
        for name in names:
            self.send(name, kind, payload)

    def set_excluded_entries(self, names, *, reason, may_exclude_all=True) -> None:
        pass

    def leave(self) -> None:
        self.own = make_record(self.own.name, MemberState.LEAVING)

    def start(self) -> None:
        self._beat()

    def _beat(self) -> None:
        digests = [digest.collect(64) for digest in self._digests]
        payload = [int(self.own.state), digests]
        for name in self._network.instances:
            if name != self.own.name:
                self._network.send(self.own.name, name, "heartbeat", payload)
        self._reactor.callLater(HEARTBEAT_INTERVAL_S, self._beat)

    def receive(self, sender: str, payload) -> None:
        state, digests = payload
        is_changed = self._heard.get(sender, (0.0, None))[1] != MemberState(state)
        self._heard[sender] = (self._reactor.seconds(), MemberState(state))
        for observer in self._observers if is_changed else ():
            observer(make_record(sender, MemberState(state)))
        for digest, content in zip(self._digests, digests, strict=True):
            digest.merge(sender, content)


class SimulatedChannels:
    """Handlers of an instance by kind of message."""

    def __init__(self):
        self.handlers = {}

    def subscribe(self, kind, handler) -> None:
        self.handlers[kind] = handler


class SimulatedInstance:
    """One life of an instance."""

    def __init__(
        self,
        *,
        name: str,
        world: Clock,
        store: SimulatedStore,
        network: Network,
        rng: random.Random,
    ):
        self.name = name
        self.reactor = InstanceReactor(world)
        self.client = SimulatedClient(
            store=store, name=name, reactor=self.reactor, rng=rng
        )
        self.state = ForwardingState(self.reactor.seconds)
        self.source = PlatformStateSource(
            client=self.client,
            state=self.state,
            reactor=self.reactor,
            clock=self.reactor.seconds,
        )
        self.membership = SimulatedMembership(name, network, self.reactor)
        self._channels = SimulatedChannels()
        ServerChangeFeed(
            source=self.source,
            membership=self.membership,
            channels=self._channels,
            reactor=self.reactor,
        )
        StateSynchronizer(
            source=self.source,
            membership=self.membership,
            channels=self._channels,
            reactor=self.reactor,
            clock=self.reactor.seconds,
        )
        network.instances[name] = self

    def start(self) -> None:
        self.source.start()
        self.membership.start()

    def receive(self, sender: str, kind: object, payload: object) -> None:
        if kind == "heartbeat":
            self.membership.receive(sender, payload)
            return
        self._channels.handlers[kind](Frame(FrameKind(kind), sender, 1, payload))

    def may_use(self, server_id: str) -> bool:
        """Return whether the instance takes the server to be listed and ready."""
        backend = self.state.backends.find(server_id)
        return backend is not None and backend.entry.state is BackendState.READY


def make_record(name: str, state: MemberState) -> MemberRecord:
    return MemberRecord(
        incarnation=1,
        state=state,
        name=name,
        control_address=f"{name}:1",
        caller_address=f"{name}:2",
        data_centre="dc-a",
        region="r1",
    )
