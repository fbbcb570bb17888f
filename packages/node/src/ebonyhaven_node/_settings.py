"""Reads and validates the settings of a node."""

from __future__ import annotations

import json
import pathlib
import re
from typing import Any

import attrs
from ebonyhaven_decisions import SchedulingAlgorithm

from ebonyhaven_node.exceptions import SettingsError

_ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
RESUME_MODES = ("continue", "restart")
SCHEDULING_ALGORITHMS = tuple(each.value for each in SchedulingAlgorithm)


@attrs.frozen(slots=True, kw_only=True)
class Settings:
    """Settings of one node.

    Parameters
    ----------
    instance : str
        Name of the instance.
    data_centre, region : str
        Location of the instance.
    caller_address : str
        ``IP:PORT`` to which callers connect.
    control_address : str
        ``IP:PORT`` to which other instances connect.
    platform_address : str
        ``IP:PORT`` of the platform's services.
    seed : int
        Seed of the node's random number generator; 0 selects a seed of the
        operating system.
    resume : str
        ``continue`` resumes a run on another engine when its engine fails;
        ``restart``, the baseline of measurements, ends it with a failure.
    scheduling : str
        ``fair``; ``round_robin`` and ``least_connections`` are baselines of
        measurements.
    control_seeds : dict of str to str
        Control addresses of some instances by name, used when the instance starts
        while the platform's instance list is unavailable.
    control_loss : float
        Share of the messages to other instances that is dropped, 0 to 1; for
        development.
    control_routes : dict of str to str
        Addresses to connect to, by the control address that each replaces; for
        development.
    """

    instance: str
    data_centre: str
    region: str
    caller_address: str
    control_address: str
    platform_address: str
    seed: int = 0
    resume: str = "continue"
    scheduling: str = "fair"
    control_seeds: dict[str, str] = attrs.field(factory=dict)
    control_loss: float = 0.0
    control_routes: dict[str, str] = attrs.field(factory=dict)


def _check_name(key: str, value: Any) -> None:
    if not isinstance(value, str) or not _NAME_PATTERN.fullmatch(value):
        raise SettingsError(key, "a name of letters, digits, '.', '_', '-'", value)


def _check_address(key: str, value: Any) -> None:
    if not isinstance(value, str) or not _ADDRESS_PATTERN.fullmatch(value):
        raise SettingsError(key, "an address IP:PORT", value)
    host, port = value.split(":")
    if any(int(part) > 255 for part in host.split(".")) or int(port) > 65535:
        raise SettingsError(key, "an address IP:PORT", value)


def _check_integer(key: str, value: Any) -> None:
    if not isinstance(value, int) or isinstance(value, bool):
        raise SettingsError(key, "a whole number", value)


def _check_resume(key: str, value: Any) -> None:
    if value not in RESUME_MODES:
        raise SettingsError(key, f"one of {', '.join(RESUME_MODES)}", value)


def _check_scheduling(key: str, value: Any) -> None:
    if value not in SCHEDULING_ALGORITHMS:
        raise SettingsError(key, f"one of {', '.join(SCHEDULING_ALGORITHMS)}", value)


def _check_seeds(key: str, value: Any) -> None:
    if not isinstance(value, dict):
        raise SettingsError(key, "an object of names and addresses", value)
    for name, address in value.items():
        _check_name(f"{key} key", name)
        _check_address(f"{key}.{name}", address)


def _check_routes(key: str, value: Any) -> None:
    if not isinstance(value, dict):
        raise SettingsError(key, "an object of addresses", value)
    for address, route in value.items():
        _check_address(f"{key} key", address)
        _check_address(f"{key}.{address}", route)


def _check_share(key: str, value: Any) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= 1:
        raise SettingsError(key, "a number between 0 and 1", value)


_CHECKS = {
    "instance": _check_name,
    "data_centre": _check_name,
    "region": _check_name,
    "caller_address": _check_address,
    "control_address": _check_address,
    "platform_address": _check_address,
    "seed": _check_integer,
    "resume": _check_resume,
    "scheduling": _check_scheduling,
    "control_seeds": _check_seeds,
    "control_loss": _check_share,
    "control_routes": _check_routes,
}


def parse_settings(data: Any) -> Settings:
    """Validate decoded settings.

    Parameters
    ----------
    data : object
        Decoded JSON.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        If a key is unknown or missing, or its value is invalid.
    """
    if not isinstance(data, dict):
        raise SettingsError("settings", "an object", data)
    for key in data:
        if key not in _CHECKS:
            raise SettingsError(key, f"one of {', '.join(_CHECKS)}", data[key])
    for field in attrs.fields(Settings):
        if field.name in data:
            _CHECKS[field.name](field.name, data[field.name])
        elif field.default is attrs.NOTHING:
            raise SettingsError(field.name, "a value", None)
    return Settings(**data)


def read_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : pathlib.Path

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        If the file cannot be read, is not JSON, or contains invalid settings.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(str(path), "a readable file", error.strerror) from error
    try:
        data = json.loads(text)
    except ValueError as error:
        raise SettingsError(str(path), "JSON", str(error)) from error
    return parse_settings(data)
