"""Concurrent requests with one idempotency key, and requests that run at most once."""

from __future__ import annotations

import json
import threading
import time

from tests.integration.trials import (
    LENIENT_CLASS,
    LOW_LATENCY_CLASS,
    MODEL,
    WORKSPACE,
    deploy,
    make_prompt,
    wait_until,
)


def make_headers(key, **changes):
    return {
        "Ebonyhaven-Workspace": WORKSPACE,
        "Ebonyhaven-Class": LOW_LATENCY_CLASS,
        "Ebonyhaven-Repeatable": "no",
        "Ebonyhaven-First-Submission": "yes",
        "Idempotency-Key": key,
        **changes,
    }


def make_body(prompt, max_tokens=20):
    return {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True}


def read_outcome(response):
    """Return the outcome in an error response or in an error event of a stream."""
    content = response[1].decode()
    if not content.startswith("{"):
        _, found, content = content.partition("event: error\ndata: ")
        assert found, response
    return json.JSONDecoder().raw_decode(content)[0]["error"]["outcome"]


def test_two_connections_with_one_key_at_one_instance_share_a_run():
    with deploy(instances=1) as system:
        first = system.send(at="n1")
        second = system.resend(first.request, at="n1")
        report = system.wait_and_check_completed()
        assert report.requests == 2
        assert len(system.find_log_lines("start", first)) == 1
        assert second.result()["tokens"][0].generation == (
            first.result()["tokens"][0].generation
        )


def test_one_key_at_two_instances_at_once_runs_once_if_not_repeatable():
    with deploy(instances=3) as system:
        for _ in range(3):
            first = system.send(at="n1", repeatable=False, max_tokens=40)
            for name in ("n2", "n3"):
                system.resend(first.request, at=name)
        system.wait_and_check()
        assert len(system.find_log_lines("start")) <= 3


def test_a_reconnect_during_the_drain_of_the_old_connection_gets_all_tokens():
    with deploy(instances=2) as system:
        proxy_address = system.cluster.add_link(
            "caller", target=system.cluster.addresses["n1"]
        )
        stream = system.send(at=proxy_address, max_tokens=150)
        stream.wait_for_tokens(20)
        system.cluster.set_fault("delay", link="caller", delay_ms=500.0)
        second = system.resend(stream.request, at="n1")
        third = system.resend(stream.request, at="n2")
        system.wait_and_check_completed()
        assert second.count_tokens() == third.count_tokens() == 150


def test_a_silent_caller_connection_is_replaced_at_another_instance():
    with deploy(instances=2) as system:
        proxy_address = system.cluster.add_link(
            "caller", target=system.cluster.addresses["n1"]
        )
        stream = system.send(at=proxy_address, max_tokens=250)
        stream.wait_for_tokens(20)
        system.cluster.set_fault("silence_open", link="caller")
        stream.caller.entries = type(stream.caller.entries)(
            system.cluster.addresses["n2"]
        )
        system.wait_and_check_completed()
        assert system.count_decoded_tokens(stream) == 250


def test_answers_on_reused_connections_belong_to_their_requests():
    with deploy(engines_behind_proxy=True, instances=1) as system:
        for name in ("e1", "e2", "e3"):
            system.cluster.set_fault("delay", link=f"link-{name}", delay_ms=30.0)
        for _ in range(4):
            batch = [system.send(at="n1", max_tokens=5) for _ in range(8)]
            system.cluster.set_fault("reset", link="link-e1")
            for stream in batch:
                stream.result()
        system.wait_and_check_completed()


def test_a_request_during_a_platform_outage_is_answered_with_not_run():
    with deploy() as system:
        system.cluster.platform.set_faults(outage=True)
        prompt = make_prompt()
        response = system.call("n1", headers=make_headers("k1"), body=make_body(prompt))
        assert read_outcome(response) == "not_run", response
        assert system.find_log_lines("start") == []
        system.cluster.platform.set_faults(outage=False)
        stream = system.send(prompt, repeatable=False, max_tokens=20, key="k1")
        system.wait_and_check_completed()
        assert len(system.find_log_lines("start", stream)) == 1


