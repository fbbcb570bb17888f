"""Tests of connections between instances that fall silent while new ones work."""

from __future__ import annotations

import random
from unittest import mock

from ebonyhaven_decisions import Probe
from ebonyhaven_node import Frame, FrameKind, _channels
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node._membership_codec import KIND_BY_MESSAGE_TYPE, encode_message
from ebonyhaven_node._own_record import make_own_record
from ebonyhaven_standins.cluster import allocate_address
from ebonyhaven_standins.fault_proxy import FaultKind, Link
from prometheus_client import CollectorRegistry
from twisted.internet import reactor

from tests.node.test_channels import Endpoint, make_frame
from tests.reactor_thread import run_in_reactor


def make_record(name, endpoint):
    return make_own_record(
        name=name,
        control_address=endpoint.address,
        caller_address="127.0.0.1:9",
        data_centre="dc-a",
        region="r1",
    )


def make_probe(name, endpoint):
    payload = encode_message(Probe(make_record(name, endpoint)))
    return Frame(KIND_BY_MESSAGE_TYPE[Probe], name, 1, payload)


async def send_after_silence():
    other, prober = Endpoint(), Endpoint()
    link = Link(
        name="sender-other",
        listen=allocate_address(),
        target=other.address,
        sides=frozenset(("sender", "other")),
    )
    sender = Endpoint(routes={other.address: link.address})
    controller = MembershipController(
        own=make_record("sender", sender),
        channels=sender.channels,
        reactor=reactor,
        rng=random.Random(1),
        registry=CollectorRegistry(),
    )
    answers = []
    prober.channels.subscribe(FrameKind.PROBE_ANSWER, answers.append)
    prober.received = answers
    try:
        sender.channels.send(other.address, make_frame("before"))
        await other.wait_for(1)
        await link.set_fault(FaultKind.SILENCE_OPEN, 0.0)
        prober.channels.send(sender.address, make_probe("prober", prober))
        await prober.wait_for(1)
        sender.channels.send(other.address, make_frame("after"))
        assert await other.wait_for(2) == [make_frame("before"), make_frame("after")]
    finally:
        controller.stop()
        for each in (sender, other, prober):
            each.channels.close()
        await link.set_fault(FaultKind.RESET, 0.0)
        await link.stop_listening()


def test_messages_reach_others_again_once_one_instance_missed_them():
    # Guards against messages that are lost for good on connections that fell silent.
    with mock.patch.object(_channels, "MIN_REPLACED_AGE_S", 0.0):
        run_in_reactor(send_after_silence)
