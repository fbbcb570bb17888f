"""Acceptance of configuration changes."""

from __future__ import annotations

import json
import time
from typing import Any, NamedTuple

import attrs
from ebonyhaven_decisions import (
    CURRENT_CONFIGURATION_KEY,
    MAX_ENTRY_BYTES,
    AcceptanceTransaction,
    ConfigurationEntry,
    CurrentEntry,
    Declaration,
    DeclarationError,
    build_acceptance_transaction,
    format_change_key,
    format_history_key,
    parse_configuration_entry,
    parse_declaration,
)
from ebonyhaven_store import (
    Condition,
    Conflict,
    RetryPolicy,
    RowSet,
    TableClient,
    Transaction,
    Unavailable,
    Unconfirmed,
    Write,
    resolve_write,
)

from ebonyhaven_operator._reading import find_current_entry, read_rows_with_retry
from ebonyhaven_operator.exceptions import (
    EXIT_INVALID,
    EXIT_UNAVAILABLE,
    EXIT_UNCONFIRMED,
    CommandError,
    make_conflict_error,
)


@attrs.frozen(slots=True, kw_only=True)
class ConfigurationChange:
    """Change of the configuration requested by an operator.

    Parameters
    ----------
    declaration : Declaration
        Validated declaration of the new configuration.
    change_id : str
        Identifier that makes applying the change idempotent.
    author : str
        Name of the operator.
    base_version : int or None
        Version that must be current for the change to be accepted; None accepts
        any.
    """

    declaration: Declaration
    change_id: str
    author: str
    base_version: int | None


class AcceptedChange(NamedTuple):
    """Configuration version with the declaration of a change.

    Parameters
    ----------
    version : int
        Number of the configuration version.
    outcome : str
        ``"accepted"``, ``"accepted_before"`` if the change id was accepted earlier,
        or ``"unchanged"`` if the declaration was current already.
    """

    version: int
    outcome: str


async def apply_change(
    table: TableClient,
    change: ConfigurationChange,
    *,
    clock: Any,
    retry_policy: RetryPolicy,
) -> AcceptedChange:
    """Accept a change as the next configuration version.

    Parameters
    ----------
    table : TableClient
        The platform's table.
    change : ConfigurationChange
        Change to accept.
    clock : IReactorTime
        Source of time and delayed calls.
    retry_policy : RetryPolicy
        Deadline and jitter of the retries.

    Returns
    -------
    AcceptedChange

    Raises
    ------
    CommandError
        If the change conflicts with another one, its id was already used with another
        declaration, its declaration is too large, the platform is unavailable, or the
        outcome of the write is unknown.
    """
    change_key = format_change_key(change.change_id)
    rows = await read_rows_with_retry(
        table, [CURRENT_CONFIGURATION_KEY, change_key], clock, retry_policy
    )
    current = find_current_entry(rows)
    change_row = rows.find(change_key)
    if change_row.value is not None:
        version = change_row.value["version"]
        return await _check_accepted_version(
            table, change, version, clock, retry_policy
        )
    base_version = change.base_version
    if base_version is not None and base_version != current.version:
        raise make_conflict_error(base_version, current.entry)
    if current.entry is not None and _has_declaration(
        current.entry, change.declaration
    ):
        return AcceptedChange(current.version, "unchanged")
    return await _write_change(table, change, current, clock, retry_policy)


async def _write_change(
    table: TableClient,
    change: ConfigurationChange,
    current: CurrentEntry,
    clock: Any,
    retry_policy: RetryPolicy,
) -> AcceptedChange:
    acceptance = build_acceptance_transaction(
        current,
        change_id=change.change_id,
        author=change.author,
        now=time.time(),
        declaration=change.declaration.serialize(),
    )
    _check_size(acceptance.entry)
    change_key = format_change_key(change.change_id)
    try:
        await resolve_write(
            table,
            _make_transaction(change, acceptance),
            marker_key=change_key,
            clock=clock,
            retry_policy=retry_policy,
        )
    except Conflict as conflict:
        rows = RowSet(conflict.rows, 0)
        change_value = rows.find(change_key).value
        if change_value is not None:
            version = change_value["version"]
            return await _check_accepted_version(
                table, change, version, clock, retry_policy
            )
        raise make_conflict_error(
            current.version, find_current_entry(rows).entry
        ) from conflict
    except Unavailable as error:
        message = f"not accepted, nothing was written: {error}"
        raise CommandError(
            "unavailable", message, exit_code=EXIT_UNAVAILABLE
        ) from error
    except Unconfirmed as error:
        raise _make_unconfirmed_error(change, error) from error
    return AcceptedChange(acceptance.entry.version, "accepted")


async def _check_accepted_version(
    table: TableClient,
    change: ConfigurationChange,
    version: int,
    clock: Any,
    retry_policy: RetryPolicy,
) -> AcceptedChange:
    key = format_history_key(version)
    rows = await read_rows_with_retry(table, [key], clock, retry_policy)
    if _has_declaration(
        parse_configuration_entry(rows.find(key).value), change.declaration
    ):
        return AcceptedChange(version, "accepted_before")
    message = (
        f"not accepted: change id {change.change_id} was used for version {version} "
        f"with a different declaration; use a new change id"
    )
    raise CommandError(
        "change_id_used", message, exit_code=EXIT_INVALID, version=version
    )


def _has_declaration(entry: ConfigurationEntry, declaration: Declaration) -> bool:
    try:
        return parse_declaration(entry.declaration) == declaration
    except DeclarationError:
        return False


def _check_size(entry: ConfigurationEntry) -> None:
    size_bytes = len(json.dumps(entry.serialize()))
    if size_bytes > MAX_ENTRY_BYTES:
        message = f"declaration: {size_bytes} bytes, expected at most {MAX_ENTRY_BYTES}"
        raise CommandError("invalid", message, exit_code=EXIT_INVALID)


def _make_transaction(
    change: ConfigurationChange, acceptance: AcceptanceTransaction
) -> Transaction:
    return Transaction(
        change.change_id,
        tuple(Condition(*item) for item in acceptance.conditions),
        tuple(Write(*item) for item in acceptance.writes),
    )


def _make_unconfirmed_error(
    change: ConfigurationChange, error: Unconfirmed
) -> CommandError:
    message = (
        f"unknown whether the change was accepted ({error}); to find out, repeat the "
        f"command with --change-id {change.change_id}"
    )
    return CommandError(
        "unconfirmed",
        message,
        exit_code=EXIT_UNCONFIRMED,
        change_id=change.change_id,
    )
