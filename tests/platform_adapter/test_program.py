"""Tests of the program with stand-ins for the store and backend servers."""

from __future__ import annotations

import contextlib
import json
import signal
import time

from tests.platform_adapter.node_processes import (
    LingeringNodeProcess,
    StartingNodeProcess,
)
from tests.platform_adapter.odd_documents import ODD_BYTES, list_odd_entries
from tests.platform_adapter.program_harness import (
    TIMEOUT_S,
    PlatformHarness,
    start_harness,
)
from tests.platform_adapter.stand_ins import (
    call_in_reactor,
    listen,
    make_configuration,
    make_entry,
)
from tests.platform_adapter.store_stand_in import StoreStandIn
from tests.waiting import wait_until

EVENT_INTERVAL_S = 0.1


def test_instance_is_ready_and_listed_only_with_a_configuration():
    with contextlib.ExitStack() as stack:
        harness = PlatformHarness(stack)
        wait_until(lambda: harness.node.find_lines("instance_started"))
        wait_until(lambda: harness.call("readiness", "/ready")[0] == 503)
        connection = harness.send("/once/x", "r0")
        response = connection.getresponse()
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        harness.configure()
        wait_until(harness.is_ready)
        status, body = harness.call("directory", "/resolve?name=x&region=r1&zone=dc-a")
        assert status == 200
        assert json.loads(body)["addresses"] == [harness.node.addresses["frontend"]]
        status, body = harness.call("metrics", "/metrics")
        assert status == 200
        assert b"ebonyhaven_configuration_version 1.0" in body


def test_request_is_forwarded_and_its_routing_is_logged():
    with start_harness() as harness:
        response = harness.send("/once/x", "r1").getresponse()
        assert (response.status, response.read()) == (200, b"answer of p-1")
        assert harness.plain.received_headers[-1]["x-expect-instance"] == "p-1"
        assert harness.plain.received_headers[-1]["x-tenant-name"] == "studio-a"
        line = harness.node.wait_for_line("call_sent", request="r1")
        assert line["server"] == "p-1"


def test_logs_explain_a_stream_that_resumed_on_another_engine():
    with start_harness() as harness:
        connection = harness.send("/stream/x", "r-stream", X_Token_Count="800,70")
        first = harness.find_streaming_engine()
        call_in_reactor(first.send_events, 1, 3)
        response = connection.getresponse()
        assert b"piece 1" in response.read(24)
        call_in_reactor(first.abort_stream)
        second = harness.find_streaming_engine()
        assert second is not first
        assert second.received_headers[-1]["last-event-id"] in ("1", "2", "3")
        position = int(second.received_headers[-1]["last-event-id"])
        call_in_reactor(second.send_events, position + 1, 5)
        call_in_reactor(second.finish)
        remaining_events = response.read().decode()
        assert remaining_events.count("piece 5") == 1
        assert response.headers["X-Server-Stamp"] == f"stamp-{first.server_id}"
        harness.node.wait_for_line("stream_resumed", request="r-stream")
        explanation = harness.explain("r-stream").splitlines()
        events = [line.split()[2] for line in explanation]
        assert events[:2] == ["stream_sent", "stream_attempt_ended"]
        assert "stream_resumed" in events
        assert f"server={first.server_id}" in explanation[1]
        assert "end=lost" in explanation[1]


def test_logs_explain_a_lost_request_that_is_not_retried():
    with start_harness() as harness:
        harness.plain.drops_next_request = True
        response = harness.send("/once/x", "r-lost").getresponse()
        assert response.status == 502
        assert len(harness.plain.received_headers) == 1
        explanation = harness.explain("r-lost")
        assert "attempt_failed" in explanation
        assert "was_sent=True" in explanation
        assert "request_failed" in explanation
        assert "outcome=unknown" in explanation


def test_logs_explain_a_request_on_a_removed_route():
    with start_harness() as harness:
        assert harness.send("/once/x", "r1").getresponse().status == 200
        harness.configure(2, routes=("stream",))
        response = harness.send("/once/x", "r-dropped").getresponse()
        assert response.status == 404
        explanation = harness.explain("r-dropped")
        assert "configuration=2" in explanation
        assert "reason=no route matches" in explanation
        change = harness.node.wait_for_line("configuration_in_force", version=2)
        failure = harness.node.wait_for_line("request_failed", request="r-dropped")
        assert change["before"] == 1
        assert change["timestamp"] < failure["timestamp"]


