"""Reads of the configuration, its history and the status of instances."""

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
    """Read rows by key, retrying until the deadline while the platform is unavailable.

    Raises
    ------
    CommandError
        If the table was unavailable until the deadline.
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
    """Return the current configuration from rows that were read with its key."""
    row = rows.find(CURRENT_CONFIGURATION_KEY)
    entry = None if row.value is None else parse_configuration_entry(row.value)
    return CurrentEntry(entry, row.version)


async def read_history(
    table: TableClient, length: int, clock: Any, retry_policy: RetryPolicy
) -> list[ConfigurationEntry]:
    """Return the latest accepted configurations, newest first.

    Parameters
    ----------
    table : TableClient
        The platform's table.
    length : int
        Maximum number of entries.
    clock : IReactorTime
        Source of time and delayed calls.
    retry_policy : RetryPolicy
        Deadline and jitter of the retries.
    """
    rows = await read_rows_with_retry(
        table, [CURRENT_CONFIGURATION_KEY], clock, retry_policy
    )
    newest = find_current_entry(rows).version
    oldest = max(1, newest - length + 1)
    keys = [format_history_key(version) for version in range(oldest, newest + 1)]
    if not keys:
        return []
    history = await read_rows_with_retry(table, keys, clock, retry_policy)
    entries = [parse_configuration_entry(row.value) for row in history.rows]
    return sorted(entries, key=lambda entry: -entry.version)


class InstanceStatus(NamedTuple):
    """Status of one instance as reported by its health endpoint.

    Parameters
    ----------
    instance : str
        Name of the instance.
    address : str
        ``IP:PORT`` at which the instance serves callers.
    version : int or None
        Version of the configuration that the instance runs; None if it is
        unreachable.
    status : str
        ``"live"``, ``"leaving"`` or ``"unreachable"``.
    """

    instance: str
    address: str
    version: int | None
    status: str


class StatusReport(NamedTuple):
    """Current configuration version and the versions that instances run.

    Parameters
    ----------
    version : int or None
        Current version in the table; None if the table could not be read.
    instances : tuple of InstanceStatus
        Status of all listed instances.
    """

    version: int | None
    instances: tuple[InstanceStatus, ...]

    @property
    def version_shares(self) -> dict[int, float]:
        """Share of the reachable instances that run each version, from 0 to 1."""
        versions = [item.version for item in self.instances if item.version is not None]
        counts = Counter(versions)
        return {version: counts[version] / len(versions) for version in sorted(counts)}

    @property
    def is_rolled_out(self) -> bool:
        """Whether all reachable instances, if any, run the current version."""
        return set(self.version_shares) <= {self.version}


async def read_status(
    table: TableClient, instances: InstanceListClient, reactor: Any
) -> StatusReport:
    """Query all listed instances for the configuration version that they run.

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
    semaphore = DeferredSemaphore(MAX_CONCURRENT_CHECKS)
    checks = [semaphore.run(_start_check, item, reactor) for item in listed]
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
    except Exception:  # any failure means that the instance is unreachable
        return InstanceStatus(listed.name, listed.address, None, "unreachable")
    return InstanceStatus(listed.name, listed.address, version, status)
