"""JSON values of the losses of servers, for other instances and the store."""

from __future__ import annotations

from typing import Any

from ebonyhaven_decisions._documents import check_integer
from ebonyhaven_decisions.forwarding._losses import LossReport, Traits

MS_PER_S = 1000.0


def encode_loss_report(report: LossReport) -> list[Any]:
    """Return the JSON value of a report.

    Parameters
    ----------
    report : LossReport
    """
    requests = [list(traits) for traits in report.requests]
    age_ms = round(report.age_s * MS_PER_S)
    return [report.process, report.data_centre, age_ms, requests]


def decode_loss_report(values: Any) -> LossReport:
    """Return a report from its JSON value.

    Parameters
    ----------
    values : object
        Result of `encode_loss_report`.

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    process, data_centre, age_ms, requests = values
    if not isinstance(process, str) or not isinstance(data_centre, str):
        raise ValueError("process and data centre must be strings")
    age_s = _decode_age_s(age_ms)
    decoded = tuple(_decode_traits(traits) for traits in requests)
    return LossReport(process, data_centre, age_s, decoded)


def encode_survivals(ages_s: dict[str, float]) -> list[list[Any]]:
    """Return the JSON value of survivals, see `CrashHistory.export_survivals`.

    Parameters
    ----------
    ages_s : dict of str to float
    """
    return [[trait, round(age_s * MS_PER_S)] for trait, age_s in ages_s.items()]


def decode_survivals(values: Any) -> dict[str, float]:
    """Return survivals from their JSON value.

    Parameters
    ----------
    values : object
        Result of `encode_survivals`.

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    return {str(trait): _decode_age_s(age_ms) for trait, age_ms in values}


def _decode_age_s(age_ms: Any) -> float:
    return max(0, check_integer(age_ms)) / MS_PER_S


def _decode_traits(traits: Any) -> Traits:
    if not isinstance(traits, list) or not all(
        isinstance(each, str) for each in traits
    ):
        raise ValueError("traits must be a list of strings")
    return tuple(traits)
