from __future__ import annotations

import hashlib
import json

from ebonyhaven_decisions import (
    MAX_ENTRY_BYTES,
    ConfigurationEntry,
    parse_configuration_entry,
    parse_declaration,
)

TARGET_WORKSPACES = 920
MODELS = 10


def make_entry(workspaces: int) -> ConfigurationEntry:
    models = {f"model-{number}": {"versions": ["1"]} for number in range(MODELS)}
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
            for number in range(workspaces)
        },
    }
    return ConfigurationEntry(
        version=3,
        change_id="change",
        author="operator",
        accepted_at=1.5,
        declaration=parse_declaration(document).serialize(),
    )


def test_entry_survives_serialization():
    entry = make_entry(2)
    assert "declaration" in entry.serialize()
    assert parse_configuration_entry(entry.serialize()) == entry


def test_entry_of_target_size_fits_a_row():
    entry = make_entry(TARGET_WORKSPACES)
    value = json.dumps(entry.serialize())
    assert len(value) <= MAX_ENTRY_BYTES
    assert parse_configuration_entry(json.loads(value)) == entry
