"""Accepted configurations and the table rows that store them.

Each version is accepted by one conditional transaction on the platform's table, so
the version numbers increase strictly.
"""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import attrs

from ebonyhaven_decisions._documents import (
    MAX_DOCUMENT_BYTES,
    check_integer,
    check_number,
    decode_document,
)
from ebonyhaven_decisions.exceptions import MalformedDocument

CURRENT_CONFIGURATION_KEY = "configuration/current"
CONFIGURATION_HISTORY_PREFIX = "configuration/history/"
CONFIGURATION_CHANGE_PREFIX = "configuration/changes/"
MAX_ENTRY_BYTES = 60 * 1024
DEFLATE_LEVEL = 9


@attrs.frozen(slots=True, kw_only=True)
class ConfigurationEntry:
    """One accepted configuration.

    Parameters
    ----------
    version : int
        1 for the first configuration, incremented by each accepted change.
    change_id : str
        Id of the change, chosen by the operator's tool; makes the write idempotent.
    author : str
        Name of the operator who made the change.
    accepted_at : float
        Unix time in seconds, by the clock of the operator's tool.
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

        A declaration that is too long for a row is compressed with deflate.
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


def parse_configuration_entry(value: Mapping[str, Any]) -> ConfigurationEntry:
    """Parse the entry in a row or message.

    Raises
    ------
    ValueError
        If the value is not a configuration entry.
    """
    try:
        return ConfigurationEntry(
            version=check_integer(value["version"]),
            change_id=str(value["change_id"]),
            author=str(value["author"]),
            accepted_at=check_number(value["accepted_at"]),
            declaration=_read_declaration(value),
        )
    except (KeyError, TypeError, zlib.error) as error:
        raise ValueError(f"malformed configuration entry: {error!r}") from error


def _read_declaration(value: Mapping[str, Any]) -> Mapping[str, Any]:
    deflated = value.get("declaration_deflated")
    if deflated is None:
        return value["declaration"]
    inflater = zlib.decompressobj()
    text = inflater.decompress(base64.b64decode(deflated), MAX_DOCUMENT_BYTES)
    if not inflater.eof:
        raise MalformedDocument("a declaration that does not end in time")
    return decode_document(text)


def format_history_key(version: int) -> str:
    """Return the key of the row that stores a version permanently."""
    return f"{CONFIGURATION_HISTORY_PREFIX}{version:08d}"


def format_change_key(change_id: str) -> str:
    """Return the key of the row that stores the version of an accepted change."""
    return f"{CONFIGURATION_CHANGE_PREFIX}{change_id}"


class CurrentEntry(NamedTuple):
    """The row of the current configuration as read from the table.

    Parameters
    ----------
    entry : ConfigurationEntry or None
        None before the first configuration is accepted.
    row_version : int
        Version of the row in the table; 0 if it is absent.
    """

    entry: ConfigurationEntry | None
    row_version: int

    @property
    def version(self) -> int:
        """Version of the configuration; 0 before the first."""
        return self.entry.version if self.entry else 0


class RowCondition(NamedTuple):
    """Version that a row must have for the transaction to succeed; 0 if absent."""

    key: str
    version: int


class RowWrite(NamedTuple):
    """Row that the transaction writes."""

    key: str
    value: Any


class AcceptanceTransaction(NamedTuple):
    """Conditions and writes of the transaction that accepts a configuration.

    Parameters
    ----------
    entry : ConfigurationEntry
        The configuration to accept.
    conditions : tuple of RowCondition
        Satisfied only if no configuration was accepted since the current row was
        read, and if the change id is unused.
    writes : tuple of RowWrite
        The current row, the history row and the row of the change id.
    """

    entry: ConfigurationEntry
    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


def build_acceptance_transaction(
    current: CurrentEntry,
    *,
    change_id: str,
    author: str,
    now: float,
    declaration: Mapping[str, Any],
) -> AcceptanceTransaction:
    """Return the transaction that accepts a declaration as successor of ``current``.

    Parameters
    ----------
    current : CurrentEntry
        The row that the change is based on.
    change_id : str
        Id of the change; accepting the same id a second time fails.
    author : str
        Name of the operator who makes the change.
    now : float
        Unix time in seconds.
    declaration : dict
        Validated declaration as JSON values.
    """
    entry = ConfigurationEntry(
        version=current.version + 1,
        change_id=change_id,
        author=author,
        accepted_at=now,
        declaration=declaration,
    )
    history_key = format_history_key(entry.version)
    change_key = format_change_key(change_id)
    return AcceptanceTransaction(
        entry=entry,
        conditions=(
            RowCondition(CURRENT_CONFIGURATION_KEY, current.row_version),
            RowCondition(history_key, 0),
            RowCondition(change_key, 0),
        ),
        writes=(
            RowWrite(CURRENT_CONFIGURATION_KEY, entry.serialize()),
            RowWrite(history_key, entry.serialize()),
            RowWrite(change_key, {"version": entry.version}),
        ),
    )
