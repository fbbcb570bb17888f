"""Tests that the checker reports each violation and accepts a clean history."""

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
OUTPUT_TOKENS = 6
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
        "max_tokens": OUTPUT_TOKENS,
        "repeatable": True,
        "started_at": 9.0,
        "finished_at": 20.0,
        "finish_offset": OUTPUT_TOKENS,
        "outcome": "completed",
        "connections": [make_connection()],
        "tokens": [make_token(offset) for offset in range(OUTPUT_TOKENS)],
    }
    return {**record, **changes}


def make_line(event, *, at=9.2, server="s1", offset=0, prefill=0, decoded=0):
    return LogLine(at, server, event, "r1", offset, prefill, decoded, ORIGIN)


def make_lines():
    return [
        make_line("start"),
        make_line("token_count", at=9.3, prefill=7),
        make_line("finish", at=16.0, offset=OUTPUT_TOKENS, decoded=OUTPUT_TOKENS),
    ]


def run_check(record=None, lines=None, timeline=()):
    records = [record or make_record()]
    return check(Evidence(records, make_lines() if lines is None else lines, timeline))


def list_kinds(report):
    return [violation.kind for violation in report.violations]


def test_clean_history_has_no_violations():
    report = run_check()
    assert report.passed
    assert report.completed == 1
    assert report.extra_resource_ratio == 0.0


def test_missing_token_is_reported():
    tokens = [make_token(offset) for offset in range(OUTPUT_TOKENS) if offset != 2]
    report = run_check(make_record(tokens=tokens))
    assert list_kinds(report) == [ViolationKind.MISSING_TOKEN]
    assert report.summarize()["missing_tokens"] == 1


def test_missing_last_token_is_reported():
    report = run_check(make_record(tokens=make_record()["tokens"][:-1]))
    assert list_kinds(report) == [ViolationKind.MISSING_TOKEN]


def test_truncated_answer_is_reported():
    tokens = make_record()["tokens"][:-2]
    report = run_check(make_record(tokens=tokens, finish_offset=OUTPUT_TOKENS - 2))
    assert list_kinds(report) == [ViolationKind.MISSING_TOKEN]


def test_token_text_with_wrong_offset_is_reported():
    tokens = make_record()["tokens"]
    tokens[3] = tokens[3]._replace(text=f"{ORIGIN}:4 ")
    assert list_kinds(run_check(make_record(tokens=tokens))) == [
        ViolationKind.MISSING_TOKEN
    ]


def test_repeated_token_is_reported():
    tokens = make_record()["tokens"]
    tokens.insert(3, tokens[2])
    report = run_check(make_record(tokens=tokens))
    assert list_kinds(report) == [ViolationKind.REPEATED_TOKEN]


def test_answer_from_two_runs_is_reported():
    tokens = make_record()["tokens"]
    tokens[4:] = [
        make_token(offset, origin=PROMPT_ORIGIN + "ffffff") for offset in (4, 5)
    ]
    report = run_check(make_record(tokens=tokens))
    assert ViolationKind.MIXED_ANSWER in list_kinds(report)


def make_switched_record():
    """Return a record with tokens 0 and 1 from s1, 2 and 3 from s2, 4 and 5 from s1."""
    servers = ("s1", "s1", "s2", "s2", "s1", "s1")
    tokens = [make_token(offset, server=name) for offset, name in enumerate(servers)]
    return make_record(tokens=tokens)


def test_switch_back_to_diverged_continuation_is_reported():
    lines = [*make_lines(), make_line("continue", at=11.5, server="s2", offset=2)]
    report = run_check(make_switched_record(), sorted(lines))
    assert list_kinds(report) == [ViolationKind.MIXED_ANSWER]


def test_switch_back_with_new_continuation_passes():
    lines = [
        *make_lines(),
        make_line("continue", at=11.5, server="s2", offset=2),
        make_line("continue", at=13.5, offset=4),
    ]
    assert run_check(make_switched_record(), sorted(lines)).passed


def test_answer_to_another_request_is_reported():
    tokens = [
        make_token(offset, origin="000000ffffff") for offset in range(OUTPUT_TOKENS)
    ]
    report = run_check(make_record(tokens=tokens))
    assert ViolationKind.FOREIGN_ANSWER in list_kinds(report)


def test_token_of_another_request_is_reported():
    tokens = make_record()["tokens"]
    tokens[5] = make_token(5, origin="000000ffffff")
    kinds = list_kinds(run_check(make_record(tokens=tokens)))
    assert ViolationKind.FOREIGN_ANSWER in kinds
    assert ViolationKind.MIXED_ANSWER in kinds


def make_refusal(**changes):
    connection = make_connection(outcome="not_run", status=503, ended_at=9.4)
    return make_record(
        outcome="not_run",
        tokens=[],
        finish_offset=None,
        connections=[connection],
        **changes,
    )


def test_not_run_outcome_without_start_passes():
    assert run_check(make_refusal(), lines=[]).passed


def test_not_run_outcome_after_start_is_reported():
    report = run_check(make_refusal(), lines=[make_line("start", at=9.2)])
    assert list_kinds(report) == [ViolationKind.FALSE_NOT_RUN]


