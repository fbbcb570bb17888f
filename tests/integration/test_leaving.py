"""Graceful shutdown of instances and backend servers interrupts no stream."""

from __future__ import annotations

import json
import signal
import time
import urllib.request

from ebonyhaven_standins.checker import TimelineKind

from tests.integration.trials import deploy, wait_until

LEAVING_TARGET_S = 3.0
ENTRY_REMOVAL_TIMEOUT_S = 15.0


def list_entries(system, instance):
    url = f"http://{system.cluster.addresses[instance]}/v1/entries"
    with urllib.request.urlopen(url, timeout=10) as response:
        return [entry["instance"] for entry in json.load(response)["entries"]]


def test_a_graceful_stop_of_an_instance_cuts_no_stream():
    with deploy() as system:
        streams = [system.send(at="n1", max_tokens=200) for _ in range(3)]
        for stream in streams:
            stream.wait_for_tokens(20)
        system.timeline.add(
            TimelineKind.INSTANCE_TERMINATED, system.cluster.addresses["n1"]
        )
        system.cluster.terminate("n1")
        wait_until(
            lambda: list_entries(system, "n2") == ["n2"],
            "removal of n1 from the entry list",
            ENTRY_REMOVAL_TIMEOUT_S,
        )
        late_stream = system.send()
        assert late_stream.result()["outcome"] == "completed"
        system.wait_and_check_completed()
        assert all(len(s.result()["connections"]) == 1 for s in streams)
        assert system.cluster.child("n1").wait() == 0


def test_a_leaving_instance_refuses_new_work_as_not_run():
    with deploy() as system:
        stream = system.send(at="n1", max_tokens=200)
        stream.wait_for_tokens(20)
        system.cluster.terminate("n1")
        wait_until(
            lambda: list_entries(system, "n2") == ["n2"],
            "removal of n1 from the entry list",
            ENTRY_REMOVAL_TIMEOUT_S,
        )
        late_stream = system.send(at="n1", total_timeout_s=0.5)
        outcomes = {c["outcome"] for c in late_stream.result()["connections"]}
        assert outcomes <= {"not_run", "refused"}
        assert stream.result()["outcome"] == "completed"
        assert system.find_log_lines("start", late_stream) == []
        system.wait_and_check()


def test_a_server_listed_as_leaving_gets_no_new_runs_and_finishes_its_runs():
    with deploy(engines=2) as system:
        stream = system.send(max_tokens=350)
        stream.wait_for_tokens(10)
        leaving = stream.server
        system.timeline.add(TimelineKind.SERVER_LEAVING, leaving)
        system.cluster.register_server(leaving, state="leaving")
        time.sleep(LEAVING_TARGET_S)  # time within which instances must stop using it
        later_streams = [system.send(max_tokens=10) for _ in range(8)]
        system.wait_and_check_completed()
        assert leaving not in {
            token.server for s in later_streams for token in s.result()["tokens"]
        }
        assert {token.server for token in stream.result()["tokens"]} == {leaving}


def test_a_server_that_reports_that_it_is_leaving_loses_no_request():
    with deploy(engines=2) as system:
        stream = system.send(max_tokens=150)
        stream.wait_for_tokens(10)
        leaving = system.cluster.child(stream.server)
        # On SIGUSR1, an engine reports that it is leaving.
        leaving._child.send_signal(signal.SIGUSR1)
        later_streams = [system.send(max_tokens=10) for _ in range(8)]
        system.wait_and_check_completed()
        servers = {
            token.server for s in later_streams for token in s.result()["tokens"]
        }
        assert leaving.name not in servers
