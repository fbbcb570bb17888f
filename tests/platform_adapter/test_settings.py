from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys
import tempfile

from ebonyhaven_adapter._settings import read_settings
from ebonyhaven_adapter.exceptions import SettingsError
from ebonyhaven_decisions.forwarding.rollouts import ExposureLimits

SETTINGS = {
    "nodeName": "n1",
    "zone": "dc-a",
    "region": "r1",
    "ip": "10.1.0.1",
    "listen": {
        "frontend": "10.1.0.1:8227",
        "readiness": "10.1.0.1:8220",
        "controlPlane": "10.1.0.1:8229",
        "directory": "10.1.0.1:8224",
    },
    "internalPorts": [7340, 7355],
    "seedNodes": ["10.1.0.1:8229", "10.2.0.1:8229"],
    "bounds": {
        "graceS": 8,
        "retryBudgetRatio": 0.8,
        "budgetWindowS": 10,
        "retrySlack": 150,
        "ttl_max_s": 5,
    },
    "platform": {"address": "10.200.1.7:8223"},
    "unknown": {"ignored": True},
}


def write_settings(document) -> pathlib.Path:
    handle, name = tempfile.mkstemp(suffix=".json")
    os.close(handle)
    path = pathlib.Path(name)
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return path


def test_settings_are_read_and_unknown_fields_ignored():
    settings = read_settings(write_settings(SETTINGS))
    assert settings.instance == "n1"
    assert settings.metrics_address == "10.1.0.1:7340"
    assert settings.retry_budget_slack == 150


def test_link_is_read_if_it_is_named():
    assert read_settings(write_settings(SETTINGS)).link_bytes_per_s is None
    for link, expected in ((10.0, 1_250_000), (0, None), ("wide", None)):
        settings = read_settings(
            write_settings({**SETTINGS, "limits": {"linkMbps": link}})
        )
        assert settings.link_bytes_per_s == expected


def test_bounds_on_exposure_are_read_if_the_contract_names_them():
    assert read_settings(write_settings(SETTINGS)).exposure is None
    named = {"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000}
    bounds = {**SETTINGS["bounds"], **named}
    settings = read_settings(write_settings({**SETTINGS, "bounds": bounds}))
    assert settings.exposure == ExposureLimits(0.1, 50, 5.0)
    bounds = {**SETTINGS["bounds"], **named, "exposureShare": "much"}
    invalid = read_invalid_settings({**SETTINGS, "bounds": bounds})
    assert invalid.field == "exposureShare"


def read_invalid_settings(document) -> SettingsError:
    try:
        read_settings(write_settings(document))
    except SettingsError as error:
        return error
    raise AssertionError("invalid settings were accepted")


def test_errors_name_the_field():
    assert read_invalid_settings({**SETTINGS, "nodeName": 3}).field == "nodeName"
    assert (
        read_invalid_settings({**SETTINGS, "platform": {"address": "x"}}).field
        == "address"
    )
    assert read_invalid_settings({**SETTINGS, "listen": None}).field == "listen"
    bounds = {**SETTINGS["bounds"], "graceS": "soon"}
    assert read_invalid_settings({**SETTINGS, "bounds": bounds}).field == "graceS"
    assert "JSON" in read_invalid_settings("{").reason


def test_program_reports_invalid_settings_on_one_line():
    path = write_settings({**SETTINGS, "zone": None})
    completed = subprocess.run(
        [sys.executable, "-m", "ebonyhaven_adapter"],
        env={**os.environ, "EBONYHAVEN_NODE_FILE": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stderr.strip().splitlines() == [
        "settings: zone: must be a non-empty string, got None"
    ]
