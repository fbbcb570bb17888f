"""Client of the platform's transactional table."""

from __future__ import annotations

import json
from collections.abc import Coroutine, Sequence
from typing import Any

from twisted.internet.defer import Deferred

from ebonyhaven_store._rows import Row, RowSet, Transaction
from ebonyhaven_store._transport import PlatformTransport
from ebonyhaven_store.exceptions import Conflict

TRANSACT_STEP = "table.transact"


def _parse_rows(rows: list[dict[str, Any]]) -> tuple[Row, ...]:
    return tuple(Row(row["key"], row["value"], row["version"]) for row in rows)


def _start_coroutine(coroutine: Coroutine) -> Deferred:
    return Deferred.fromCoroutine(coroutine)


class TableClient:
    """Client of the platform's transactional table.

    Parameters
    ----------
    transport : PlatformTransport
        Connections to the platform.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: PlatformTransport):
        self._transport = transport

    @property
    def peer(self) -> str:
        """``IP:PORT`` of the platform."""
        return self._transport.address

    def transact(self, transaction: Transaction) -> Deferred[int]:
        """Send a transaction once, without retries.

        Parameters
        ----------
        transaction : Transaction
            Conditions and writes to send.

        Returns
        -------
        Deferred of int
            Version of the table after the commit.

        Raises
        ------
        Conflict
            A condition did not hold; nothing was written.
        Throttled, Unavailable
            Nothing was written.
        Unconfirmed
            The writes may have been or may still be applied; ``resolve_write``
            determines which.
        """
        return _start_coroutine(self._transact(transaction))

    def read_rows(self, keys: Sequence[str]) -> Deferred[RowSet]:
        """Read rows by key, omitting those that do not exist.

        Raises
        ------
        Throttled, Unavailable
            The rows could not be read.
        """
        query = [("key", key) for key in keys]
        return _start_coroutine(self._read("rows", query, field="rows"))

    def read_range(self, prefix: str) -> Deferred[RowSet]:
        """Read all rows whose key starts with ``prefix``.

        Raises
        ------
        Throttled, Unavailable
            The rows could not be read.
        """
        return _start_coroutine(self._read("range", [("prefix", prefix)], field="rows"))

    def read_changes(self, since: int, *, prefix: str = "") -> Deferred[RowSet]:
        """Read the current state of each row that changed after a version.

        Parameters
        ----------
        since : int
            Version of the table; only rows changed after it are returned.
        prefix : str
            Only rows whose key starts with this prefix are returned.

        Returns
        -------
        Deferred of RowSet
            Includes deleted rows, with the value None.

        Raises
        ------
        Throttled, Unavailable
            The rows could not be read.
        """
        query = [("since", str(since)), ("prefix", prefix)]
        return _start_coroutine(self._read("changes", query, field="changes"))

    async def _transact(self, transaction: Transaction) -> int:
        body = {
            "transaction_id": transaction.transaction_id,
            "conditions": [item._asdict() for item in transaction.conditions],
            "writes": [item._asdict() for item in transaction.writes],
        }
        response = await self._transport.exchange(
            "POST",
            "/table/transact",
            step=TRANSACT_STEP,
            body=json.dumps(body).encode(),
            accepted=frozenset({200, 409}),
        )
        if response.status == 409:
            rows = _parse_rows(response.decode()["conflicts"])
            raise Conflict(step=TRANSACT_STEP, peer=self.peer, rows=rows)
        return response.decode()["version"]

    async def _read(
        self, operation: str, query: Sequence[tuple[str, str]], *, field: str
    ) -> RowSet:
        response = await self._transport.exchange(
            "GET", f"/table/{operation}", step=f"table.{operation}", query=query
        )
        body = response.decode()
        return RowSet(_parse_rows(body[field]), body["version"])
