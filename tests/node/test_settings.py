from __future__ import annotations

from ebonyhaven_node._settings import parse_settings
from ebonyhaven_node.exceptions import SettingsError
from nose2.tools import params

VALID_SETTINGS = {
    "instance": "n1",
    "data_centre": "dc-a",
    "region": "r1",
    "caller_address": "127.0.0.1:8101",
    "control_address": "127.0.0.1:8201",
    "platform_address": "127.0.0.1:7000",
}


def test_missing_optional_keys_get_defaults():
    assert parse_settings(VALID_SETTINGS).resume == "continue"


@params(
    ({"instance": 7}, "instance: expected a name"),
    ({"caller_address": "localhost:80"}, "caller_address: expected an address IP:PORT"),
    ({"caller_address": "300.0.0.1:80"}, "caller_address: expected an address IP:PORT"),
    ({"seed": "x"}, "seed: expected a whole number, got 'x'"),
    ({"resume": "never"}, "resume: expected one of continue, restart"),
    ({"sead": 1}, "sead: expected one of instance"),
)
def test_error_names_the_invalid_key_and_its_value(change, message):
    try:
        parse_settings({**VALID_SETTINGS, **change})
    except SettingsError as error:
        assert message in str(error)
        assert "\n" not in str(error)
    else:
        raise AssertionError("the settings were accepted")


def test_error_names_a_missing_key():
    incomplete = {key: VALID_SETTINGS[key] for key in VALID_SETTINGS if key != "region"}
    try:
        parse_settings(incomplete)
    except SettingsError as error:
        assert str(error) == "region: expected a value, got None"
    else:
        raise AssertionError("the settings were accepted")
