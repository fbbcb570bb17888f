"""Duplicates, crossings, and requests that must not be repeated."""

from __future__ import annotations

import json
import threading
import time

from tests.integration.trials import (
    MODEL,
    PROMPT_CLASS,
    STEADY,
    WORKSPACE,
    deploy,
    make_prompt,
    wait_until,
)


def make_headers(key, **changes):
    return {
        "Ebonyhaven-Workspace": WORKSPACE,
        "Ebonyhaven-Class": PROMPT_CLASS,
        "Ebonyhaven-Repeatable": "no",
        "Ebonyhaven-First-Submission": "yes",
        "Idempotency-Key": key,
        **changes,
    }


def make_body(prompt, max_tokens=20):
    return {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True}


def read_tag(answer):
    """Return the outcome of an error body, or of an error event in a stream."""
    content = answer[1].decode()
    if not content.startswith("{"):
        _, found, content = content.partition("event: error\ndata: ")
        assert found, answer
    return json.JSONDecoder().raw_decode(content)[0]["error"]["outcome"]


def test_two_connections_with_one_key_at_one_instance_share_a_run():
    with deploy(instances=1) as trial:
        first = trial.send(at="n1")
        second = trial.resend(first.request, at="n1")
        report = trial.finish_completed()
        assert report.requests == 2
        assert len(trial.lines("start", first)) == 1
        assert second.result()["tokens"][0].generation == (
            first.result()["tokens"][0].generation
        )


def test_one_key_at_two_instances_at_once_runs_once_if_not_repeatable():
    with deploy(instances=3) as trial:
        for _ in range(3):
            first = trial.send(at="n1", repeatable=False, max_tokens=40)
            for name in ("n2", "n3"):
                trial.resend(first.request, at=name)
        trial.finish()
        assert len(trial.lines("start")) <= 3


def test_a_reconnect_while_the_old_connection_still_drains():
    with deploy(instances=2) as trial:
        listen = trial.cluster.add_link("caller", target=trial.cluster.addresses["n1"])
        stream = trial.send(at=listen, max_tokens=150)
        stream.wait_for_tokens(20)
        trial.cluster.set_fault("delay", link="caller", delay_ms=500.0)
        second = trial.resend(stream.request, at="n1")
        third = trial.resend(stream.request, at="n2")
        trial.finish_completed()
        assert second.count_tokens() == third.count_tokens() == 150


def test_a_silent_caller_connection_is_replaced_at_another_instance():
    with deploy(instances=2) as trial:
        listen = trial.cluster.add_link("caller", target=trial.cluster.addresses["n1"])
        stream = trial.send(at=listen, max_tokens=250)
        stream.wait_for_tokens(20)
        trial.cluster.set_fault("silence_open", link="caller")
        stream.caller.entries = type(stream.caller.entries)(
            trial.cluster.addresses["n2"]
        )
        trial.finish_completed()
        assert trial.count_decoded(stream) == 250


def test_answers_on_reused_connections_belong_to_their_requests():
    with deploy(link_engines=True, instances=1) as trial:
        for name in ("e1", "e2", "e3"):
            trial.cluster.set_fault("delay", link=f"link-{name}", delay_ms=30.0)
        for _ in range(4):
            batch = [trial.send(at="n1", max_tokens=5) for _ in range(8)]
            trial.cluster.set_fault("reset", link="link-e1")
            for stream in batch:
                stream.result()
        trial.finish_completed()


def test_an_outage_of_the_platform_is_answered_not_run_and_nothing_ran():
    with deploy() as trial:
        trial.cluster.platform.set_faults(outage=True)
        prompt = make_prompt()
        answer = trial.call("n1", headers=make_headers("k1"), body=make_body(prompt))
        assert read_tag(answer) == "not_run", answer
        assert trial.lines("start") == []
        trial.cluster.platform.set_faults(outage=False)
        stream = trial.send(prompt, repeatable=False, max_tokens=20, key="k1")
        trial.finish_completed()
        assert len(trial.lines("start", stream)) == 1