def test_logs_explain_a_request_that_crashes_servers():
    with start_harness(plain_servers=4) as harness:
        for server in harness.plains:
            server.crashes_on_request = True
        for number in range(3):
            crashed = harness.send("/once/x", f"r-crash-{number}").getresponse()
            assert crashed.status == 502
        refused = harness.send("/once/x", "r-refused").getresponse()
        assert refused.status == 503
        assert sum(len(each.received_headers) for each in harness.plains) == 3
        checked = harness.node.wait_for_line("server_loss_checked", crashes=[3])
        assert checked["result"] == "ended"
        explanation = harness.explain("r-refused")
        assert "outcome=not_run" in explanation
        assert "step=crash" in explanation
        assert checked["traits"][-1] in explanation
        assert explanation.count("server_loss_checked") == 3
        status, body = harness.call("metrics", "/metrics")
        assert status == 200
        sample = b'ebonyhaven_server_losses_checked_total{result="ended"} 3.0'
        assert sample in body
        for server in harness.plains:
            server.crashes_on_request = False
        other = harness.send("/once/other", "r-other").getresponse()
        assert other.status == 200


def test_store_outage_is_logged_once_and_does_not_affect_callers():
    with start_harness() as harness:
        harness.store.is_down = True
        harness.node.wait_for_line("store_lost", table="op")
        assert harness.send("/once/x", "r1").getresponse().status == 200
        assert harness.is_ready()
        harness.store.is_down = False
        harness.node.wait_for_line("store_regained", table="op")
        assert len(harness.node.find_lines("store_lost", table="op")) == 1


def test_process_exits_after_open_streams_complete_on_sigterm():
    with start_harness() as harness:
        connection = harness.send("/stream/x", "r-last", X_Token_Count="800,70")
        engine = harness.find_streaming_engine()
        call_in_reactor(engine.send_events, 1, 1)
        response = connection.getresponse()
        harness.node.terminate()
        harness.node.wait_for_line("instance_leaving")
        wait_until(lambda: harness.call("readiness", "/ready")[0] == 503)
        call_in_reactor(engine.send_events, 2, 2)
        call_in_reactor(engine.finish)
        assert response.read().decode().count("piece") == 2
        assert harness.node.process.wait(TIMEOUT_S) == 0
        assert harness.node.find_lines("instance_stopped")


def test_events_that_came_while_an_instance_stood_still_are_no_silence():
    with start_harness() as harness:
        connection = harness.send("/stream/x", "r-still", X_Token_Count="800,70")
        engine = harness.find_streaming_engine()
        call_in_reactor(engine.send_events, 1, 2)
        response = connection.getresponse()
        assert b"piece 1" in response.read(24)
        harness.node.process.send_signal(signal.SIGSTOP)
        for number in range(3, 13):
            call_in_reactor(engine.send_events, number, number)
            wait_s = time.monotonic() + EVENT_INTERVAL_S
            wait_until(lambda until=wait_s: time.monotonic() > until)
        harness.node.process.send_signal(signal.SIGCONT)
        call_in_reactor(engine.finish)
        assert response.read().decode().count("piece 12") == 1
        assert not harness.node.find_lines("stream_attempt_ended")


def test_request_that_waits_unread_as_an_instance_stands_still_is_answered():
    # The idle timer was late and ran before the request that waited was read.
    with start_harness() as harness:
        document = make_configuration(2) | {"limits": {"idleTimeoutMs": 1000}}
        harness.put("op", "config", document)
        harness.node.wait_for_line("configuration_in_force", version=2)
        connection = harness.send("/once/x", "r1")
        assert connection.getresponse().read() == b"answer of p-1"
        harness.node.process.send_signal(signal.SIGSTOP)
        harness.send_on(connection, "/once/x", "r2")
        until = time.monotonic() + 1.2
        wait_until(lambda: time.monotonic() > until)
        harness.node.process.send_signal(signal.SIGCONT)
        response = connection.getresponse()
        assert (response.status, response.read()) == (200, b"answer of p-1")


