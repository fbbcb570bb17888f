"""The checker finds each kind of violation and passes a clean history."""

from __future__ import annotations

from ebonyhaven_standins.caller import ReceivedToken, derive_prompt_origin
from ebonyhaven_standins.checker import (
    Evidence,
    LogLine,
    TimelineEvent,
    TimelineKind,
    ViolationKind,
    check,
)

PROMPT = "Summarise the theatre call."
PROMPT_ORIGIN = derive_prompt_origin(PROMPT)
ORIGIN = PROMPT_ORIGIN + "0a0b0c"
LENGTH = 6
ADDRESS = "127.0.0.1:8101"
OTHER_ADDRESS = "127.0.0.1:8102"


def make_token(offset, *, at=None, origin=ORIGIN, server="s1", connection=0):
    time = 10.0 + offset if at is None else at
    return ReceivedToken(
        time, connection, offset, "9f3a61c2", server, f"{origin}:{offset} "
    )


def make_connection(**changes):
    connection = {
        "address": ADDRESS,
        "sent_at": 9.0,
        "last_event_id": None,
        "answered_at": 9.5,
        "status": 200,
        "ended_at": 20.0,
        "outcome": "completed",
        "step": "",
        "peer": "",
        "reason": "",
    }
    return {**connection, **changes}


def make_record(**changes):
    record = {
        "workspace": "studio-a",
        "request_class": "analysis",
        "key": "k1",
        "prompt_origin": PROMPT_ORIGIN,
        "prompt_characters": len(PROMPT),
        "max_tokens": LENGTH,
        "repeatable": True,
        "started_at": 9.0,
        "finished_at": 20.0,
        "finish_offset": LENGTH,
        "outcome": "completed",
        "connections": [make_connection()],
        "tokens": [make_token(offset) for offset in range(LENGTH)],
    }
    return {**record, **changes}


def make_line(event, *, at=9.2, server="s1", offset=0, prefill=0, decoded=0):
    return LogLine(at, server, event, "r1", offset, prefill, decoded, ORIGIN)


def make_lines():
    return [
        make_line("start"),
        make_line("token_count", at=9.3, prefill=7),
        make_line("finish", at=16.0, offset=LENGTH, decoded=LENGTH),
    ]


def run_check(record=None, lines=None, timeline=()):
    records = [record or make_record()]
    return check(Evidence(records, make_lines() if lines is None else lines, timeline))


def kinds_of(report):
    return [violation.kind for violation in report.violations]


def test_a_clean_history_passes():
    report = run_check()
    assert report.passed
    assert report.completed == 1
    assert report.extra_resource_ratio == 0.0


def test_a_dropped_token_is_found():
    tokens = [make_token(offset) for offset in range(LENGTH) if offset != 2]
    report = run_check(make_record(tokens=tokens))
    assert kinds_of(report) == [ViolationKind.MISSING_TOKEN]
    assert report.summarize()["missing_tokens"] == 1


def test_a_dropped_last_token_is_found():
    report = run_check(make_record(tokens=make_record()["tokens"][:-1]))
    assert kinds_of(report) == [ViolationKind.MISSING_TOKEN]


def test_an_answer_that_ends_early_is_found():
    tokens = make_record()["tokens"][:-2]
    report = run_check(make_record(tokens=tokens, finish_offset=LENGTH - 2))
    assert kinds_of(report) == [ViolationKind.MISSING_TOKEN]


def test_a_renumbered_token_is_found():
    tokens = make_record()["tokens"]
    tokens[3] = tokens[3]._replace(text=f"{ORIGIN}:4 ")
    assert kinds_of(run_check(make_record(tokens=tokens))) == [
        ViolationKind.MISSING_TOKEN
    ]


def test_a_repeated_token_is_found():
    tokens = make_record()["tokens"]
    tokens.insert(3, tokens[2])
    report = run_check(make_record(tokens=tokens))
    assert kinds_of(report) == [ViolationKind.REPEATED_TOKEN]


def test_a_mix_of_two_runs_is_found():
    tokens = make_record()["tokens"]
    tokens[4:] = [
        make_token(offset, origin=PROMPT_ORIGIN + "ffffff") for offset in (4, 5)
    ]
    report = run_check(make_record(tokens=tokens))
    assert ViolationKind.MIXED_ANSWER in kinds_of(report)


def make_switched_record():
    """Tokens 0 to 1 of s1, 2 to 3 of s2, then 4 to 5 of s1."""
    servers = ("s1", "s1", "s2", "s2", "s1", "s1")
    tokens = [make_token(offset, server=name) for offset, name in enumerate(servers)]
    return make_record(tokens=tokens)


def test_a_return_to_a_branch_that_was_left_is_found():
    lines = [*make_lines(), make_line("continue", at=11.5, server="s2", offset=2)]
    report = run_check(make_switched_record(), sorted(lines))
    assert kinds_of(report) == [ViolationKind.MIXED_ANSWER]


def test_a_return_by_a_new_continuation_passes():
    lines = [
        *make_lines(),
        make_line("continue", at=11.5, server="s2", offset=2),
        make_line("continue", at=13.5, offset=4),
    ]
    assert run_check(make_switched_record(), sorted(lines)).passed


def test_a_foreign_answer_is_found():
    tokens = [make_token(offset, origin="000000ffffff") for offset in range(LENGTH)]
    report = run_check(make_record(tokens=tokens))
    assert ViolationKind.FOREIGN_ANSWER in kinds_of(report)


def test_a_foreign_token_is_found():
    tokens = make_record()["tokens"]
    tokens[5] = make_token(5, origin="000000ffffff")
    found = kinds_of(run_check(make_record(tokens=tokens)))
    assert ViolationKind.FOREIGN_ANSWER in found
    assert ViolationKind.MIXED_ANSWER in found


