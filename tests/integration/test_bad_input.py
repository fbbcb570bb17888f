"""Invalid requests get a precise error and never tokens of another caller."""

from __future__ import annotations

import json

from tests.integration.test_once import make_body, make_headers
from tests.integration.trials import OTHER_WORKSPACE, deploy, make_prompt


def check_refusal(system, *, status, headers, body, reason_text):
    response = system.call("n1", headers=headers, body=body)
    assert response[0] == status, response
    error = json.loads(response[1])["error"]
    assert error["outcome"] == "not_run"
    assert reason_text in error["reason"], error
    assert system.find_log_lines("refuse") == []


def test_malformed_requests_are_refused_with_a_precise_reason():
    with deploy(engines=1, instances=1) as system:
        body = make_body("p")
        cases = [
            (400, {"Ebonyhaven-Class": "other"}, body, "other"),
            (403, {"Ebonyhaven-Workspace": "nobody"}, body, "nobody"),
            (400, {"Last-Event-ID": "12"}, body, "Last-Event-ID"),
            (400, {"Last-Event-ID": "x-9f3a61c2-e1"}, body, "Last-Event-ID"),
            (400, {"Last-Event-ID": "-2-9f3a61c2-e1"}, body, "Last-Event-ID"),
            (400, {"Ebonyhaven-Repeatable": "maybe"}, body, "Repeatable"),
            (400, {}, {**body, "max_tokens": 0}, "max_tokens"),
            (400, {}, {**body, "max_tokens": "9"}, "max_tokens"),
            (400, {}, {**body, "prompt": 7}, "prompt"),
            (404, {}, {**body, "model": "none"}, "none"),
            (400, {}, b"{", "JSON"),
            (400, {}, b"[]", "object"),
            (413, {}, {**body, "prompt": "x" * 3_000_000}, "bytes"),
        ]
        for status, changes, bad_body, reason_text in cases:
            check_refusal(
                system,
                status=status,
                headers=make_headers("k1", **changes),
                body=bad_body,
                reason_text=reason_text,
            )
        assert system.find_log_lines("start") == []


def test_a_key_reused_with_a_different_body_is_refused_at_every_instance():
    with deploy(engines=2, instances=2) as system:
        first = system.send(at="n1", repeatable=False, max_tokens=40)
        first.wait_for_tokens(1)
        for name in ("n1", "n2"):
            headers = make_headers(first.request.key, **{"Ebonyhaven-Class": "steady"})
            response = system.call(name, headers=headers, body=make_body("other", 40))
            assert response[0] == 409, response
            assert b"different body" in response[1]
        system.wait_and_check_completed()


def test_event_ids_of_other_callers_return_none_of_their_tokens():
    with deploy(engines=2, instances=2) as system:
        first = system.send(at="n1", max_tokens=250)
        first.wait_for_tokens(20)
        token = first._find_record()["tokens"][10]
        position = f"{token.offset}-{token.generation}-{token.server}"
        foreign_headers = {"Last-Event-ID": position, "Ebonyhaven-Repeatable": "yes"}
        body = make_body(first.request.prompt, first.request.max_tokens)
        cases = [
            # The key and event ID of a request of another workspace.
            (
                first.request.key,
                {**foreign_headers, "Ebonyhaven-Workspace": OTHER_WORKSPACE},
            ),
            # The event ID of a request with another key.
            ("k2", foreign_headers),
            # The right key with a forged generation in the event ID.
            (first.request.key, {**foreign_headers, "Last-Event-ID": "10-00000000-e1"}),
            # An event ID with an unknown server.
            ("k3", {**foreign_headers, "Last-Event-ID": "10-00000000-e99"}),
        ]
        origin = token.text.partition(":")[0].encode()
        for name in ("n1", "n2"):
            for key, changes in cases:
                response = system.call(
                    name, headers=make_headers(key, **changes), body=body
                )
                assert origin not in response[1], (key, changes, response[1][:300])
                assert b'"error"' in response[1], response[1][:300]
        system.wait_and_check_completed()


def test_received_texts_that_do_not_match_the_event_id_are_refused():
    with deploy(engines=1, instances=1) as system:
        headers = make_headers("k1", **{"Last-Event-ID": "3-9f3a61c2-e1"})
        body = {**make_body(make_prompt()), "received": ["a", "b"]}
        check_refusal(
            system, status=400, headers=headers, body=body, reason_text="received"
        )
