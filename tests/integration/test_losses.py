"""Engines and instances that crash, pause or stop sending during a stream."""

from __future__ import annotations

import time

from tests.integration.trials import (
    LOW_LATENCY_CLASS,
    deploy,
    describe_outcome,
    make_prompt,
    wait_until,
)

PAUSE_S = 4.0
STANDSTILL_S = 2.5  # longer than a low-latency request may wait for an engine


def test_streams_resume_after_their_engine_is_killed():
    with deploy() as system:
        streams = [system.send() for _ in range(3)]
        streams.append(system.send(repeatable=False))
        for stream in streams:
            stream.wait_for_tokens(20)
        system.kill_engine(streams[-1].server)
        report = system.wait_and_check_completed()
        assert report.unresumed == 0
        assert len(system.find_log_lines("start")) == len(streams)
        assert system.find_log_lines("continue", streams[-1])


def test_an_engine_that_resumes_after_a_pause_adds_no_tokens():
    with deploy() as system:
        stream = system.send(max_tokens=400)
        stream.wait_for_tokens(20)
        paused = stream.server
        system.cluster.pause(paused)
        wait_until(lambda: stream.server != paused, "tokens of another engine")
        time.sleep(PAUSE_S)  # duration of the pause, not a wait for a condition
        system.cluster.resume(paused)
        system.wait_and_check_completed()
        wait_until(
            lambda: (
                paused
                in {line.server for line in system.find_log_lines("cancel", stream)}
            ),
            "cancellation at the paused engine",
        )


def test_a_sent_request_does_not_fail_while_the_only_engine_stands_still():
    with deploy(engines=1) as system:
        system.cluster.pause("e1")
        stream = system.send(at="n1", request_class=LOW_LATENCY_CLASS)
        time.sleep(STANDSTILL_S)  # duration of the pause, not a wait for a condition
        system.cluster.resume("e1")
        system.wait_and_check_completed()
        assert len(stream.result()["connections"]) == 1


def test_a_silent_connection_is_replaced_without_computing_a_token_twice():
    with deploy(engines_behind_proxy=True) as system:
        stream = system.send(max_tokens=250)
        stream.wait_for_tokens(20)
        system.cluster.set_fault("silence_open", link=f"link-{stream.server}")
        system.wait_and_check_completed()
        assert system.find_log_lines("attach", stream)
        assert system.count_decoded_tokens(stream) == 250


def test_a_reset_connection_is_replaced_without_computing_a_token_twice():
    with deploy(engines_behind_proxy=True) as system:
        stream = system.send(max_tokens=150, repeatable=False)
        stream.wait_for_tokens(20)
        system.cluster.set_fault("reset", link=f"link-{stream.server}")
        system.wait_and_check_completed()
        assert system.find_log_lines("attach", stream)
        assert system.count_decoded_tokens(stream) == 150


def test_a_stream_resumes_at_another_instance_after_its_instance_is_killed():
    with deploy() as system:
        streams = [system.send(max_tokens=150, repeatable=r) for r in (True, False)]
        for stream in streams:
            stream.wait_for_tokens(20)
        system.kill_instance(streams[0].address)
        system.wait_and_check_completed()
        for stream in streams:
            assert len(system.find_log_lines("start", stream)) == 1
            assert system.count_decoded_tokens(stream) == 150


def test_a_stream_resumes_after_engine_and_instance_are_killed_together():
    with deploy(engines=3, instances=3) as system:
        streams = [system.send(max_tokens=150, repeatable=r) for r in (True, False)]
        for stream in streams:
            stream.wait_for_tokens(20)
        system.kill_engine(streams[0].server)
        system.kill_instance(streams[0].address)
        system.wait_and_check_completed()
        assert len(system.find_log_lines("start")) == len(streams)


def test_a_stream_survives_the_loss_of_two_engines_in_succession():
    with deploy(engines=3) as system:
        stream = system.send(max_tokens=250)
        for count in (20, 100):
            stream.wait_for_tokens(count)
            system.kill_engine(stream.server)
        system.wait_and_check_completed()


def test_a_stream_survives_a_partition_from_its_engine_that_heals():
    with deploy(engines_behind_proxy=True) as system:
        stream = system.send(max_tokens=400)
        stream.wait_for_tokens(20)
        first = stream.server
        system.cluster.set_fault("partition", link=f"link-{first}")
        wait_until(lambda: stream.server != first, "tokens of another engine")
        system.cluster.set_fault("none", link=f"link-{first}")
        system.wait_and_check_completed()


def test_a_stream_resumes_on_the_engine_that_it_left_in_a_partition():
    with deploy(engines=2, engines_behind_proxy=True) as system:
        stream = system.send(max_tokens=500)
        stream.wait_for_tokens(20)
        first = stream.server
        system.cluster.set_fault("partition", link=f"link-{first}")
        wait_until(lambda: stream.server != first, "tokens of another engine")
        second = stream.server
        stream.wait_for_tokens(stream.count_tokens() + 20)
        system.cluster.set_fault("none", link=f"link-{first}")
        system.kill_engine(second)
        system.wait_and_check_completed()


def check_crashing_request(other_streams_at):
    with deploy(engines=4) as system:
        other_streams = [
            system.send(max_tokens=250, at=other_streams_at) for _ in range(4)
        ]
        for stream in other_streams:
            stream.wait_for_tokens(20)
        crashing_prompt = f"{make_prompt()} [[crash]]"
        crashing_stream = system.send(crashing_prompt, at="n1", total_timeout_s=20.0)
        record = crashing_stream.result()
        assert record["outcome"] == "failed", record["connections"]
        start_count = len(system.find_log_lines("start"))
        repeated_stream = system.send(crashing_prompt, at="n1", total_timeout_s=20.0)
        assert repeated_stream.result()["outcome"] == "not_run"
        assert len(system.find_log_lines("start")) == start_count
        assert len(system.find_log_lines("crash")) <= 2
        for stream in other_streams:
            record = stream.result()
            assert record["outcome"] == "completed", describe_outcome(record)
        # Both requests have the same prompt, so the checker cannot distinguish their
        # runs. The assertions above show that the second one did not run.
        system.wait_and_check(excluded=repeated_stream)


def test_a_request_that_crashes_engines_stops_after_two_and_other_streams_complete():
    check_crashing_request("n1")


def test_a_request_that_crashes_engines_behind_a_proxy_stops_after_two():
    with deploy(engines=4, instances=1, engines_behind_proxy=True) as system:
        crashing_stream = system.send(
            f"{make_prompt()} [[crash]]", total_timeout_s=20.0
        )
        assert crashing_stream.result()["outcome"] == "failed", describe_outcome(
            crashing_stream.result()
        )
        assert len(system.find_log_lines("crash")) <= 2
        system.wait_and_check()


def test_a_request_that_crashes_engines_leaves_streams_at_another_instance_complete():
    check_crashing_request("n2")


def test_a_crashing_request_under_a_new_key_is_stopped_at_another_instance():
    with deploy(engines=4) as system:
        crashing_prompt = f"{make_prompt()} [[crash]]"
        assert system.send(crashing_prompt, at="n1").result()["outcome"] == "failed"
        time.sleep(3.0)  # time within which instances exchange their crash reports
        start_count = len(system.find_log_lines("start"))
        repeated_stream = system.send(crashing_prompt, at="n2", total_timeout_s=10.0)
        assert repeated_stream.result()["outcome"] == "not_run"
        assert len(system.find_log_lines("start")) == start_count
        assert len(system.find_log_lines("crash")) <= 2
        system.wait_and_check(excluded=repeated_stream)
