"""Instances that exchange messages on a simulated clock, with counts of their work."""

from __future__ import annotations

import bisect
import contextlib
import cProfile
import random
from collections import Counter
from unittest import mock

import structlog
from ebonyhaven_decisions.forwarding import (
    CrashHistory,
    PeerEngineUse,
    ServiceRetryBudget,
    StreamRetention,
)
from ebonyhaven_node._frames import decode_frame, encode_frame
from ebonyhaven_node._link_monitor import LinkMonitor
from ebonyhaven_node.forwarding import _peer_group
from ebonyhaven_node.forwarding._peer_group import PEER_USE_TTL_S, PeerGroup
from ebonyhaven_node.forwarding._permit_exchange import PermitExchange
from ebonyhaven_node.forwarding._settings import GatewaySettings
from ebonyhaven_node.forwarding._shared_stream_index import SharedStreamIndex
from ebonyhaven_node.forwarding._state import ForwardingState
from prometheus_client import CollectorRegistry
from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

from tests.forwarding.fakes import FakeRecordStore, StaticStateSource

NETWORK_S = 0.002
DATA_CENTRES = 3
STEP_S = 0.01
OWN_PACKAGE = "ebonyhaven_"


class CountingClock(Clock):
    """A simulated clock that counts the timers that were set, quick with many."""

    def __init__(self, counts):
        super().__init__()
        self.counts = counts

    def callLater(self, when, what, *args, **kwargs):  # noqa: N802 Twisted API
        self.counts["timers"] += 1
        return self.add(when, what, *args, **kwargs)

    def add(self, when, what, *args, **kwargs):
        """Set a timer that does not count."""
        call = DelayedCall(
            self.seconds() + when,
            what,
            args,
            kwargs,
            self.calls.remove,
            lambda _: None,  # as in `Clock`, `advance` puts it to its place
            self.seconds,
        )
        bisect.insort(self.calls, call, key=DelayedCall.getTime)
        return call


class CountingChannels:
    """Delivers encoded messages, and counts them."""

    def __init__(self, replay, address):
        self._replay = replay
        self._address = address
        self._handlers = {}
        replay.channels[address] = self

    def subscribe(self, kind, handler):
        self._handlers[kind] = handler

    def send(self, address, frame, *, new_connection=False):
        self._replay.deliver(address, frame.kind, self._encode(frame))
        return True

    def send_to_all(self, addresses, frame):
        data = self._encode(frame)
        for address in addresses:
            self._replay.deliver(address, frame.kind, data)

    def _encode(self, frame):
        self._replay.counts[f"encoded {frame.kind.name.lower()}"] += 1
        self._replay.counts["encoded"] += 1
        return encode_frame(frame)

    def receive(self, data):
        self._replay.counts["decoded"] += 1
        frame = decode_frame(data)
        if frame.kind in self._handlers:
            self._handlers[frame.kind](frame)

    def close_idle(self):
        pass

    def replace_connections(self):
        pass

    def close(self):
        self._replay.channels.pop(self._address, None)


class Instance:
    """What one instance shares with the others."""

    def __init__(self, replay, number, seeds):
        self.name = f"n{number}"
        clock = replay.clock
        registry = CollectorRegistry()
        self.state = ForwardingState(clock.seconds)
        self.history = CrashHistory()
        self.group = PeerGroup(
            settings=GatewaySettings(
                instance=self.name,
                data_centre=f"dc-{number % DATA_CENTRES}",
                region="r",
                caller_address=f"{self.name}:1",
                control_address=f"{self.name}:2",
                seeds=seeds,
                grace_s=8.0,
                retry_budget_ratio=0.5,
                retry_budget_window_s=10.0,
                retry_budget_slack=100.0,
            ),
            reactor=clock,
            rng=random.Random(number),
            clock=clock.seconds,
            registry=registry,
            link=LinkMonitor(bytes_per_s=None, registry=registry, clock=clock.seconds),
            state=self.state,
            source=StaticStateSource(),
            peer_use=PeerEngineUse(PEER_USE_TTL_S),
            budget=ServiceRetryBudget(
                ratio=0.5, window_s=10.0, slack=100.0, started_at=clock.seconds()
            ),
            stream_index=SharedStreamIndex(
                clock, clock.seconds, FakeRecordStore(), StreamRetention()
            ),
            permits=PermitExchange(
                backends=self.state.backends.limits,
                reactor=clock,
                rng=random.Random(number),
                clock=clock.seconds,
                on_granted=lambda: None,
            ),
            crash_history=self.history,
            on_peer_use=lambda: None,
            on_peer_losses=lambda: None,
            on_loss=lambda backend: None,
        )
        self.group.start()


class GroupReplay(contextlib.AbstractContextManager):
    """A group of instances that start together.

    Attributes
    ----------
    counts : Counter
        Of all instances together since the last `take_counts`: messages ``sent``,
        ``encoded`` and ``decoded``, ``timers`` set, ``lines`` of the log, and ``calls``
        of functions of the node while time passed. Messages and lines are also
        counted by kind and event, as in ``sent heartbeat``.
    """

    def __init__(self, size):
        self.counts = Counter()
        self.clock = CountingClock(self.counts)
        self.channels = {}
        self.instances = []
        self._size = size
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        enter = self._stack.enter_context
        enter(mock.patch.object(_peer_group, "Channels", self._make_channels))
        enter(mock.patch("time.monotonic", self.clock.seconds))
        processors = [self._count_line, _drop_line]
        before = structlog.get_config()
        structlog.configure(processors=processors, cache_logger_on_first_use=False)
        self._stack.callback(structlog.configure, **before)
        for number in range(self._size):
            seeds = {f"n{seed}": f"n{seed}:2" for seed in range(3) if seed != number}
            self.instances.append(Instance(self, number, seeds))
        return self

    def __exit__(self, *details):
        for each in self.instances:
            each.group.stop()
        self._stack.close()

    def deliver(self, address, kind, data):
        """Have a message arrive, unless its receiver was lost."""
        self.counts["sent"] += 1
        self.counts[f"sent {kind.name.lower()}"] += 1
        self.clock.add(NETWORK_S, self._arrive, address, data)

    def advance(self, seconds):
        """Let time pass, and count what is called meanwhile."""
        profile = cProfile.Profile(builtins=False)
        profile.enable()
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
        profile.disable()
        self.counts["calls"] += sum(
            entry.callcount
            for entry in profile.getstats()
            if OWN_PACKAGE in entry.code.co_filename
        )

    def lose(self, instance):
        """End an instance that tells nobody."""
        self.instances.remove(instance)
        instance.group.stop()

    def take_counts(self):
        """Return the counts since the last call."""
        counts = Counter(self.counts)
        self.counts.clear()
        return counts

    def _make_channels(self, *, address, **_):
        return CountingChannels(self, address)

    def _arrive(self, address, data):
        if address in self.channels:
            self.channels[address].receive(data)

    def _count_line(self, logger, method, event):
        self.counts["lines"] += 1
        self.counts[f"lines {event['event']}"] += 1
        return event


def _drop_line(logger, method, event):
    raise structlog.DropEvent