def make_refusal(**changes):
    connection = make_connection(outcome="not_run", status=503, ended_at=9.4)
    return make_record(
        outcome="not_run",
        tokens=[],
        finish_offset=None,
        connections=[connection],
        **changes,
    )


def test_a_refusal_of_what_never_ran_passes():
    assert run_check(make_refusal(), lines=[]).passed


def test_a_refusal_of_what_ran_before_is_found():
    report = run_check(make_refusal(), lines=[make_line("start", at=9.2)])
    assert kinds_of(report) == [ViolationKind.FALSE_NOT_RUN]


def test_a_refusal_of_what_runs_later_is_found():
    report = run_check(make_refusal(), lines=[make_line("start", at=30.0)])
    assert kinds_of(report) == [ViolationKind.FALSE_NOT_RUN]


def test_a_run_after_the_caller_asked_again_passes():
    record = make_record()
    refusal = make_connection(outcome="not_run", status=503, sent_at=8.0, ended_at=8.5)
    record["connections"].insert(0, refusal)
    assert run_check(record).passed


def test_a_second_run_of_a_not_repeatable_request_is_found():
    lines = [make_line("start", at=9.1, server="s2"), *make_lines()]
    report = run_check(make_record(repeatable=False), lines=lines)
    assert kinds_of(report) == [ViolationKind.SECOND_RUN]
    assert report.summarize()["runs_of_not_repeatable_over_one"] == 1
    assert run_check(make_record(), lines=lines).passed


def test_work_for_a_server_that_left_is_found():
    leaving = TimelineEvent(3.0, TimelineKind.SERVER_LEAVING, "s1")
    back = TimelineEvent(5.0, TimelineKind.SERVER_LIVE, "s1")
    report = run_check(timeline=[leaving])
    assert kinds_of(report) == [ViolationKind.WORK_AFTER_LEAVING]
    assert run_check(timeline=[leaving, back]).passed
    assert run_check(timeline=[leaving._replace(time=5.0)]).passed


def test_a_request_cut_by_a_shutdown_is_found():
    shutdown = TimelineEvent(15.0, TimelineKind.INSTANCE_TERMINATED, ADDRESS)
    cut = make_connection(outcome="cut", ended_at=15.1)
    record = make_record(connections=[cut])
    assert kinds_of(run_check(record, timeline=[shutdown])) == [
        ViolationKind.CUT_BY_SHUTDOWN
    ]
    assert run_check(timeline=[shutdown]).passed


def make_samples(*versions):
    return [
        TimelineEvent(10.0 + 5 * i, TimelineKind.CONFIGURATION_SEEN, "n1/1", version)
        for i, version in enumerate(versions)
    ]


def test_a_configuration_that_reverts_is_found():
    assert run_check(timeline=make_samples(1, 2, 2)).passed
    report = run_check(timeline=make_samples(1, 2, 1))
    assert kinds_of(report) == [ViolationKind.CONFIGURATION_REVERTED]


def test_a_configuration_that_comes_late_is_found():
    accepted = TimelineEvent(9.0, TimelineKind.CONFIGURATION_ACCEPTED, "", 2)
    assert run_check(timeline=[accepted, *make_samples(1, 1, 2)]).passed
    report = run_check(timeline=[accepted, *make_samples(1, 1, 1)])
    assert kinds_of(report) == [ViolationKind.CONFIGURATION_LATE]


def test_a_process_that_starts_after_a_change_has_as_long_from_its_start():
    accepted = TimelineEvent(-90.0, TimelineKind.CONFIGURATION_ACCEPTED, "", 2)
    assert run_check(timeline=[accepted, *make_samples(0, 2)]).passed
    report = run_check(timeline=[accepted, *make_samples(0, 0, 0)])
    assert kinds_of(report) == [ViolationKind.CONFIGURATION_LATE]


def test_an_error_without_an_outcome_is_found():
    connection = make_connection(outcome="untagged", status=500)
    report = run_check(make_record(connections=[connection]))
    assert kinds_of(report) == [ViolationKind.UNTAGGED_ERROR]


def test_resume_latency_runs_from_the_kill_to_the_next_servers_token():
    tokens = [make_token(offset) for offset in range(4)]
    tokens += [make_token(4, at=14.5, server="s2"), make_token(5, server="s2")]
    killed = TimelineEvent(12.5, TimelineKind.ENGINE_KILLED, "s1")
    report = run_check(make_record(tokens=tokens), timeline=[killed])
    assert report.resume_latency == (1, 2.0, 2.0, 2.0)


def test_resume_latency_after_the_loss_of_an_instance():
    tokens = [make_token(offset) for offset in range(3)]
    tokens += [make_token(offset, connection=1) for offset in range(3, LENGTH)]
    connections = [
        make_connection(outcome="cut", ended_at=12.5),
        make_connection(address=OTHER_ADDRESS, sent_at=12.6),
    ]
    killed = TimelineEvent(12.25, TimelineKind.INSTANCE_KILLED, ADDRESS)
    record = make_record(tokens=tokens, connections=connections)
    assert run_check(record, timeline=[killed]).resume_latency.max == 0.75


def test_extra_resources_are_the_share_beyond_the_need():
    lines = [*make_lines(), make_line("cancel", server="s2", decoded=13)]
    assert run_check(lines=lines).extra_resource_ratio == 1.0


def test_a_stream_that_a_loss_ended_for_good_is_counted():
    killed = TimelineEvent(12.5, TimelineKind.ENGINE_KILLED, "s1")
    record = make_record(outcome="failed", tokens=make_record()["tokens"][:3])
    assert run_check(record, timeline=[killed]).unresumed == 1
