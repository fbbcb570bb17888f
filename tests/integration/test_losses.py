"""Engines and instances die, pause and fall silent while they stream."""

from __future__ import annotations

import time

from tests.integration.trials import deploy, describe_end, make_prompt, wait_until

PAUSE_S = 4.0


def test_streams_go_on_after_their_engine_is_killed():
    with deploy() as trial:
        streams = [trial.send() for _ in range(3)]
        streams.append(trial.send(repeatable=False))
        for stream in streams:
            stream.wait_for_tokens(20)
        trial.kill_engine(streams[-1].server)
        report = trial.finish_completed()
        assert report.unresumed == 0
        assert len(trial.lines("start")) == len(streams)
        assert trial.lines("continue", streams[-1])


def test_a_paused_engine_that_returns_adds_nothing():
    with deploy() as trial:
        stream = trial.send(max_tokens=400)
        stream.wait_for_tokens(20)
        paused = stream.server
        trial.cluster.pause(paused)
        wait_until(lambda: stream.server != paused, "tokens of another engine")
        time.sleep(PAUSE_S)  # the length of the pause, not a wait for an effect
        trial.cluster.resume(paused)
        trial.finish_completed()
        cancelled = {line.server for line in trial.lines("cancel", stream)}
        assert paused in cancelled


def test_a_silent_connection_is_replaced_without_computing_a_token_twice():
    with deploy(link_engines=True) as trial:
        stream = trial.send(max_tokens=250)
        stream.wait_for_tokens(20)
        trial.cluster.set_fault("silence_open", link=f"link-{stream.server}")
        trial.finish_completed()
        assert trial.lines("attach", stream)
        assert trial.count_decoded(stream) == 250


def test_a_reset_connection_is_replaced_without_computing_a_token_twice():
    with deploy(link_engines=True) as trial:
        stream = trial.send(max_tokens=150, repeatable=False)
        stream.wait_for_tokens(20)
        trial.cluster.set_fault("reset", link=f"link-{stream.server}")
        trial.finish_completed()
        assert trial.lines("attach", stream)
        assert trial.count_decoded(stream) == 150


def test_a_stream_goes_on_at_another_instance_after_its_own_is_killed():
    with deploy() as trial:
        streams = [trial.send(max_tokens=150, repeatable=r) for r in (True, False)]
        for stream in streams:
            stream.wait_for_tokens(20)
        trial.kill_instance(streams[0].address)
        trial.finish_completed()
        for stream in streams:
            assert len(trial.lines("start", stream)) == 1
            assert trial.count_decoded(stream) == 150


def test_a_stream_goes_on_after_engine_and_instance_are_killed_together():
    with deploy(engines=3, instances=3) as trial:
        streams = [trial.send(max_tokens=150, repeatable=r) for r in (True, False)]
        for stream in streams:
            stream.wait_for_tokens(20)
        trial.kill_engine(streams[0].server)
        trial.kill_instance(streams[0].address)
        trial.finish_completed()
        assert len(trial.lines("start")) == len(streams)


def test_a_stream_survives_the_loss_of_two_engines_after_each_other():
    with deploy(engines=3) as trial:
        stream = trial.send(max_tokens=250)
        for count in (20, 100):
            stream.wait_for_tokens(count)
            trial.kill_engine(stream.server)
        trial.finish_completed()


def test_a_partition_from_the_engine_and_its_end():
    with deploy(link_engines=True) as trial:
        stream = trial.send(max_tokens=400)
        stream.wait_for_tokens(20)
        first = stream.server
        trial.cluster.set_fault("partition", link=f"link-{first}")
        wait_until(lambda: stream.server != first, "tokens of another engine")
        trial.cluster.set_fault("none", link=f"link-{first}")
        trial.finish_completed()


def test_a_return_to_an_engine_with_an_older_branch_of_the_run():
    with deploy(engines=2, link_engines=True) as trial:
        stream = trial.send(max_tokens=500)
        stream.wait_for_tokens(20)
        first = stream.server
        trial.cluster.set_fault("partition", link=f"link-{first}")
        wait_until(lambda: stream.server != first, "tokens of another engine")
        second = stream.server
        stream.wait_for_tokens(stream.count_tokens() + 20)
        trial.cluster.set_fault("none", link=f"link-{first}")
        trial.kill_engine(second)
        trial.finish_completed()


def check_crashing_request(neighbours_at):
    with deploy(engines=4) as trial:
        neighbours = [trial.send(max_tokens=250, at=neighbours_at) for _ in range(4)]
        for stream in neighbours:
            stream.wait_for_tokens(20)
        poison = f"{make_prompt()} [[crash]]"
        guilty = trial.send(poison, at="n1", total_timeout_s=20.0)
        record = guilty.result()
        assert record["outcome"] == "failed", record["connections"]
        begun = len(trial.lines("start"))
        again = trial.send(poison, at="n1", total_timeout_s=20.0)
        assert again.result()["outcome"] == "not_run"
        assert len(trial.lines("start")) == begun
        assert len(trial.lines("crash")) <= 2
        for stream in neighbours:
            record = stream.result()
            assert record["outcome"] == "completed", describe_end(record)
        # Both requests have one content, so the checker cannot tell their runs
        # apart; that the second did not run is checked above.
        trial.finish(apart_from=again)


def test_a_request_that_crashes_engines_stops_after_two_and_spares_its_neighbours():
    check_crashing_request("n1")


def test_a_request_that_crashes_engines_behind_a_proxy_stops_after_two():
    with deploy(engines=4, instances=1, link_engines=True) as trial:
        guilty = trial.send(f"{make_prompt()} [[crash]]", total_timeout_s=20.0)
        assert guilty.result()["outcome"] == "failed", describe_end(guilty.result())
        assert len(trial.lines("crash")) <= 2
        trial.finish()


def test_a_request_that_crashes_engines_spares_neighbours_at_another_instance():
    check_crashing_request("n2")


def test_a_crashing_request_under_a_new_key_is_stopped_at_another_instance():
    with deploy(engines=4) as trial:
        poison = f"{make_prompt()} [[crash]]"
        assert trial.send(poison, at="n1").result()["outcome"] == "failed"
        time.sleep(3.0)  # instances may take this long to share their suspicions
        begun = len(trial.lines("start"))
        again = trial.send(poison, at="n2", total_timeout_s=10.0)
        assert again.result()["outcome"] == "not_run"
        assert len(trial.lines("start")) == begun
        assert len(trial.lines("crash")) <= 2
        trial.finish(apart_from=again)
