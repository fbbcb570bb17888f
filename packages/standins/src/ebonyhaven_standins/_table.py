"""In-memory transactional table of the stand-in platform."""

from __future__ import annotations

import bisect
import json
from typing import Any, NamedTuple

MAX_VALUE_BYTES = 64 * 1024


class StoredRow(NamedTuple):
    """Latest state of a row; a deleted row keeps its version and has value None."""

    key: str
    value: Any
    version: int


class RowConflict(Exception):
    """Raised when a condition of a transaction does not hold.

    Parameters
    ----------
    rows : list of StoredRow
        Current state of the rows whose conditions failed.
    """

    def __init__(self, rows: list[StoredRow]):
        super().__init__(", ".join(row.key for row in rows))
        self.rows = rows


class ValueTooLarge(Exception):
    """Raised when the JSON encoding of a value exceeds ``MAX_VALUE_BYTES``."""


class Table:
    """Versioned rows that are written by conditional transactions.

    All rows share one version counter, which every writing transaction increments.
    """

    __slots__ = ("_change_log", "_rows", "version")

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[str, StoredRow] = {}
        self._change_log: list[tuple[int, str]] = []

    def transact(self, conditions: dict[str, int], writes: dict[str, Any]) -> int:
        """Apply all writes atomically if every condition holds.

        Parameters
        ----------
        conditions : dict of str to int
            Expected version of each row; 0 if the row must be absent.
        writes : dict of str to object
            New JSON value of each row; None deletes it.

        Returns
        -------
        int
            Version of the table after the transaction.

        Raises
        ------
        RowConflict
            If a condition does not hold; nothing is written.
        ValueTooLarge
            If a value is too large; nothing is written.
        """
        conflicts = [
            self._get_row(key)
            for key, version in conditions.items()
            if self._get_row(key).version != version
        ]
        if conflicts:
            raise RowConflict(conflicts)
        for key, value in writes.items():
            if len(json.dumps(value)) > MAX_VALUE_BYTES:
                raise ValueTooLarge(key)
        if writes:
            self._write(writes)
        return self.version

    def read_rows(self, keys: list[str]) -> list[StoredRow]:
        """Return the rows among ``keys`` that exist."""
        rows = [self._get_row(key) for key in keys]
        return [row for row in rows if row.value is not None]

    def read_range(self, prefix: str) -> list[StoredRow]:
        """Return the rows whose key starts with ``prefix``, sorted by key."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return self.read_rows(keys)

    def read_changes(self, since: int, prefix: str) -> list[StoredRow]:
        """Return the latest state of each row changed after a version.

        Deleted rows are included. Rows are in the order of their last change.

        Parameters
        ----------
        since : int
            Version of the table after which changes are returned.
        prefix : str
            Prefix of the keys to return.

        Returns
        -------
        list of StoredRow
        """
        start = bisect.bisect_right(self._change_log, since, key=lambda entry: entry[0])
        return [
            self._rows[key]
            for version, key in self._change_log[start:]
            if key.startswith(prefix) and self._rows[key].version == version
        ]

    def _write(self, writes: dict[str, Any]) -> None:
        self.version += 1
        for key, value in writes.items():
            self._rows[key] = StoredRow(key, value, self.version)
            self._change_log.append((self.version, key))

    def _get_row(self, key: str) -> StoredRow:
        row = self._rows.get(key)
        if row is None or row.value is None:
            return StoredRow(key, None, 0)
        return row
