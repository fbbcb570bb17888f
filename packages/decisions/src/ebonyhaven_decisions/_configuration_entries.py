"""Accepted configurations and the rows that keep them.

A version is accepted by one conditional transaction on the platform's table, so
versions only grow.
"""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import attrs

CURRENT_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
CHANGE_PREFIX = "configuration/changes/"
MAX_ENTRY_BYTES = 60 * 1024
DEFLATE_LEVEL = 9


@attrs.frozen(slots=True, kw_only=True)
class ConfigurationEntry:
    """One accepted configuration.

    Parameters
    ----------
    version : int
        1 for the first, one more for each accepted change.
    change_id : str
        Chosen by the operator's tool; makes repeating a write safe.
    author : str
        Who made the change.
    accepted_at : float
        Seconds since the epoch by the clock of the operator's tool.
    declaration : dict
        The declaration as JSON values.
    """

    version: int
    change_id: str
    author: str
    accepted_at: float
    declaration: Mapping[str, Any]

    def serialize(self) -> dict[str, Any]:
        """Return the entry as the JSON value of a row.

        A declaration that is too long for a row is deflated.
        """
        text = json.dumps(self.declaration, separators=(",", ":"))
        entry: dict[str, Any] = {
            "version": self.version,
            "change_id": self.change_id,
            "author": self.author,
            "accepted_at": self.accepted_at,
        }
        if len(text) <= MAX_ENTRY_BYTES:
            return {**entry, "declaration": dict(self.declaration)}
        deflated = base64.b64encode(zlib.compress(text.encode(), DEFLATE_LEVEL))
        return {**entry, "declaration_deflated": deflated.decode()}


def parse_entry(value: Mapping[str, Any]) -> ConfigurationEntry:
    """Return the entry that a row or message holds.

    Raises
    ------
    ValueError
        If the value is no entry.
    """
    try:
        return ConfigurationEntry(
            version=int(value["version"]),
            change_id=str(value["change_id"]),
            author=str(value["author"]),
            accepted_at=float(value["accepted_at"]),
            declaration=_read_declaration(value),
        )
    except (KeyError, TypeError, zlib.error) as error:
        raise ValueError(f"no configuration entry: {error!r}") from error


def _read_declaration(value: Mapping[str, Any]) -> Mapping[str, Any]:
    deflated = value.get("declaration_deflated")
    if deflated is None:
        return value["declaration"]
    return json.loads(zlib.decompress(base64.b64decode(deflated)))


def name_history_key(version: int) -> str:
    """Return the key of the row that keeps a version for good."""
    return f"{HISTORY_PREFIX}{version:08d}"


def name_change_key(change_id: str) -> str:
    """Return the key of the row that says which version a change became."""
    return f"{CHANGE_PREFIX}{change_id}"


class CurrentEntry(NamedTuple):
    """The current row as read.

    Parameters
    ----------
    entry : ConfigurationEntry or None
        None before the first acceptance.
    row_version : int
        Version of the row in the table, 0 if it is absent.
    """

    entry: ConfigurationEntry | None
    row_version: int

    @property
    def version(self) -> int:
        """Version of the configuration, 0 before the first."""
        return self.entry.version if self.entry else 0


class RowCondition(NamedTuple):
    """Version that a row must have for an acceptance."""

    key: str
    version: int


class RowWrite(NamedTuple):
    """Row that an acceptance writes."""

    key: str
    value: Any


class Acceptance(NamedTuple):
    """Conditions and writes that accept a configuration.

    Parameters
    ----------
    entry : ConfigurationEntry
        What is accepted.
    conditions : tuple of RowCondition
        They hold only if nothing was accepted since the current row was read.
    writes : tuple of RowWrite
        The current row, the history row and the row of the change id.
    """

    entry: ConfigurationEntry
    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


def propose_entry(
    current: CurrentEntry,
    *,
    change_id: str,
    author: str,
    now: float,
    declaration: Mapping[str, Any],
) -> Acceptance:
    """Return the transaction that accepts a declaration on top of ``current``.

    Parameters
    ----------
    current : CurrentEntry
        The row that the change is based on.
    change_id : str
        Name of the change; a second acceptance of it fails.
    author : str
        Who makes the change.
    now : float
        Seconds since the epoch.
    declaration : dict
        Checked declaration as JSON values.
    """
    entry = ConfigurationEntry(
        version=current.version + 1,
        change_id=change_id,
        author=author,
        accepted_at=now,
        declaration=declaration,
    )
    history_key = name_history_key(entry.version)
    change_key = name_change_key(change_id)
    return Acceptance(
        entry=entry,
        conditions=(
            RowCondition(CURRENT_KEY, current.row_version),
            RowCondition(history_key, 0),
            RowCondition(change_key, 0),
        ),
        writes=(
            RowWrite(CURRENT_KEY, entry.serialize()),
            RowWrite(history_key, entry.serialize()),
            RowWrite(change_key, {"version": entry.version}),
        ),
    )
