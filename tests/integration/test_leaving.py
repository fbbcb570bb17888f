"""Instances and backend servers leave without a cut."""

from __future__ import annotations

import json
import signal
import time
import urllib.request

from ebonyhaven_standins.checker import TimelineKind

from tests.integration.trials import deploy, wait_until

LEAVING_TARGET_S = 3.0
LIST_DEADLINE_S = 15.0


def list_entries(trial, instance):
    url = f"http://{trial.cluster.addresses[instance]}/v1/entries"
    with urllib.request.urlopen(url, timeout=10) as answer:
        return [entry["instance"] for entry in json.load(answer)["entries"]]


def test_a_graceful_stop_of_an_instance_cuts_no_stream():
    with deploy() as trial:
        streams = [trial.send(at="n1", max_tokens=200) for _ in range(3)]
        for stream in streams:
            stream.wait_for_tokens(20)
        trial.timeline.add(
            TimelineKind.INSTANCE_TERMINATED, trial.cluster.addresses["n1"]
        )
        trial.cluster.terminate("n1")
        wait_until(
            lambda: list_entries(trial, "n2") == ["n2"],
            "a shorter list",
            LIST_DEADLINE_S,
        )
        late = trial.send()
        assert late.result()["outcome"] == "completed"
        trial.finish_completed()
        assert all(len(s.result()["connections"]) == 1 for s in streams)
        assert trial.cluster.child("n1").wait() == 0


def test_a_leaving_instance_refuses_new_work_as_not_run():
    with deploy() as trial:
        stream = trial.send(at="n1", max_tokens=200)
        stream.wait_for_tokens(20)
        trial.cluster.terminate("n1")
        wait_until(
            lambda: list_entries(trial, "n2") == ["n2"],
            "a shorter list",
            LIST_DEADLINE_S,
        )
        late = trial.send(at="n1", total_timeout_s=0.5)
        outcomes = {c["outcome"] for c in late.result()["connections"]}
        assert outcomes <= {"not_run", "refused"}
        assert stream.result()["outcome"] == "completed"
        assert trial.lines("start", late) == []
        trial.finish()


def test_a_server_listed_as_leaving_gets_no_new_work_and_ends_its_runs():
    with deploy(engines=2) as trial:
        stream = trial.send(max_tokens=350)
        stream.wait_for_tokens(10)
        leaving = stream.server
        trial.timeline.add(TimelineKind.SERVER_LEAVING, leaving)
        trial.cluster.register_server(leaving, state="leaving")
        time.sleep(LEAVING_TARGET_S)  # the time that the target allows
        later = [trial.send(max_tokens=10) for _ in range(8)]
        trial.finish_completed()
        assert leaving not in {
            token.server for s in later for token in s.result()["tokens"]
        }
        assert {token.server for token in stream.result()["tokens"]} == {leaving}


def test_a_server_that_says_that_it_leaves_loses_no_request():
    with deploy(engines=2) as trial:
        stream = trial.send(max_tokens=150)
        stream.wait_for_tokens(10)
        leaving = trial.cluster.child(stream.server)
        leaving._child.send_signal(signal.SIGUSR1)
        later = [trial.send(max_tokens=10) for _ in range(8)]
        trial.finish_completed()
        servers = {token.server for s in later for token in s.result()["tokens"]}
        assert leaving.name not in servers
