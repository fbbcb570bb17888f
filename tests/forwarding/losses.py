"""Loss of instances: their streams, and their callers' retries at another one."""

from __future__ import annotations

from ebonyhaven_node import Frame

from tests.forwarding.harness import (
    STREAM_END,
    chunk,
    decode_headers,
    event,
    stream_head,
)
from tests.forwarding.peers import FakeChannels, FakeMembership, make_record

STREAM_COUNT = 12


def make_size_headers(number) -> dict[str, str]:
    prompt = f"aa:200,b{number:x}:7800"
    return {"X_Token_Count": "8000,700", "X_Prompt_Prefix": prompt}


def open_streams(harness, count) -> dict[str, str]:
    """Open streams with two events each; return the ``kv-from`` of their copies."""
    references = {}
    for number in range(count):
        request_id = f"first-{number}"
        harness.open_caller().request(
            f"/stream/{number}", request_id, **make_size_headers(number)
        )
        server, head, _ = harness.take_request()
        server.receive(stream_head(request_id) + chunk(event(1)) + chunk(event(2)))
        harness.advance(0.0)
        references[str(number)] = f"{decode_headers(head)['x-kv-backup']}/{request_id}"
    return references


def resume_streams(harness, references, position) -> list[bytes]:
    """Retry all streams from a position at once, and return what their callers get.

    Each retry must go on from the copy of its run; it gets one more event.
    """
    callers = []
    for number in range(STREAM_COUNT):
        caller = harness.open_caller()
        headers = {**make_size_headers(number), "Last_Event_Id": str(position)}
        caller.request(f"/stream/{number}", f"second-{number}", **headers)
        callers.append(caller)
    harness.advance(0.01)
    waiting = [each for each in harness.connections if each.has_request()]
    assert len(waiting) == STREAM_COUNT
    for server in waiting:
        head, _ = server.read_request()
        sent = decode_headers(head)
        number = head.target.decode().rpartition("/")[2]
        assert sent.get("kv-from") == references[number]
        assert sent["kv-from"].startswith(server.address)
        next_event = chunk(event(position + 1))
        server.receive(stream_head(sent["x-attempt-id"]) + next_event + STREAM_END)
    harness.advance(0.0)
    return [each.read_answer()[2] for each in callers]


class FakeNetwork:
    """Delivers messages between the indexes synchronously."""

    def __init__(self):
        self.channels: dict[str, FakeChannels] = {}

    def join(self, index, name, others) -> FakeMembership:
        """Connect the index of an instance to those of the others."""
        membership = FakeNetworkMembership(self, name, others)
        self.channels[name] = FakeChannels()
        index.connect(membership, self.channels[name])
        return membership


class FakeNetworkMembership(FakeMembership):
    """Sends messages through a fake network."""

    def __init__(self, network, name, others):
        super().__init__(*others)
        self.own = make_record(name)
        self.members = [self.own, *map(make_record, others)]
        self.network = network

    def send(self, name, kind, payload):
        super().send(name, kind, payload)
        channels = self.network.channels.get(name)
        handler = channels.handlers.get(kind) if channels is not None else None
        if handler is not None:  # a process drops messages of kinds that it lacks
            handler(Frame(kind, self.own.name, self.own.incarnation, payload))
        return True
