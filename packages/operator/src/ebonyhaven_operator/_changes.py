"""Acceptance of a declaration."""

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
    """A change as an operator wants it.

    Parameters
    ----------
    declaration : Declaration
        Checked declaration.
    change_id : str
        Name of the change; applying it again is safe.
    author : str
        Who makes it.
    base_version : int or None
        Version that the change was made against; None for the current one.
    """

    declaration: Declaration
    change_id: str
    author: str
    base_version: int | None


class AcceptedChange(NamedTuple):
    """A change that is the configuration of a version.

    Parameters
    ----------
    version : int
        Version that holds the change.
    outcome : str
        ``"accepted"``; ``"accepted_before"`` if an earlier run of the same
        change was; ``"unchanged"`` if the declaration was current already.
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
    """Accept a change or tell truthfully why not.

    Parameters
    ----------
    table : TableClient
        The platform's table.
    change : ConfigurationChange
        What to accept.
    clock : IReactorTime
        Source of time and delayed calls.
    retry_policy : RetryPolicy
        How long to try.

    Returns
    -------
    AcceptedChange

    Raises
    ------
    CommandError
        For a conflict, an outage, or a write that could not be settled.
    """
    change_key = format_change_key(change.change_id)
    rows = await read_rows_with_retry(
        table, [CURRENT_CONFIGURATION_KEY, change_key], clock, retry_policy
    )
    current = find_current_entry(rows)
    earlier = rows.find(change_key)
    if earlier.value is not None:
        version = earlier.value["version"]
        return await _confirm_earlier(table, change, version, clock, retry_policy)
    base_version = change.base_version
    if base_version is not None and base_version != current.version:
        raise make_conflict_error(base_version, current.entry)
    if current.entry is not None and _holds(current.entry, change.declaration):
        return AcceptedChange(current.version, "unchanged")
    return await _accept(table, change, current, clock, retry_policy)


async def _accept(
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
        earlier = rows.find(change_key).value
        if earlier is not None:
            version = earlier["version"]
            return await _confirm_earlier(table, change, version, clock, retry_policy)
        raise make_conflict_error(
            current.version, find_current_entry(rows).entry
        ) from conflict
    except Unavailable as error:
        message = f"not accepted, nothing was written: {error}"
        raise CommandError(
            "unavailable", message, exit_code=EXIT_UNAVAILABLE
        ) from error
    except Unconfirmed as error:
        raise _report_doubt(change, error) from error
    return AcceptedChange(acceptance.entry.version, "accepted")


async def _confirm_earlier(
    table: TableClient,
    change: ConfigurationChange,
    version: int,
    clock: Any,
    retry_policy: RetryPolicy,
) -> AcceptedChange:
    key = format_history_key(version)
    rows = await read_rows_with_retry(table, [key], clock, retry_policy)
    if _holds(parse_configuration_entry(rows.find(key).value), change.declaration):
        return AcceptedChange(version, "accepted_before")
    message = (
        f"not accepted: change {change.change_id} was accepted as version {version} "
        f"with another declaration; use a new change id"
    )
    raise CommandError(
        "change_id_used", message, exit_code=EXIT_INVALID, version=version
    )


def _holds(entry: ConfigurationEntry, declaration: Declaration) -> bool:
    try:
        return parse_declaration(entry.declaration) == declaration
    except DeclarationError:
        return False


def _check_size(entry: ConfigurationEntry) -> None:
    size = len(json.dumps(entry.serialize()))
    if size > MAX_ENTRY_BYTES:
        message = f"declaration: {size} bytes, expected at most {MAX_ENTRY_BYTES}"
        raise CommandError("invalid", message, exit_code=EXIT_INVALID)


def _make_transaction(
    change: ConfigurationChange, acceptance: AcceptanceTransaction
) -> Transaction:
    return Transaction(
        change.change_id,
        tuple(Condition(*item) for item in acceptance.conditions),
        tuple(Write(*item) for item in acceptance.writes),
    )


def _report_doubt(change: ConfigurationChange, error: Unconfirmed) -> CommandError:
    message = (
        f"unknown whether the change was accepted ({error}); run the command again "
        f"with --change-id {change.change_id} to settle it"
    )
    return CommandError(
        "unconfirmed",
        message,
        exit_code=EXIT_UNCONFIRMED,
        change_id=change.change_id,
    )