def test_a_repeatable_request_is_served_during_an_outage_of_the_platform():
    with deploy() as trial:
        trial.cluster.platform.set_faults(outage=True)
        trial.send()
        trial.finish_completed()


def test_a_request_waits_for_the_platform_within_its_target():
    with deploy() as trial:
        trial.cluster.platform.set_faults(outage=True)
        stream = trial.send(repeatable=False, max_tokens=20)
        time.sleep(1.0)  # the length of the outage, not a wait for an effect
        assert trial.lines("start") == []
        trial.cluster.platform.set_faults(outage=False)
        trial.finish_completed()
        assert len(trial.lines("start", stream)) == 1


def test_a_lost_confirmation_of_a_claim_leads_to_one_run():
    with deploy() as trial:
        for _ in range(4):
            trial.cluster.platform.set_faults(lose_answers=1)
            trial.send(repeatable=False, max_tokens=20).result()
        trial.finish_completed()
        assert len(trial.lines("start")) == 4


def test_an_instance_that_wakes_after_its_claim_is_old_does_not_dispatch():
    with deploy(instances=2, link_platform=True) as trial:
        trial.cluster.set_fault("delay", link="platform-n1", delay_ms=900.0)
        headers = make_headers("k1", **{"Ebonyhaven-Class": STEADY})
        body = make_body(make_prompt())
        answers = []
        call = threading.Thread(
            target=lambda: answers.append(trial.call("n1", headers=headers, body=body))
        )
        call.start()
        platform = trial.cluster.platform
        wait_until(
            lambda: platform.call("GET", "/table/range?prefix=claims/")["rows"],
            "the claim",
        )
        trial.cluster.pause("n1")
        paused_at = time.time()
        other = trial.send(
            body["prompt"],
            at="n2",
            repeatable=False,
            request_class=PROMPT_CLASS,
            key="k1",
            max_tokens=20,
            total_timeout_s=2.0,
        )
        time.sleep(4.0)  # longer than a claim may be dispatched
        trial.cluster.resume("n1")
        call.join()
        other.result()
        trial.finish()
        starts = trial.lines("start")
        assert all(line.time < paused_at for line in starts), starts
        if not starts:
            assert read_tag(answers[0]) in {"not_run", "unknown"}


def test_a_not_repeatable_run_outlives_its_instance_and_is_not_started_again():
    with deploy(instances=2) as trial:
        stream = trial.send(at="n1", repeatable=False, max_tokens=150)
        stream.wait_for_tokens(10)
        trial.cluster.kill("n1")
        again = trial.resend(stream.request, at="n2")
        assert again.result()["outcome"] == "completed"
        assert len(trial.lines("start", stream)) == 1
        assert trial.count_decoded(stream) == 150


def test_a_call_of_a_plain_service_is_not_sent_again_once_it_may_have_run():
    with deploy(engines=0, services=2, service_options=("--delay-ms", "1500")) as trial:
        answers = []
        headers = make_headers("k1")
        call = threading.Thread(
            target=lambda: answers.append(
                trial.call("n1", headers=headers, body={}, path="/services/listings/x")
            )
        )
        call.start()
        wait_until(lambda: trial.lines("start"), "an execution")
        server = trial.lines("start")[0].server
        trial.cluster.set_fault("reset", link=f"link-{server}")
        call.join()
        assert read_tag(answers[0]) == "unknown"
        assert len(trial.lines("start")) == 1


def test_a_call_that_no_plain_service_accepts_is_answered_not_run():
    with deploy(engines=0, services=1) as trial:
        trial.cluster.set_fault("refuse", link="link-w1")
        answer = trial.call(
            "n1", headers=make_headers("k1"), body={}, path="/services/listings/x"
        )
        assert read_tag(answer) == "not_run"
        assert trial.lines("start") == []
