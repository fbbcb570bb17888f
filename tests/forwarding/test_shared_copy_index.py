from __future__ import annotations

from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import RunCopyLocation, choose_index_instances
from ebonyhaven_decisions.forwarding._copy_index import INDEX_REPLICAS
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node._frames import encode_frame
from ebonyhaven_node.forwarding._shared_copy_index import (
    ANSWER_TIMEOUT_S,
    SharedCopyIndex,
)
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    chunk,
    decode_headers,
    event,
    stream_head,
)
from tests.forwarding.test_sharing import FakeChannels, FakeMembership, make_record

PLACE = RunCopyLocation("e-1", "10.0.0.1:9001", "r1")
OTHERS = ("n2", "n3", "n4", "n5", "n6")


class Network:
    """Hands messages from one exchange to the others at once."""

    def __init__(self):
        self.channels: dict[str, FakeChannels] = {}

    def join(self, exchange, name, others) -> FakeMembership:
        membership = NetworkMembership(self, name, others)
        self.channels[name] = FakeChannels()
        exchange.connect(membership, self.channels[name])
        return membership


class NetworkMembership(FakeMembership):
    def __init__(self, network, name, others):
        super().__init__(*others)
        self.own = make_record(name)
        self.members = [self.own, *map(make_record, others)]
        self.network = network

    def send(self, name, kind, payload):
        super().send(name, kind, payload)
        channels = self.network.channels.get(name)
        if channels is not None:
            channels.handlers[kind](Frame(kind, self.own.name, 1, payload))


def build(*names):
    """Return connected exchanges by name, and their clock."""
    clock, network = Clock(), Network()
    exchanges = {name: SharedCopyIndex(clock, clock.seconds) for name in names}
    for name, exchange in exchanges.items():
        network.join(exchange, name, [each for each in names if each != name])
    return exchanges, network, clock


def ask(exchange, key):
    found = []
    ensureDeferred(exchange.find(key)).addCallback(found.append)
    return found


def test_every_instance_learns_where_the_copy_of_a_lost_instances_run_is():
    exchanges, network, _ = build("n1", *OTHERS)
    exchanges["n1"].tell("abc", PLACE)
    del network.channels["n1"]
    assert [ask(exchanges[name], "abc") for name in OTHERS] == [[PLACE]] * 5


def test_what_was_taken_back_is_found_nowhere():
    exchanges, _, clock = build("n1", *OTHERS)
    exchanges["n1"].tell("abc", PLACE)
    exchanges["n1"].tell("abc", None)
    answers = [ask(exchange, "abc") for exchange in exchanges.values()]
    clock.advance(ANSWER_TIMEOUT_S)
    assert answers == [[None]] * 6


def test_a_complete_run_is_forgotten_without_a_message():
    clock = Clock()
    exchange, network = SharedCopyIndex(clock, clock.seconds), Network()
    membership = network.join(exchange, "n1", OTHERS)
    exchange.tell("abc", PLACE)
    count = len(membership.sent)
    exchange.forget("abc")
    assert len(membership.sent) == count
    assert len(exchange._places) == 0


def test_telling_of_runs_stays_within_its_share_of_control_traffic():
    # At the size of the target a node starts 3.9 generations a second, and all
    # control may take 2,000 bytes a second; less than two thirds of it are for this.
    place = RunCopyLocation("i-0123456789", "10.33.164.138:18028", "0123456789abcdef")
    frame = Frame(FrameKind.RUN_PLACE, "edge-sala-b-44", 44015126, ["0" * 16, place])
    assert 3.9 * INDEX_REPLICAS * len(encode_frame(frame)) <= 2000 * 2 / 3


def test_a_question_without_an_answer_holds_a_caller_up_for_a_moment_only():
    exchanges, network, clock = build("n1", *OTHERS)
    network.channels.clear()
    found = ask(exchanges["n1"], "abc")
    assert found == []
    clock.advance(ANSWER_TIMEOUT_S)
    assert found == [None]
    assert clock.getDelayedCalls() == []


