"""Rows of the platform stand-in: one transactional table in memory."""

from __future__ import annotations

import bisect
import json
from typing import Any, NamedTuple

MAX_VALUE_BYTES = 64 * 1024


class StoredRow(NamedTuple):
    """Latest state of a row; a deleted row keeps its version and has no value."""

    key: str
    value: Any
    version: int


class RowConflict(Exception):
    """Raised when a condition of a transaction does not hold.

    Parameters
    ----------
    rows : list of StoredRow
        Present state of the rows whose conditions failed.
    """

    def __init__(self, rows: list[StoredRow]):
        super().__init__(", ".join(row.key for row in rows))
        self.rows = rows


class ValueTooLarge(Exception):
    """Raised when a value is longer than ``MAX_VALUE_BYTES`` as JSON."""


class Table:
    """Rows under one version counter, written by conditional transactions."""

    __slots__ = ("_log", "_rows", "version")

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[str, StoredRow] = {}
        self._log: list[tuple[int, str]] = []

    def transact(self, conditions: dict[str, int], writes: dict[str, Any]) -> int:
        """Apply all writes if every condition holds.

        Parameters
        ----------
        conditions : dict of str to int
            Expected version of each row; 0 means that it must be absent.
        writes : dict of str to object
            New JSON value of each row; None deletes it.

        Returns
        -------
        int
            Version of the table after the transaction.

        Raises
        ------
        RowConflict
            If a condition does not hold; nothing was written.
        ValueTooLarge
            If a value is too long; nothing was written.
        """
        conflicts = [
            self._describe(key)
            for key, version in conditions.items()
            if self._describe(key).version != version
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
        rows = [self._describe(key) for key in keys]
        return [row for row in rows if row.value is not None]

    def read_range(self, prefix: str) -> list[StoredRow]:
        """Return all rows whose key starts with ``prefix``, by key."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return self.read_rows(keys)

    def read_changes(self, since: int, prefix: str) -> list[StoredRow]:
        """Return the latest state of each row changed after ``since``."""
        start = bisect.bisect_right(self._log, since, key=lambda entry: entry[0])
        return [
            self._rows[key]
            for version, key in self._log[start:]
            if key.startswith(prefix) and self._rows[key].version == version
        ]

    def _write(self, writes: dict[str, Any]) -> None:
        self.version += 1
        for key, value in writes.items():
            self._rows[key] = StoredRow(key, value, self.version)
            self._log.append((self.version, key))

    def _describe(self, key: str) -> StoredRow:
        row = self._rows.get(key)
        if row is None or row.value is None:
            return StoredRow(key, None, 0)
        return row
