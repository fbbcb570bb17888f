"""Tests of the edits that turn one document into another."""

from __future__ import annotations

import json
import random

from ebonyhaven_decisions import (
    apply_edits,
    compute_document_checksum,
    list_edits,
)


def pass_on(edits):
    return json.loads(json.dumps(edits))


def edit(old, new):
    """Return the document that the edits make of the old one, and their size."""
    before = json.dumps(old)
    edits = list_edits(old, new)
    edited = apply_edits(old, pass_on(edits))
    assert json.dumps(old) == before
    assert compute_document_checksum(edited) == compute_document_checksum(new)
    return edited, len(json.dumps(edits))


def make_document(version, count=500):
    tenants = [
        {"name": f"studio-{n}", "apiKeys": [f"key-{n}-a", f"key-{n}-b"], "priority": 1}
        for n in range(count)
    ]
    return {"version": version, "limits": {"idleTimeoutMs": 5000}, "tenants": tenants}


def test_small_changes_of_a_large_document_are_small():
    old, new = make_document(7), make_document(8)
    new["limits"]["idleTimeoutMs"] = 6000
    new["tenants"][40]["priority"] = 2
    new["tenants"][300]["apiKeys"].remove("key-300-a")
    del new["tenants"][400]
    new["tenants"].insert(100, {"name": "studio-new", "apiKeys": ["k"]})
    edited, size = edit(old, new)
    assert edited == new
    assert size < 500
    assert len(json.dumps(old)) > 30_000


def test_values_that_are_equal_in_python_are_told_apart():
    for old, new in ((1, True), (1, 1.0), ([0], [False]), ({"a": 0}, {"a": False})):
        edited, _ = edit({"x": old}, {"x": new})
        assert json.dumps(edited) == json.dumps({"x": new})


def make_value(rng, depth=3):
    kind = rng.choice(("scalar", "object", "list")) if depth else "scalar"
    if kind == "object":
        names = rng.sample("abcd", rng.randrange(4))
        return {name: make_value(rng, depth - 1) for name in names}
    if kind == "list":
        return [make_value(rng, depth - 1) for _ in range(rng.randrange(5))]
    return rng.choice((None, True, False, 0, 1, 1.0, "", "a", "b"))


def test_edits_turn_any_document_into_any_other():
    rng = random.Random(7)
    for _ in range(5000):
        edit(make_value(rng), make_value(rng))


def is_refused(document, edits):
    try:
        apply_edits(document, edits)
    except ValueError:
        return True
    return False


def test_edits_of_another_document_are_refused():
    document = {"a": [1, 2], "b": {"c": 1}}
    for edits in (
        None,
        [["set"]],
        [["set", ["a", 5], 1]],
        [["set", ["a", "0"], 1]],
        [["set", ["b", 0], 1]],
        [["set", ["x", "y"], 1]],
        [["set", ["a", 0, "z"], 1]],
        [["drop", ["z"]]],
        [["take", ["b"], [[0, 1]]]],
        [["take", ["a"], [[0, 3]]]],
        [["take", ["a"], [{"old": []}]]],
        [["other", ["a"], 1]],
        [["drop", []]],
    ):
        assert is_refused(document, edits), edits
