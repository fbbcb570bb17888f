"""Exhaustive exploration of configuration updates on three instances.

Instances learn versions from the table and from each other. Responses of the table
and reports of peers may be delayed, instances may be restarted, and the table may
become permanently unavailable at any time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from ebonyhaven_decisions import (
    ConfigurationEntry,
    ConfigurationView,
    PeerReport,
    apply_peer_report,
    apply_table_entry,
)

from tests.decisions.exploration import Exploration, Transition, explore

INSTANCE_COUNT = 3
MAX_VERSION = 2
ENTRIES = {
    version: ConfigurationEntry(
        version=version,
        change_id=str(version),
        author="operator",
        accepted_at=0.0,
        declaration={},
    )
    for version in range(1, MAX_VERSION + 1)
}


class Member(NamedTuple):
    incarnation: int
    version: int
    highest_version: int
    reports: tuple[tuple[str, int], ...]
    candidate: int
    lowest_allowed_version: int
    was_downgraded: bool = False


class Message(NamedTuple):
    receiver: int
    report: tuple[str, int, int, int]


class State(NamedTuple):
    table_version: int
    outage: bool
    restarts: int
    members: tuple[Member, ...]
    majority_version: int
    delayed_report: Message | None = None
    delayed_read: tuple[int, int] | None = None


class Rules(NamedTuple):
    apply_peer_report: Callable = apply_peer_report
    apply_table_entry: Callable = apply_table_entry
    max_restarts: int = 1
    delayed_messages: bool = True


def make_initial_state() -> State:
    started = Member(1, 1, 1, (), 0, 0)
    return State(1, False, 0, (started,) * INSTANCE_COUNT, 1)


def make_view(member: Member) -> ConfigurationView:
    return ConfigurationView(
        incarnation=member.incarnation,
        entry=ENTRIES.get(member.version),
        highest_version=member.highest_version,
        reports=dict(member.reports),
        candidate=ENTRIES.get(member.candidate),
    )


def update_member(member: Member, view: ConfigurationView) -> Member:
    changed = view.version != member.version
    minimum = max(member.lowest_allowed_version, member.version)
    return member._replace(
        version=view.version,
        highest_version=view.highest_version,
        reports=tuple(sorted(view.reports.items())),
        candidate=view.candidate.version if view.candidate else 0,
        was_downgraded=changed and view.version < minimum,
    )


def replace_member(state: State, index: int, member: Member) -> State:
    members = list(state.members)
    members[index] = member
    versions = sorted((item.version for item in members), reverse=True)
    version_on_majority = versions[INSTANCE_COUNT // 2]
    majority_version = max(state.majority_version, version_on_majority)
    return state._replace(members=tuple(members), majority_version=majority_version)


def apply_report(state: State, message: Message, rules: Rules) -> State:
    peer, version, highest_version, request_incarnation = message.report
    report = PeerReport(
        peer, version, highest_version, ENTRIES.get(version), request_incarnation
    )
    member = state.members[message.receiver]
    view = rules.apply_peer_report(
        make_view(member), report, listed_instances=INSTANCE_COUNT
    )
    return replace_member(state, message.receiver, update_member(member, view))


def apply_read(state: State, index: int, version: int, rules: Rules) -> State:
    member = state.members[index]
    view = rules.apply_table_entry(make_view(member), ENTRIES[version])
    return replace_member(state, index, update_member(member, view))


def has_no_delayed_message(state: State) -> bool:
    return state.delayed_read is None and state.delayed_report is None


def list_table_transitions(state: State, rules: Rules) -> Iterator[Transition]:
    if state.delayed_read is not None:
        index, version = state.delayed_read
        received = state._replace(delayed_read=None)
        yield Transition(
            f"late read {index}", apply_read(received, index, version, rules)
        )
    if state.outage:
        return
    yield Transition("outage", state._replace(outage=True))
    if state.table_version < MAX_VERSION:
        yield Transition(
            "accept", state._replace(table_version=state.table_version + 1)
        )
    for index in range(INSTANCE_COUNT):
        read = apply_read(state, index, state.table_version, rules)
        yield Transition(f"read {index}", read)
        if rules.delayed_messages and has_no_delayed_message(state):
            delayed = (index, state.table_version)
            yield Transition(
                f"start read {index}", state._replace(delayed_read=delayed)
            )


def list_peer_transitions(state: State, rules: Rules) -> Iterator[Transition]:
    if state.delayed_report is not None:
        received = state._replace(delayed_report=None)
        report = apply_report(received, state.delayed_report, rules)
        yield Transition("late report", report)
    for sender, member in enumerate(state.members):
        for receiver in range(INSTANCE_COUNT):
            if receiver == sender:
                continue
            request_incarnation = state.members[receiver].incarnation
            report = (
                str(sender),
                member.version,
                member.highest_version,
                request_incarnation,
            )
            message = Message(receiver, report)
            name = f"report {sender} to {receiver}"
            yield Transition(name, apply_report(state, message, rules))
            if rules.delayed_messages and has_no_delayed_message(state):
                yield Transition(
                    f"start {name}", state._replace(delayed_report=message)
                )


def list_transitions(state: State, rules: Rules) -> Iterator[Transition]:
    yield from list_table_transitions(state, rules)
    yield from list_peer_transitions(state, rules)
    if state.restarts == rules.max_restarts:
        return
    for index, member in enumerate(state.members):
        restarted_member = Member(
            member.incarnation + 1, 0, 0, (), 0, state.majority_version
        )
        replaced = replace_member(state, index, restarted_member)
        delayed_read = state.delayed_read
        remaining_read = (
            None if delayed_read and delayed_read[0] == index else delayed_read
        )
        restarted = replaced._replace(
            restarts=state.restarts + 1, delayed_read=remaining_read
        )
        yield Transition(f"replace {index}", restarted)


def has_no_downgrade(state: State) -> bool:
    return not any(member.was_downgraded for member in state.members)


def explore_rules(rules: Rules) -> Exploration:
    return explore(
        make_initial_state(),
        lambda state: list_transitions(state, rules),
        has_no_downgrade,
    )


def test_active_version_is_never_downgraded():
    result = explore_rules(Rules())
    assert result.violation is None
    assert result.states > 1_000


def test_active_version_is_never_downgraded_with_two_restarts():
    rules = Rules(max_restarts=2, delayed_messages=False)
    assert explore_rules(rules).violation is None


def test_exploration_detects_a_quorum_of_one():
    def apply_report_with_quorum_of_one(view, report, *, listed_instances):
        return apply_peer_report(view, report, listed_instances=1)

    assert (
        explore_rules(
            Rules(apply_peer_report=apply_report_with_quorum_of_one)
        ).violation
        is not None
    )


def test_exploration_detects_counting_replies_to_an_earlier_incarnation():
    def apply_report_as_current_reply(view, report, *, listed_instances):
        current_reply = report._replace(request_incarnation=view.incarnation)
        return apply_peer_report(view, current_reply, listed_instances=listed_instances)

    assert (
        explore_rules(Rules(apply_peer_report=apply_report_as_current_reply)).violation
        is not None
    )


def test_exploration_detects_activation_of_stale_reads():
    def apply_entry_without_state(view, entry):
        return apply_table_entry(ConfigurationView(incarnation=view.incarnation), entry)

    assert (
        explore_rules(Rules(apply_table_entry=apply_entry_without_state)).violation
        is not None
    )
