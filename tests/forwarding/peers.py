"""Other instances of a test: records, messages sent to them, and handlers."""

from __future__ import annotations

from ebonyhaven_decisions import MemberRecord, MemberState


class FakeChannels:
    def __init__(self):
        self.handlers = {}

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler


def make_record(name) -> MemberRecord:
    return MemberRecord(
        incarnation=1,
        state=MemberState.LIVE,
        name=name,
        control_address=f"{name}:1",
        caller_address=f"{name}:2",
        data_centre="dc-a",
        region="r1",
    )


class FakeMembership:
    def __init__(self, *names):
        self.own = make_record("n1")
        self.members = [self.own, *map(make_record, names)]
        self.sent = []
        self.digests = []
        self.excluded_entries = frozenset()
        self.observers = []
        self.has_joined = True

    def observe(self, observer):
        self.observers.append(observer)

    def observe_view(self, observer):
        self.observers.append(lambda _: observer())

    def send_to_all(self, names, kind, payload):
        for name in names:
            self.send(name, kind, payload)

    def send(self, name, kind, payload):
        self.sent.append((name, kind, payload))
        return True

    def add_digest(self, digest):
        self.digests.append(digest)

    def set_excluded_entries(self, names, *, reason, may_exclude_all=True):
        self.excluded_entries = frozenset(names)
