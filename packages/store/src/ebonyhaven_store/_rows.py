"""Rows, conditions and writes of the platform's table."""

from __future__ import annotations

from typing import Any, NamedTuple


class Row(NamedTuple):
    """One row as read.

    Parameters
    ----------
    key : str
        Name of the row.
    value : object
        JSON value; None where the row is deleted or absent.
    version : int
        Version of the table at which the row was last written, 0 if absent.
    """

    key: str
    value: Any
    version: int


class RowSet(NamedTuple):
    """Rows read together.

    Parameters
    ----------
    rows : tuple of Row
        The rows found.
    version : int
        Version of the table at the time of reading.
    """

    rows: tuple[Row, ...]
    version: int

    def find(self, key: str) -> Row:
        """Return the row named ``key``, with version 0 if it is absent."""
        for row in self.rows:
            if row.key == key:
                return row
        return Row(key, None, 0)


class Condition(NamedTuple):
    """Version that a row must have; 0 means that it must be absent."""

    key: str
    version: int


class Write(NamedTuple):
    """New value of a row; None deletes it."""

    key: str
    value: Any


class Transaction(NamedTuple):
    """Writes that are applied together if all conditions hold.

    Parameters
    ----------
    transaction_id : str
        Name of the transaction for logs; the platform does not deduplicate by it.
    conditions : tuple of Condition
        What must hold.
    writes : tuple of Write
        What is written.
    """

    transaction_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
