"""Explores three instances that learn configurations from a table and each other.

Reads of the table and reports of peers arrive late, instances are replaced, and
the table goes out for good at any moment.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from ebonyhaven_decisions import (
    ConfigurationEntry,
    ConfigurationView,
    PeerReport,
    observe_peer,
    observe_table,
)

from tests.decisions.exploration import Exploration, Step, explore

INSTANCES = 3
LAST_VERSION = 2
ENTRIES = {
    version: ConfigurationEntry(
        version=version,
        change_id=str(version),
        author="operator",
        accepted_at=0.0,
        declaration={},
    )
    for version in range(1, LAST_VERSION + 1)
}


class Member(NamedTuple):
    incarnation: int
    version: int
    highest: int
    reports: tuple[tuple[str, int], ...]
    candidate: int
    floor: int
    went_back: bool = False


class Message(NamedTuple):
    receiver: int
    report: tuple[str, int, int, int]


class State(NamedTuple):
    table_version: int
    outage: bool
    restarts: int
    members: tuple[Member, ...]
    majority_version: int
    late_report: Message | None = None
    late_read: tuple[int, int] | None = None


class Rules(NamedTuple):
    observe_peer: Callable = observe_peer
    observe_table: Callable = observe_table
    most_restarts: int = 1
    late_messages: bool = True


def make_initial() -> State:
    started = Member(1, 1, 1, (), 0, 0)
    return State(1, False, 0, (started,) * INSTANCES, 1)


def load_view(member: Member) -> ConfigurationView:
    return ConfigurationView(
        incarnation=member.incarnation,
        entry=ENTRIES.get(member.version),
        highest_version=member.highest,
        reports=dict(member.reports),
        candidate=ENTRIES.get(member.candidate),
    )


def store_view(member: Member, view: ConfigurationView) -> Member:
    changed = view.version != member.version
    lowest = max(member.floor, member.version)
    return member._replace(
        version=view.version,
        highest=view.highest_version,
        reports=tuple(sorted(view.reports.items())),
        candidate=view.candidate.version if view.candidate else 0,
        went_back=changed and view.version < lowest,
    )


def replace_member(state: State, index: int, member: Member) -> State:
    members = list(state.members)
    members[index] = member
    versions = sorted((item.version for item in members), reverse=True)
    in_force = versions[INSTANCES // 2]
    majority = max(state.majority_version, in_force)
    return state._replace(members=tuple(members), majority_version=majority)


def receive_report(state: State, message: Message, rules: Rules) -> State:
    peer, version, highest, answers = message.report
    report = PeerReport(peer, version, highest, ENTRIES.get(version), answers)
    member = state.members[message.receiver]
    view = rules.observe_peer(load_view(member), report, listed_instances=INSTANCES)
    return replace_member(state, message.receiver, store_view(member, view))


def receive_read(state: State, index: int, version: int, rules: Rules) -> State:
    member = state.members[index]
    view = rules.observe_table(load_view(member), ENTRIES[version])
    return replace_member(state, index, store_view(member, view))


def has_no_late_message(state: State) -> bool:
    return state.late_read is None and state.late_report is None


def list_table_steps(state: State, rules: Rules) -> Iterator[Step]:
    if state.late_read is not None:
        index, version = state.late_read
        arrived = state._replace(late_read=None)
        yield Step(f"late read {index}", receive_read(arrived, index, version, rules))
    if state.outage:
        return
    yield Step("outage", state._replace(outage=True))
    if state.table_version < LAST_VERSION:
        yield Step("accept", state._replace(table_version=state.table_version + 1))
    for index in range(INSTANCES):
        read = receive_read(state, index, state.table_version, rules)
        yield Step(f"read {index}", read)
        if rules.late_messages and has_no_late_message(state):
            late = (index, state.table_version)
            yield Step(f"start read {index}", state._replace(late_read=late))


def list_peer_steps(state: State, rules: Rules) -> Iterator[Step]:
    if state.late_report is not None:
        arrived = state._replace(late_report=None)
        report = receive_report(arrived, state.late_report, rules)
        yield Step("late report", report)
    for sender, member in enumerate(state.members):
        for receiver in range(INSTANCES):
            if receiver == sender:
                continue
            answers = state.members[receiver].incarnation
            report = (str(sender), member.version, member.highest, answers)
            message = Message(receiver, report)
            name = f"report {sender} to {receiver}"
            yield Step(name, receive_report(state, message, rules))
            if rules.late_messages and has_no_late_message(state):
                yield Step(f"start {name}", state._replace(late_report=message))


def list_steps(state: State, rules: Rules) -> Iterator[Step]:
    yield from list_table_steps(state, rules)
    yield from list_peer_steps(state, rules)
    if state.restarts == rules.most_restarts:
        return
    for index, member in enumerate(state.members):
        fresh = Member(member.incarnation + 1, 0, 0, (), 0, state.majority_version)
        replaced = replace_member(state, index, fresh)
        late_read = state.late_read
        lost_read = None if late_read and late_read[0] == index else late_read
        restarted = replaced._replace(restarts=state.restarts + 1, late_read=lost_read)
        yield Step(f"replace {index}", restarted)


def holds(state: State) -> bool:
    return not any(member.went_back for member in state.members)


def explore_rules(rules: Rules) -> Exploration:
    return explore(make_initial(), lambda state: list_steps(state, rules), holds)


def test_no_instance_goes_back():
    result = explore_rules(Rules())
    assert result.violation is None
    assert result.states > 1_000


def test_no_instance_goes_back_when_two_are_replaced():
    rules = Rules(most_restarts=2, late_messages=False)
    assert explore_rules(rules).violation is None


def test_trusting_one_peer_is_caught():
    def observe_one(view, report, *, listed_instances):
        return observe_peer(view, report, listed_instances=1)

    assert explore_rules(Rules(observe_peer=observe_one)).violation is not None


def test_counting_reports_from_before_the_start_is_caught():
    def observe_any(view, report, *, listed_instances):
        fresh = report._replace(answers=view.incarnation)
        return observe_peer(view, fresh, listed_instances=listed_instances)

    assert explore_rules(Rules(observe_peer=observe_any)).violation is not None


def test_taking_any_read_of_the_table_is_caught():
    def observe_any(view, entry):
        return observe_table(ConfigurationView(incarnation=view.incarnation), entry)

    assert explore_rules(Rules(observe_table=observe_any)).violation is not None
