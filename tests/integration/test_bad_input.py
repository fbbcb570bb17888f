"""Bad input gets a precise error and never another caller's tokens."""

from __future__ import annotations

import json

from tests.integration.test_once import make_body, make_headers
from tests.integration.trials import OTHER_WORKSPACE, deploy, make_prompt


def expect_refusal(trial, *, status, headers, body, names):
    answer = trial.call("n1", headers=headers, body=body)
    assert answer[0] == status, answer
    error = json.loads(answer[1])["error"]
    assert error["outcome"] == "not_run"
    assert names in error["reason"], error
    assert trial.lines("refuse") == []


def test_malformed_requests_are_refused_and_named():
    with deploy(engines=1, instances=1) as trial:
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
        for status, changes, bad, names in cases:
            expect_refusal(
                trial,
                status=status,
                headers=make_headers("k1", **changes),
                body=bad,
                names=names,
            )
        assert trial.lines("start") == []


def test_a_key_reused_with_a_different_body_is_refused_at_every_instance():
    with deploy(engines=2, instances=2) as trial:
        first = trial.send(at="n1", repeatable=False, max_tokens=40)
        first.wait_for_tokens(1)
        for name in ("n1", "n2"):
            headers = make_headers(first.request.key, **{"Ebonyhaven-Class": "steady"})
            answer = trial.call(name, headers=headers, body=make_body("other", 40))
            assert answer[0] == 409, answer
            assert b"different body" in answer[1]
        trial.finish_completed()


def test_positions_of_other_callers_give_none_of_their_tokens():
    with deploy(engines=2, instances=2) as trial:
        first = trial.send(at="n1", max_tokens=250)
        first.wait_for_tokens(20)
        token = first._find_record()["tokens"][10]
        position = f"{token.offset}-{token.generation}-{token.server}"
        stolen = {"Last-Event-ID": position, "Ebonyhaven-Repeatable": "yes"}
        body = make_body(first.request.prompt, first.request.max_tokens)
        cases = [
            # The key and position of another workspace.
            (first.request.key, {**stolen, "Ebonyhaven-Workspace": OTHER_WORKSPACE}),
            # The position under another key.
            ("k2", stolen),
            # A forged generation under the right key.
            (first.request.key, {**stolen, "Last-Event-ID": "10-00000000-e1"}),
            # A server that does not exist.
            ("k3", {**stolen, "Last-Event-ID": "10-00000000-e99"}),
        ]
        origin = token.text.partition(":")[0].encode()
        for name in ("n1", "n2"):
            for key, changes in cases:
                answer = trial.call(
                    name, headers=make_headers(key, **changes), body=body
                )
                assert origin not in answer[1], (key, changes, answer[1][:300])
                assert b'"error"' in answer[1], answer[1][:300]
        trial.finish_completed()


def test_received_texts_that_do_not_match_the_position_are_refused():
    with deploy(engines=1, instances=1) as trial:
        headers = make_headers("k1", **{"Last-Event-ID": "3-9f3a61c2-e1"})
        body = {**make_body(make_prompt()), "received": ["a", "b"]}
        expect_refusal(trial, status=400, headers=headers, body=body, names="received")