def test_instances_that_are_known_to_be_dead_are_neither_told_nor_asked():
    clock = Clock()
    exchange, network = SharedCopyIndex(clock, clock.seconds), Network()
    membership = network.join(exchange, "n1", OTHERS)
    keepers = [
        name for name in choose_index_instances("abc", ("n1", *OTHERS)) if name != "n1"
    ]
    membership.members = [
        each._replace(state=MemberState.DEAD) if each.name == keepers[0] else each
        for each in membership.members
    ]
    exchange.tell("abc", PLACE)
    told = {name for name, _, _ in membership.sent}
    assert keepers[0] not in told
    assert len(told) >= len(keepers) - 1


def test_an_instance_alone_knows_its_own_copies():
    clock = Clock()
    exchange = SharedCopyIndex(clock, clock.seconds)
    exchange.tell("abc", PLACE)
    assert ask(exchange, "abc") == [PLACE]
    assert ask(exchange, "other") == [None]


def test_malformed_news_are_not_taken_over():
    exchanges, network, _ = build("n1", "n2")
    receive = network.channels["n2"].handlers[FrameKind.RUN_PLACE]
    for payload in ("nonsense", ["abc"], ["abc", ["e-1"]], 7):
        receive(Frame(FrameKind.RUN_PLACE, "n1", 1, payload))
    answer = network.channels["n2"].handlers[FrameKind.RUN_PLACE_REQUEST]
    answer(Frame(FrameKind.RUN_PLACE_REQUEST, "n1", 1, ["abc"]))
    assert len(exchanges["n2"]._places) == 0


STREAMS = 12


def size_of(number) -> dict[str, str]:
    prompt = f"aa:200,b{number:x}:7800"
    return {"X_Token_Count": "8000,700", "X_Prompt_Prefix": prompt}


def open_streams(harness, count) -> dict[str, str]:
    """Give callers a stream with two events each; return the copies' places."""
    places = {}
    for number in range(count):
        request_id = f"first-{number}"
        harness.open_caller().request(
            f"/stream/{number}", request_id, **size_of(number)
        )
        server, head, _ = harness.take_request()
        server.receive(stream_head(request_id) + chunk(event(1)) + chunk(event(2)))
        harness.advance(0.0)
        places[str(number)] = f"{decode_headers(head)['x-kv-backup']}/{request_id}"
    return places


def test_all_callers_of_a_lost_instance_go_on_from_copies_at_once():
    # Load: an instance is lost, and all callers of its streams come back elsewhere
    # within a tenth of a second. Prompts that are read again together made them,
    # and the new streams beside them, late by seconds.
    lost, left, network = (
        ForwardingHarness(engines=9),
        ForwardingHarness(engines=9),
        Network(),
    )
    network.join(lost.gateway._copy_index, "n1", ["n2"])
    network.join(left.gateway._copy_index, "n2", ["n1"])
    places = open_streams(lost, STREAMS)
    del network.channels["n1"]
    callers = []
    for number in range(STREAMS):
        caller = left.open_caller()
        headers = {**size_of(number), "Last_Event_Id": "2"}
        caller.request(f"/stream/{number}", f"second-{number}", **headers)
        callers.append(caller)
    left.advance(0.01)
    waiting = [each for each in left.connections if each.has_request()]
    assert len(waiting) == STREAMS
    for server in waiting:
        head, _ = server.read_request()
        sent = decode_headers(head)
        number = head.target.decode().rpartition("/")[2]
        assert sent["kv-from"] == places[number]
        assert sent["kv-from"].startswith(server.address)
        request_id = sent["x-attempt-id"]
        server.receive(stream_head(request_id) + chunk(event(3)) + STREAM_END)
    assert [each.read_answer()[2] for each in callers] == [event(3)] * STREAMS
