from __future__ import annotations

import random
import time

import pynng
from ebonyhaven_node import ChannelMetrics, ChannelOptions, Channels, Frame, FrameKind
from ebonyhaven_node._channel_metrics import BURST_S, Direction
from ebonyhaven_standins.cluster import allocate_address
from prometheus_client import CollectorRegistry
from twisted.internet import reactor, task
from twisted.internet.task import Clock

from tests.reactor_thread import run_in_reactor

RECEIVE_TIMEOUT_S = 20.0


class Endpoint:
    """Channels and the frames received on them."""

    def __init__(self, **options):
        self.address = allocate_address()
        self.registry = CollectorRegistry()
        self.received: list[Frame] = []
        self.channels = Channels(
            reactor=reactor,
            address=self.address,
            metrics=ChannelMetrics(self.registry),
            rng=random.Random(1),
            options=ChannelOptions(**options),
        )
        self.channels.subscribe(FrameKind.CONFIGURATION, self.received.append)

    def read_metric(self, name: str, **labels: str) -> float:
        return self.registry.get_sample_value(f"ebonyhaven_control_{name}", labels)

    async def wait_for(self, count: int) -> list[Frame]:
        deadline = time.monotonic() + RECEIVE_TIMEOUT_S
        while len(self.received) < count:
            assert time.monotonic() < deadline, self.received
            await task.deferLater(reactor, 0.01)
        return self.received


def make_frame(payload) -> Frame:
    return Frame(FrameKind.CONFIGURATION, "n1", 3, payload)


async def exchange_frames(new_connection: bool):
    first, second = Endpoint(), Endpoint()
    try:
        for number in range(3):
            first.channels.send(
                second.address, make_frame(number), new_connection=new_connection
            )
            await second.wait_for(number + 1)
        assert second.received == [make_frame(number) for number in range(3)]
        assert second.read_metric(
            "bytes_total", direction="received"
        ) == first.read_metric("bytes_total", direction="sent")
        assert first.read_metric("bytes_total", direction="sent") == first.read_metric(
            "sent_bytes_total", kind="configuration"
        )
    finally:
        first.channels.close()
        second.channels.close()


def test_bytes_that_are_sent_together_are_told_as_one_burst():
    # Guards against messages that fill the link to callers unseen.
    clock = Clock()
    registry = CollectorRegistry()
    metrics = ChannelMetrics(registry, clock.seconds)
    for _ in range(66):
        metrics.count_message(Direction.SENT, FrameKind.SERVER_LOSSES, 2580)
    clock.advance(BURST_S)
    metrics.count_message(Direction.RECEIVED, FrameKind.SERVER_LOSSES, 2580)
    metrics.count_message(Direction.SENT, FrameKind.HEARTBEAT, 200)
    clock.advance(BURST_S)
    metrics.count_message(Direction.SENT, FrameKind.HEARTBEAT, 200)
    name = "ebonyhaven_control_burst_bytes"
    assert registry.get_sample_value(f"{name}_sum") == 66 * 2580 + 200
    assert registry.get_sample_value(f"{name}_bucket", {"le": "131072.0"}) == 1


def test_frames_arrive_and_are_counted_by_sender_and_receiver():
    run_in_reactor(exchange_frames, False)


def test_frames_arrive_on_new_connections():
    run_in_reactor(exchange_frames, True)


async def send_to_unreachable_instance():
    endpoint = Endpoint()
    try:
        unused_address = allocate_address()
        queued = [
            endpoint.channels.send(unused_address, make_frame(i)) for i in range(40)
        ]
        assert not queued[-1]
        assert endpoint.read_metric(
            "dropped_total", reason="queue_full"
        ) == queued.count(False)
    finally:
        endpoint.channels.close()


def test_messages_to_an_unreachable_instance_are_dropped_without_blocking():
    run_in_reactor(send_to_unreachable_instance)


async def receive_malformed():
    sender, receiver = Endpoint(), Endpoint()
    try:
        with pynng.Push0(dial=f"tcp://{receiver.address}") as raw:
            for data in (b"", b"[1]", b'["zz","n1",1,0]', b'["c",1,1,0]'):
                raw.send(data)
            while receiver.read_metric("dropped_total", reason="malformed") != 4:
                await task.deferLater(reactor, 0.01)
        sender.channels.send(receiver.address, make_frame("good"))
        assert await receiver.wait_for(1) == [make_frame("good")]
    finally:
        sender.channels.close()
        receiver.channels.close()


def test_malformed_messages_are_counted_and_dropped():
    run_in_reactor(receive_malformed)


async def receive_deeply_nested():
    sender, receiver = Endpoint(), Endpoint()
    texts = ("[" * 50_000, "[" * 5000 + "]" * 5000, "1" * 5000, "1e999", r'"\ud800"')
    try:
        with pynng.Push0(dial=f"tcp://{receiver.address}") as raw:
            for text in texts:
                raw.send(f'["c","n1",1,{text}]'.encode())
            raw.send(b'["c","n1",1' + b"0" * 400 + b",0]")
            deadline = time.monotonic() + RECEIVE_TIMEOUT_S
            while receiver.read_metric("dropped_total", reason="malformed") != 6:
                assert time.monotonic() < deadline
                await task.deferLater(reactor, 0.01)
        sender.channels.send(receiver.address, make_frame("good"))
        assert await receiver.wait_for(1) == [make_frame("good")]
    finally:
        sender.channels.close()
        receiver.channels.close()


def test_instance_hears_others_after_a_message_that_can_not_be_read():
    run_in_reactor(receive_deeply_nested)


async def send_to_odd_addresses():
    sender, receiver = Endpoint(), Endpoint()
    try:
        for address in ("nowhere", "", "10.0.0.1", "\ud800:80"):
            assert not sender.channels.send(address, make_frame("lost"))
        assert sender.read_metric("dropped_total", reason="address_invalid") == 4
        sender.channels.send(receiver.address, make_frame("good"))
        assert await receiver.wait_for(1) == [make_frame("good")]
    finally:
        sender.channels.close()
        receiver.channels.close()


def test_messages_to_an_address_that_is_none_are_dropped():
    run_in_reactor(send_to_odd_addresses)


async def raise_in_handler():
    sender, receiver = Endpoint(), Endpoint()
    try:
        receiver.channels.subscribe(FrameKind.QUERY, lambda frame: 1 / 0)
        sender.channels.send(receiver.address, Frame(FrameKind.QUERY, "n1", 3, None))
        sender.channels.send(receiver.address, make_frame("good"))
        assert await receiver.wait_for(1) == [make_frame("good")]
        assert receiver.read_metric("dropped_total", reason="handler_failed") == 1
    finally:
        sender.channels.close()
        receiver.channels.close()


def test_channels_receive_messages_after_a_handler_fails():
    run_in_reactor(raise_in_handler)


async def drop_all_messages():
    sender, receiver = Endpoint(loss=1.0), Endpoint()
    try:
        assert not sender.channels.send(receiver.address, make_frame(1))
        assert sender.read_metric("dropped_total", reason="development_loss") == 1
    finally:
        sender.channels.close()
        receiver.channels.close()


def test_loss_option_drops_messages():
    run_in_reactor(drop_all_messages)
