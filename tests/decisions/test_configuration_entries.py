from __future__ import annotations

import hashlib
import json

from ebonyhaven_decisions import (
    MAX_ENTRY_BYTES,
    ConfigurationEntry,
    parse_configuration_entry,
    parse_declaration,
)

TARGET_WORKSPACE_COUNT = 920
MODEL_COUNT = 10


def make_entry(workspace_count: int) -> ConfigurationEntry:
    models = {f"model-{number}": {"versions": ["1"]} for number in range(MODEL_COUNT)}
    document = {
        "classes": {},
        "models": models,
        "pools": {
            f"pool-{name}": {"kind": "engine", "models": [name], "checks_fence": True}
            for name in models
        },
        "workspaces": {
            f"workspace-{number}": {
                "key_sha256": hashlib.sha256(str(number).encode()).hexdigest()
            }
            for number in range(workspace_count)
        },
    }
    return ConfigurationEntry(
        version=3,
        change_id="change",
        author="operator",
        accepted_at=1.5,
        declaration=parse_declaration(document).serialize(),
    )


def test_serialized_entry_round_trips():
    entry = make_entry(2)
    assert "declaration" in entry.serialize()
    assert parse_configuration_entry(entry.serialize()) == entry


def test_entry_of_target_size_fits_a_row():
    entry = make_entry(TARGET_WORKSPACE_COUNT)
    value = json.dumps(entry.serialize())
    assert len(value) <= MAX_ENTRY_BYTES
    assert parse_configuration_entry(json.loads(value)) == entry
