"""Reads of the configuration, its history and what instances run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

import treq
from ebonyhaven_decisions import (
    CURRENT_CONFIGURATION_KEY,
    ConfigurationEntry,
    CurrentEntry,
    format_history_key,
    parse_configuration_entry,
)
from ebonyhaven_store import (
    InstanceListClient,
    ListedProcess,
    PlatformError,
    RetryPolicy,
    RowSet,
    TableClient,
    Unavailable,
)
from twisted.internet import task
from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults

from ebonyhaven_operator.exceptions import EXIT_UNAVAILABLE, CommandError

READ_RETRY_DELAY_S = 0.2
HEALTH_TIMEOUT_S = 2.0
MAX_CONCURRENT_CHECKS = 20


async def read_rows_with_retry(
    table: TableClient, keys: Sequence[str], clock: Any, retry_policy: RetryPolicy
) -> RowSet:
    """Read rows, again and again until the deadline.

    Raises
    ------
    CommandError
        If the table could not be read before the deadline.
    """
    while True:
        try:
            return await table.read_rows(keys)
        except Unavailable as error:
            wait_s = READ_RETRY_DELAY_S * retry_policy.rng.uniform(0.5, 1.5)
            if clock.seconds() + wait_s > retry_policy.deadline:
                message = f"nothing was changed: {error}"
                raise CommandError(
                    "unavailable", message, exit_code=EXIT_UNAVAILABLE
                ) from error
        await task.deferLater(clock, wait_s)


def find_current_entry(rows: RowSet) -> CurrentEntry:
    """Return the current configuration among rows."""
    row = rows.find(CURRENT_CONFIGURATION_KEY)
    entry = None if row.value is None else parse_configuration_entry(row.value)
    return CurrentEntry(entry, row.version)


async def read_history(
    table: TableClient, length: int, clock: Any, retry_policy: RetryPolicy
) -> list[ConfigurationEntry]:
    """Return the latest configurations, newest first.

    Parameters
    ----------
    table : TableClient
        The platform's table.
    length : int
        Most entries to return.
    clock : IReactorTime
        Source of time and delayed calls.
    retry_policy : RetryPolicy
        How long to try.
    """
    rows = await read_rows_with_retry(
        table, [CURRENT_CONFIGURATION_KEY], clock, retry_policy
    )
    newest = find_current_entry(rows).version
    oldest = max(1, newest - length + 1)
    keys = [format_history_key(version) for version in range(oldest, newest + 1)]
    if not keys:
        return []
    kept = await read_rows_with_retry(table, keys, clock, retry_policy)
    entries = [parse_configuration_entry(row.value) for row in kept.rows]
    return sorted(entries, key=lambda entry: -entry.version)


class InstanceStatus(NamedTuple):
    """What one instance says about itself.

    Parameters
    ----------
    instance : str
        Name of the instance.
    address : str
        Its address for callers.
    version : int or None
        Version of the configuration that it runs; None if it did not answer.
    status : str
        ``"live"``, ``"leaving"`` or ``"unreachable"``.
    """

    instance: str
    address: str
    version: int | None
    status: str


class StatusReport(NamedTuple):
    """Which instances run which version.

    Parameters
    ----------
    version : int or None
        Version in the table; None if the table cannot be read.
    instances : tuple of InstanceStatus
        All listed instances.
    """

    version: int | None
    instances: tuple[InstanceStatus, ...]

    @property
    def shares(self) -> dict[int, float]:
        """Share of the answering instances that run each version."""
        versions = [item.version for item in self.instances if item.version is not None]
        counts = Counter(versions)
        return {version: counts[version] / len(versions) for version in sorted(counts)}

    @property
    def is_rolled_out(self) -> bool:
        """Whether all answering instances run the version of the table."""
        return set(self.shares) <= {self.version}


async def read_status(
    table: TableClient, instances: InstanceListClient, reactor: Any
) -> StatusReport:
    """Ask all listed instances which version they run.

    Raises
    ------
    PlatformError
        If the list of instances cannot be read.
    """
    version: int | None = None
    try:
        rows = await table.read_rows([CURRENT_CONFIGURATION_KEY])
        version = find_current_entry(rows).version
    except PlatformError:
        pass
    listed = (await instances.read()).instances
    slots = DeferredSemaphore(MAX_CONCURRENT_CHECKS)
    checks = [slots.run(_start_check, item, reactor) for item in listed]
    return StatusReport(version, tuple(await gatherResults(checks)))


def _start_check(listed: ListedProcess, reactor: Any) -> Deferred[InstanceStatus]:
    return Deferred.fromCoroutine(_check_instance(listed, reactor))


async def _check_instance(listed: ListedProcess, reactor: Any) -> InstanceStatus:
    try:
        response = await treq.get(
            f"http://{listed.address}/health",
            timeout=HEALTH_TIMEOUT_S,
            persistent=False,
            reactor=reactor,
        )
        health = await treq.json_content(response)
        version, status = health["configuration_version"], health["status"]
    except Exception:  # whatever it is, the instance is reported as unreachable
        return InstanceStatus(listed.name, listed.address, None, "unreachable")
    return InstanceStatus(listed.name, listed.address, version, status)