def test_not_run_outcome_before_start_is_reported():
    report = run_check(make_refusal(), lines=[make_line("start", at=30.0)])
    assert list_kinds(report) == [ViolationKind.FALSE_NOT_RUN]


def test_start_after_caller_retry_passes():
    record = make_record()
    refusal = make_connection(outcome="not_run", status=503, sent_at=8.0, ended_at=8.5)
    record["connections"].insert(0, refusal)
    assert run_check(record).passed


def test_second_run_of_non_repeatable_request_is_reported():
    lines = [make_line("start", at=9.1, server="s2"), *make_lines()]
    report = run_check(make_record(repeatable=False), lines=lines)
    assert list_kinds(report) == [ViolationKind.SECOND_RUN]
    assert report.summarize()["runs_of_not_repeatable_over_one"] == 1
    assert run_check(make_record(), lines=lines).passed


def test_work_on_leaving_server_after_grace_period_is_reported():
    leaving = TimelineEvent(3.0, TimelineKind.SERVER_LEAVING, "s1")
    live = TimelineEvent(5.0, TimelineKind.SERVER_LIVE, "s1")
    report = run_check(timeline=[leaving])
    assert list_kinds(report) == [ViolationKind.WORK_AFTER_LEAVING]
    assert run_check(timeline=[leaving, live]).passed
    assert run_check(timeline=[leaving._replace(time=5.0)]).passed


def test_request_cut_by_shutdown_is_reported():
    shutdown = TimelineEvent(15.0, TimelineKind.INSTANCE_TERMINATED, ADDRESS)
    cut = make_connection(outcome="cut", ended_at=15.1)
    record = make_record(connections=[cut])
    assert list_kinds(run_check(record, timeline=[shutdown])) == [
        ViolationKind.CUT_BY_SHUTDOWN
    ]
    assert run_check(timeline=[shutdown]).passed


def make_version_samples(*versions):
    return [
        TimelineEvent(10.0 + 5 * i, TimelineKind.CONFIGURATION_SEEN, "n1/1", version)
        for i, version in enumerate(versions)
    ]


def test_reverted_configuration_is_reported():
    assert run_check(timeline=make_version_samples(1, 2, 2)).passed
    report = run_check(timeline=make_version_samples(1, 2, 1))
    assert list_kinds(report) == [ViolationKind.CONFIGURATION_REVERTED]


def test_late_configuration_is_reported():
    accepted = TimelineEvent(9.0, TimelineKind.CONFIGURATION_ACCEPTED, "", 2)
    assert run_check(timeline=[accepted, *make_version_samples(1, 1, 2)]).passed
    report = run_check(timeline=[accepted, *make_version_samples(1, 1, 1)])
    assert list_kinds(report) == [ViolationKind.CONFIGURATION_LATE]


def test_configuration_limit_counts_from_process_start():
    accepted = TimelineEvent(-90.0, TimelineKind.CONFIGURATION_ACCEPTED, "", 2)
    assert run_check(timeline=[accepted, *make_version_samples(0, 2)]).passed
    report = run_check(timeline=[accepted, *make_version_samples(0, 0, 0)])
    assert list_kinds(report) == [ViolationKind.CONFIGURATION_LATE]


def test_error_without_outcome_is_reported():
    connection = make_connection(outcome="untagged", status=500)
    report = run_check(make_record(connections=[connection]))
    assert list_kinds(report) == [ViolationKind.UNTAGGED_ERROR]


def test_resume_latency_ends_at_first_token_of_another_server():
    tokens = [make_token(offset) for offset in range(4)]
    tokens += [make_token(4, at=14.5, server="s2"), make_token(5, server="s2")]
    killed = TimelineEvent(12.5, TimelineKind.ENGINE_KILLED, "s1")
    report = run_check(make_record(tokens=tokens), timeline=[killed])
    assert report.resume_latency == (1, 2.0, 2.0, 2.0)


def test_resume_latency_after_instance_loss():
    tokens = [make_token(offset) for offset in range(3)]
    tokens += [make_token(offset, connection=1) for offset in range(3, OUTPUT_TOKENS)]
    connections = [
        make_connection(outcome="cut", ended_at=12.5),
        make_connection(address=OTHER_ADDRESS, sent_at=12.6),
    ]
    killed = TimelineEvent(12.25, TimelineKind.INSTANCE_KILLED, ADDRESS)
    record = make_record(tokens=tokens, connections=connections)
    assert run_check(record, timeline=[killed]).resume_latency.max == 0.75


def test_extra_resource_ratio_counts_redundant_tokens():
    lines = [*make_lines(), make_line("cancel", server="s2", decoded=13)]
    assert run_check(lines=lines).extra_resource_ratio == 1.0


def test_unresumed_stream_is_counted():
    killed = TimelineEvent(12.5, TimelineKind.ENGINE_KILLED, "s1")
    record = make_record(outcome="failed", tokens=make_record()["tokens"][:3])
    assert run_check(record, timeline=[killed]).unresumed == 1
