"""Rows, conditions and writes of the platform's table."""

from __future__ import annotations

from typing import Any, NamedTuple


class Row(NamedTuple):
    """Row of the table.

    Parameters
    ----------
    key : str
        Key of the row.
    value : object
        JSON value; None if the row was deleted or never existed.
    version : int
        Version of the table at the last write to the row; 0 if the row does not
        exist.
    """

    key: str
    value: Any
    version: int


class RowSet(NamedTuple):
    """Rows returned by one read.

    Parameters
    ----------
    rows : tuple of Row
        Rows that exist, or that a read of changes returned as deleted.
    version : int
        Version of the table at the time of the read.
    """

    rows: tuple[Row, ...]
    version: int

    def find(self, key: str) -> Row:
        """Return the row of ``key``, or a row with version 0 if there is none."""
        for row in self.rows:
            if row.key == key:
                return row
        return Row(key, None, 0)


class Condition(NamedTuple):
    """Version that a row must have; 0 requires that the row does not exist."""

    key: str
    version: int


class Write(NamedTuple):
    """New value of a row; None deletes the row."""

    key: str
    value: Any


class Transaction(NamedTuple):
    """Writes that are applied atomically if all conditions hold.

    Parameters
    ----------
    transaction_id : str
        Identifier for the platform's logs; the platform does not deduplicate by it.
    conditions : tuple of Condition
        Required versions of rows.
    writes : tuple of Write
        New values of rows.
    """

    transaction_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
