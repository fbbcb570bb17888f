"""Clients of the platform's table, object store, weight store and instance list."""

from __future__ import annotations

from ebonyhaven_store._agents import make_agent
from ebonyhaven_store._bodies import read_body
from ebonyhaven_store._instances import (
    InstanceList,
    InstanceListClient,
    ListedProcess,
)
from ebonyhaven_store._objects import ObjectClient, WeightClient
from ebonyhaven_store._resolution import RetryPolicy, WriteResult, resolve_write
from ebonyhaven_store._rows import Condition, Row, RowSet, Transaction, Write
from ebonyhaven_store._table import TableClient
from ebonyhaven_store._transport import PlatformTransport
from ebonyhaven_store.exceptions import (
    Conflict,
    PlatformError,
    Rejected,
    Throttled,
    Unavailable,
    Unconfirmed,
)

__all__ = [
    "Condition",
    "Conflict",
    "InstanceList",
    "InstanceListClient",
    "ListedProcess",
    "ObjectClient",
    "PlatformError",
    "PlatformTransport",
    "Rejected",
    "RetryPolicy",
    "Row",
    "RowSet",
    "TableClient",
    "Throttled",
    "Transaction",
    "Unavailable",
    "Unconfirmed",
    "WeightClient",
    "Write",
    "WriteResult",
    "make_agent",
    "read_body",
    "resolve_write",
]