def test_second_sigterm_cuts_no_stream():
    with start_harness() as harness:
        connection = harness.send("/stream/x", "r-last", X_Token_Count="800,70")
        engine = harness.find_streaming_engine()
        call_in_reactor(engine.send_events, 1, 1)
        response = connection.getresponse()
        harness.node.terminate()
        harness.node.wait_for_line("instance_leaving")
        harness.node.terminate()
        wait_until(
            lambda: (
                harness.node.process.poll() is not None
                or harness.node.find_lines("signal_ignored")
            )
        )
        call_in_reactor(engine.send_events, 2, 2)
        call_in_reactor(engine.finish)
        assert response.read().decode().count("piece") == 2
        assert harness.node.process.wait(TIMEOUT_S) == 0
        assert len(harness.node.find_lines("instance_stopped")) == 1


def test_closing_instance_accepts_no_connections_that_it_will_not_read():
    with start_harness() as harness:
        harness.node.terminate()
        harness.node.wait_for_line("instance_stopped")
        for _ in range(20):
            with contextlib.suppress(ConnectionRefusedError):
                harness.send("/once/x", "r-late")
                raise AssertionError("the instance accepted a connection")
        assert harness.node.process.wait(TIMEOUT_S) == 0


def test_process_ends_without_waiting_for_the_end_of_its_interpreter():
    # Guards against processes that are killed at the end of the grace period, because
    # the end of the interpreter takes a slow machine as long as is left of it.
    with contextlib.ExitStack() as stack:
        store = listen(StoreStandIn())
        stack.callback(store.stop)
        node = LingeringNodeProcess(store.address)
        stack.callback(node.stop)
        node.wait_for_line("instance_registered")
        node.terminate()
        assert node.process.wait(TIMEOUT_S) == 0
        assert node.find_lines("instance_stopped")


def test_settings_are_reloaded_on_change_and_on_sighup():
    with start_harness() as harness:
        node = harness.node
        document = json.loads(node.settings_path.read_text())
        document["seedNodes"] = ["127.0.0.1:1"]
        node.settings_path.write_text(json.dumps(document))
        node.wait_for_line("settings_reloaded", changed=True)
        node.process.send_signal(signal.SIGHUP)
        node.wait_for_line("settings_reloaded", changed=False)
        node.settings_path.write_text("{")
        node.wait_for_line("settings_not_reloaded")
        assert harness.is_ready()


def test_sighup_during_a_start_does_not_end_the_process():
    with contextlib.ExitStack() as stack:
        store = listen(StoreStandIn())
        stack.callback(store.stop)
        node = StartingNodeProcess(store.address)
        stack.callback(node.stop)
        pipe = node.open_settings()
        node.process.send_signal(signal.SIGHUP)
        node.write_settings(pipe)
        node.wait_for_line("settings_reloaded", changed=False)
        assert node.process.poll() is None


def test_list_is_followed_past_rows_and_configurations_that_can_not_be_read():
    # Guards against a server list that no instance reads any more, for one odd row.
    with contextlib.ExitStack() as stack:
        harness = PlatformHarness(stack)
        for number, odd in enumerate(list_odd_entries()):
            call_in_reactor(harness.store.put_bytes, "servers", f"odd-{number}", odd)
        harness.configure()
        wait_until(harness.is_ready)
        for odd in (*list_odd_entries(), *ODD_BYTES):
            call_in_reactor(harness.store.put_bytes, "servers", "odd", odd)
            call_in_reactor(harness.store.put_bytes, "op", "config", odd)
        entry = make_entry("plain", "127.0.0.9:9")
        harness.put("servers", "p-9", entry)
        harness.node.wait_for_line("backend_listed", server="p-9")
        harness.configure(version=2)
        listed = {line["server"] for line in harness.node.find_lines("backend_listed")}
        assert listed == {"p-1", "e-1", "e-2", "p-9"}
        assert harness.node.process.poll() is None
