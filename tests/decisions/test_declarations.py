from __future__ import annotations

import copy

from ebonyhaven_decisions import (
    DeclarationError,
    PoolKind,
    diff,
    parse_declaration,
)

DOCUMENT = {
    "classes": {
        "look-up": {"first_token_ms": 500, "gap_ms": 62, "resume_ms": 1000},
        "analysis": {
            "first_token_ms": 8000,
            "gap_ms": 100,
            "resume_ms": 2000,
            "may_wait_ms": 60000,
            "default": True,
        },
    },
    "models": {"dossier": {"adapters": [], "versions": ["1"]}},
    "pools": {
        "drafting": {"kind": "engine", "models": ["dossier"], "checks_fence": True},
        "windows": {"kind": "service", "service": "listings", "checks_fence": False},
    },
    "workspaces": {"studio-a": {"key_sha256": "ab" * 32}, "studio-b": {}},
}


def change_document(path: str, value: object) -> dict:
    """Return a copy of the document with one value replaced, or deleted if None."""
    document = copy.deepcopy(DOCUMENT)
    *parents, last = path.split("/")
    target = document
    for name in parents:
        target = target[name]
    if value is None:
        del target[last]
    else:
        target[last] = value
    return document


def describe_problems(document: object) -> list[str]:
    try:
        parse_declaration(document)
    except DeclarationError as error:
        return [str(problem) for problem in error.problems]
    return []


def test_declaration_is_parsed_into_typed_objects():
    declaration = parse_declaration(DOCUMENT)
    assert declaration.default_class.name == "analysis"
    assert declaration.pools["drafting"].kind is PoolKind.ENGINE
    assert declaration.pools["windows"].service == "listings"
    assert declaration.models["dossier"].versions == ("1",)
    assert parse_declaration(declaration.serialize()) == declaration


def test_problem_states_path_and_value():
    cases = [
        (
            "classes/look-up/first_token_ms",
            "x",
            'classes.look-up.first_token_ms: expected a number above 0, got "x"',
        ),
        (
            "classes/look-up/gap_ms",
            0,
            "classes.look-up.gap_ms: expected a number above 0, got 0",
        ),
        (
            "classes/look-up/gap_ms",
            True,
            "classes.look-up.gap_ms: expected a number above 0, got true",
        ),
        (
            "classes/look-up/resume_ms",
            None,
            "classes.look-up.resume_ms: missing, expected a number above 0",
        ),
        (
            "classes/look-up/default",
            True,
            "classes.analysis.default: expected one default class, "
            "look-up is already the default",
        ),
        ("classes/look-up", 3, "classes.look-up: expected an object, got 3"),
        ("pools/drafting/weight", 3, "pools.drafting.weight: unknown key"),
        (
            "pools/drafting/models",
            ["other"],
            "pools.drafting.models: no model named other",
        ),
        (
            "pools/drafting/models",
            [],
            "pools.drafting.models: expected at least one model, got []",
        ),
        (
            "pools/drafting/kind",
            "cache",
            'pools.drafting.kind: expected one of "engine", "service", got "cache"',
        ),
        (
            "pools/drafting/checks_fence",
            None,
            "pools.drafting.checks_fence: missing, expected true or false",
        ),
        (
            "workspaces/studio-a/key_sha256",
            "key",
            'workspaces.studio-a.key_sha256: expected 64 hex digits, got "key"',
        ),
        ("workspaces", None, "workspaces: missing, expected an object"),
    ]
    for path, value, expected in cases:
        assert describe_problems(change_document(path, value)) == [expected], path


def test_all_problems_are_reported_together():
    document = change_document("classes/look-up/gap_ms", -1)
    document["models"]["bad name"] = {}
    assert len(describe_problems(document)) == 2
    assert describe_problems([]) == ["declaration: expected an object, got []"]


def test_diff_lists_changed_paths_only():
    before = parse_declaration(DOCUMENT)
    after = parse_declaration(change_document("classes/look-up/gap_ms", 50))
    assert [str(change) for change in diff(before, after)] == [
        "~ classes.look-up.gap_ms: 62 -> 50"
    ]
    removed = parse_declaration(change_document("workspaces/studio-b", None))
    assert [change.path for change in diff(before, removed)] == ["workspaces.studio-b"]
    explicit_default = change_document("classes/look-up/default", False)
    assert diff(before, parse_declaration(explicit_default)) == ()
