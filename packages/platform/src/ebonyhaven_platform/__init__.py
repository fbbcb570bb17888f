"""Client of the platform's table, object, weight and instance services."""

from __future__ import annotations

from ebonyhaven_platform._agents import make_agent
from ebonyhaven_platform._instances import (
    InstanceList,
    InstanceListClient,
    ListedProcess,
)
from ebonyhaven_platform._objects import ObjectClient, WeightClient
from ebonyhaven_platform._resolution import RetryLimit, WriteResult, resolve_write
from ebonyhaven_platform._rows import Condition, Row, RowSet, Transaction, Write
from ebonyhaven_platform._table import TableClient
from ebonyhaven_platform._transport import PlatformTransport
from ebonyhaven_platform.exceptions import (
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
    "RetryLimit",
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
    "resolve_write",
]