def test_a_repeatable_request_is_served_during_an_outage_of_the_platform():
    with deploy() as system:
        system.cluster.platform.set_faults(outage=True)
        system.send()
        system.wait_and_check_completed()


def test_a_request_waits_for_the_platform_within_the_target_of_its_class():
    with deploy() as system:
        system.cluster.platform.set_faults(outage=True)
        stream = system.send(repeatable=False, max_tokens=20)
        time.sleep(1.0)  # duration of the outage, not a wait for a condition
        assert system.find_log_lines("start") == []
        system.cluster.platform.set_faults(outage=False)
        system.wait_and_check_completed()
        assert len(system.find_log_lines("start", stream)) == 1


def test_a_lost_confirmation_of_a_claim_leads_to_one_run():
    with deploy() as system:
        for _ in range(4):
            system.cluster.platform.set_faults(lose_answers=1)
            system.send(repeatable=False, max_tokens=20).result()
        system.wait_and_check_completed()
        assert len(system.find_log_lines("start")) == 4


def test_an_instance_does_not_dispatch_a_claim_after_a_pause():
    with deploy(instances=2, platform_behind_proxy=True) as system:
        system.cluster.set_fault("delay", link="platform-n1", delay_ms=900.0)
        headers = make_headers("k1", **{"Ebonyhaven-Class": LENIENT_CLASS})
        body = make_body(make_prompt())
        responses = []
        call = threading.Thread(
            target=lambda: responses.append(
                system.call("n1", headers=headers, body=body)
            )
        )
        call.start()
        platform = system.cluster.platform
        wait_until(
            lambda: platform.call("GET", "/table/range?prefix=claims/")["rows"],
            "the claim of the run",
        )
        system.cluster.pause("n1")
        paused_at = time.time()
        other = system.send(
            body["prompt"],
            at="n2",
            repeatable=False,
            request_class=LOW_LATENCY_CLASS,
            key="k1",
            max_tokens=20,
            total_timeout_s=2.0,
        )
        time.sleep(4.0)  # n1 may not dispatch its claim after this pause
        system.cluster.resume("n1")
        call.join()
        other.result()
        system.wait_and_check()
        starts = system.find_log_lines("start")
        assert all(line.time < paused_at for line in starts), starts
        if not starts:
            assert read_outcome(responses[0]) in {"not_run", "unknown"}


def test_a_non_repeatable_run_continues_without_its_instance_and_starts_once():
    with deploy(instances=2) as system:
        stream = system.send(at="n1", repeatable=False, max_tokens=150)
        stream.wait_for_tokens(10)
        system.cluster.kill("n1")
        repeated_stream = system.resend(stream.request, at="n2")
        assert repeated_stream.result()["outcome"] == "completed"
        assert len(system.find_log_lines("start", stream)) == 1
        assert system.count_decoded_tokens(stream) == 150


def test_a_call_to_a_plain_service_is_not_retried_once_it_may_have_run():
    with deploy(
        engines=0, services=2, service_options=("--delay-ms", "1500")
    ) as system:
        responses = []
        headers = make_headers("k1")
        call = threading.Thread(
            target=lambda: responses.append(
                system.call("n1", headers=headers, body={}, path="/services/listings/x")
            )
        )
        call.start()
        wait_until(lambda: system.find_log_lines("start"), "an execution")
        server = system.find_log_lines("start")[0].server
        system.cluster.set_fault("reset", link=f"link-{server}")
        call.join()
        assert read_outcome(responses[0]) == "unknown"
        assert len(system.find_log_lines("start")) == 1


def test_a_call_that_no_plain_service_accepts_is_answered_with_not_run():
    with deploy(engines=0, services=1) as system:
        system.cluster.set_fault("refuse", link="link-w1")
        response = system.call(
            "n1", headers=make_headers("k1"), body={}, path="/services/listings/x"
        )
        assert read_outcome(response) == "not_run"
        assert system.find_log_lines("start") == []
