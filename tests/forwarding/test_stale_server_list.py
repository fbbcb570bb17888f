"""Streams that callers retry where the list of servers may be out of date."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding._stream_retention import MIN_RETENTION_S
from ebonyhaven_node.forwarding._outcomes import SEARCH_RETRY_AFTER_S
from ebonyhaven_node.forwarding._stream_records import SEARCH_INTERVAL_S

from tests.forwarding.harness import ForwardingHarness, make_entry
from tests.forwarding.streaming import SIZE_HEADERS
from tests.forwarding.test_software_versions import retry_stream, withdraw_version

CALLER_COUNT = 12


def list_new_version(harness):
    """Let servers of another version join, unnoticed by the instance until it reads."""
    entries = [
        make_entry(f"e-{number}", "engines", software_version="v2")
        for number in (7, 8, 9)
    ]

    def apply():
        for entry in entries:
            harness.state.put_backend(entry)

    harness.source.unread.append(apply)


def test_retry_where_a_version_joined_unnoticed_does_not_go_on_at_the_other_one():
    # Replays a release during which an instance was cut off or stood still: streams of
    # the new version were taken up at it before its next poll.
    harness = ForwardingHarness(engines=6)
    list_new_version(harness)
    assert retry_stream(harness).read_answer()[0] == 503
    assert harness.count_waiting() == 0


def test_retry_of_an_unknown_stream_is_refused_while_the_list_can_not_be_read():
    harness = ForwardingHarness(engines=6)
    list_new_version(harness)
    harness.source.unresponsive = True
    status, headers, _, _ = retry_stream(harness).read_answer()
    assert status == 503
    assert float(headers["retry-after"]) == SEARCH_RETRY_AFTER_S
    harness.source.unresponsive = False
    harness.source.unread.clear()
    retry_stream(harness)
    harness.advance(SEARCH_INTERVAL_S)
    assert harness.count_waiting() == 1


def test_callers_that_return_together_share_two_reads_of_the_list():
    harness = ForwardingHarness(engines=6)
    harness.source.is_slow = True
    for number in range(CALLER_COUNT):
        prompt = f"aa:200,{number:02x}:7800"
        retry_stream(harness, X_Prompt_Prefix=prompt)
    harness.advance(SEARCH_INTERVAL_S)
    assert harness.source.read_count == 1
    assert harness.count_waiting() == 0
    harness.source.finish_reads()
    harness.advance(0.01)
    assert harness.count_waiting() == 1
    harness.source.finish_reads()
    harness.advance(0.01)
    assert harness.count_waiting() == CALLER_COUNT
    assert harness.source.read_count == 2


def test_read_that_began_before_a_retry_does_not_confirm_the_list_for_it():
    harness = ForwardingHarness(engines=6)
    harness.source.is_slow = True
    first = harness.open_caller()
    headers = {**SIZE_HEADERS, "X_Prompt_Prefix": "aa:200,01:7800"}
    first.request("/stream/x", "r0", **headers, Last_Event_Id="2", Resumes="r9")
    harness.advance(0.01)
    list_new_version(harness)
    second = retry_stream(harness)
    harness.advance(SEARCH_INTERVAL_S)
    harness.source.finish_reads()
    harness.source.finish_reads()
    harness.advance(0.01)
    assert second.read_answer()[0] == 503
    assert harness.count_waiting() == 1


def test_caller_that_leaves_does_not_end_the_read_of_the_others():
    harness = ForwardingHarness(engines=6)
    harness.source.is_slow = True
    retry_stream(harness).disconnect()
    retry_stream(harness)
    harness.advance(SEARCH_INTERVAL_S)
    harness.source.finish_reads()
    harness.source.finish_reads()
    harness.advance(0.01)
    assert harness.count_waiting() == 1


def test_versions_that_came_and_went_unnoticed_are_not_ruled_out():
    harness = ForwardingHarness(engines=6)
    harness.state.record_missed_servers()
    assert retry_stream(harness).read_answer()[0] == 503
    harness.advance(MIN_RETENTION_S)
    retry_stream(harness)
    assert harness.count_waiting() == 1


def test_list_that_is_replaced_leaves_the_time_before_unknown():
    harness = ForwardingHarness(engines=6)
    harness.advance(MIN_RETENTION_S)
    entries = {each.server_id: each.entry for each in harness.state.backends}
    harness.state.replace_backends(entries)
    assert retry_stream(harness).read_answer()[0] == 503
    harness.advance(MIN_RETENTION_S)
    retry_stream(harness)
    assert harness.count_waiting() == 1


def test_version_that_left_before_the_retry_is_not_taken_for_the_only_one():
    harness = ForwardingHarness(engines=6)
    list_new_version(harness)
    harness.source.unread.append(lambda: withdraw_version(harness, "v1"))
    assert retry_stream(harness).read_answer()[0] == 503
    assert harness.count_waiting() == 0
