"""Acceptance of configurations and which version an instance runs.

A version is accepted by one conditional transaction on the platform's table, so
versions only grow. An instance that runs a configuration only replaces it by a
higher version. An instance that has just started runs what the table says. If
the table is out, it needs reports from more than half of the listed instances
and takes the highest version among them: a version that was in force on more
than half of the instances is in any such set of reports. A starting instance
reports nothing itself, so it cannot vouch for a version that it only heard of,
and it counts only answers to questions of its own incarnation, since a message
from before its start may be older than what it must not fall behind.
"""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import attrs

CURRENT_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
CHANGE_PREFIX = "configuration/changes/"
MAX_ENTRY_BYTES = 60 * 1024
DEFLATE_LEVEL = 9


@attrs.frozen(slots=True, kw_only=True)
class ConfigurationEntry:
    """One accepted configuration.

    Parameters
    ----------
    version : int
        1 for the first, one more for each accepted change.
    change_id : str
        Chosen by the operator's tool; makes repeating a write safe.
    author : str
        Who made the change.
    accepted_at : float
        Seconds since the epoch by the clock of the operator's tool.
    declaration : dict
        The declaration as JSON values.
    """

    version: int
    change_id: str
    author: str
    accepted_at: float
    declaration: Mapping[str, Any]

    def serialize(self) -> dict[str, Any]:
        """Return the entry as the JSON value of a row.

        A declaration that is too long for a row is deflated.
        """
        text = json.dumps(self.declaration, separators=(",", ":"))
        entry: dict[str, Any] = {
            "version": self.version,
            "change_id": self.change_id,
            "author": self.author,
            "accepted_at": self.accepted_at,
        }
        if len(text) <= MAX_ENTRY_BYTES:
            return {**entry, "declaration": dict(self.declaration)}
        deflated = base64.b64encode(zlib.compress(text.encode(), DEFLATE_LEVEL))
        return {**entry, "declaration_deflated": deflated.decode()}


def parse_entry(value: Mapping[str, Any]) -> ConfigurationEntry:
    """Return the entry that a row or message holds.

    Raises
    ------
    ValueError
        If the value is no entry.
    """
    try:
        return ConfigurationEntry(
            version=int(value["version"]),
            change_id=str(value["change_id"]),
            author=str(value["author"]),
            accepted_at=float(value["accepted_at"]),
            declaration=_read_declaration(value),
        )
    except (KeyError, TypeError, zlib.error) as error:
        raise ValueError(f"no configuration entry: {error!r}") from error


def _read_declaration(value: Mapping[str, Any]) -> Mapping[str, Any]:
    deflated = value.get("declaration_deflated")
    if deflated is None:
        return value["declaration"]
    return json.loads(zlib.decompress(base64.b64decode(deflated)))


def name_history_key(version: int) -> str:
    """Return the key of the row that keeps a version for good."""
    return f"{HISTORY_PREFIX}{version:08d}"


def name_change_key(change_id: str) -> str:
    """Return the key of the row that says which version a change became."""
    return f"{CHANGE_PREFIX}{change_id}"


class CurrentEntry(NamedTuple):
    """The current row as read.

    Parameters
    ----------
    entry : ConfigurationEntry or None
        None before the first acceptance.
    row_version : int
        Version of the row in the table, 0 if it is absent.
    """

    entry: ConfigurationEntry | None
    row_version: int

    @property
    def version(self) -> int:
        """Version of the configuration, 0 before the first."""
        return self.entry.version if self.entry else 0


class RowCondition(NamedTuple):
    """Version that a row must have for an acceptance."""

    key: str
    version: int


class RowWrite(NamedTuple):
    """Row that an acceptance writes."""

    key: str
    value: Any


class Acceptance(NamedTuple):
    """Conditions and writes that accept a configuration.

    Parameters
    ----------
    entry : ConfigurationEntry
        What is accepted.
    conditions : tuple of RowCondition
        They hold only if nothing was accepted since the current row was read.
    writes : tuple of RowWrite
        The current row, the history row and the row of the change id.
    """

    entry: ConfigurationEntry
    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


def propose_entry(
    current: CurrentEntry,
    *,
    change_id: str,
    author: str,
    now: float,
    declaration: Mapping[str, Any],
) -> Acceptance:
    """Return the transaction that accepts a declaration on top of ``current``.

    Parameters
    ----------
    current : CurrentEntry
        The row that the change is based on.
    change_id : str
        Name of the change; a second acceptance of it fails.
    author : str
        Who makes the change.
    now : float
        Seconds since the epoch.
    declaration : dict
        Checked declaration as JSON values.
    """
    entry = ConfigurationEntry(
        version=current.version + 1,
        change_id=change_id,
        author=author,
        accepted_at=now,
        declaration=declaration,
    )
    history_key = name_history_key(entry.version)
    change_key = name_change_key(change_id)
    return Acceptance(
        entry=entry,
        conditions=(
            RowCondition(CURRENT_KEY, current.row_version),
            RowCondition(history_key, 0),
            RowCondition(change_key, 0),
        ),
        writes=(
            RowWrite(CURRENT_KEY, entry.serialize()),
            RowWrite(history_key, entry.serialize()),
            RowWrite(change_key, {"version": entry.version}),
        ),
    )


@attrs.frozen(slots=True, kw_only=True)
class ConfigurationView:
    """What an instance runs and what it has heard of.

    Parameters
    ----------
    incarnation : int
        Incarnation of this instance.
    entry : ConfigurationEntry or None
        In force on this instance; None while it is starting.
    highest_version : int
        Highest version heard of from anybody.
    reports : dict of str to int
        While starting: version in force on each peer that has told.
    candidate : ConfigurationEntry or None
        While starting: highest configuration received from a peer.
    """

    incarnation: int
    entry: ConfigurationEntry | None = None
    highest_version: int = 0
    reports: Mapping[str, int] = attrs.field(factory=dict)
    candidate: ConfigurationEntry | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 while starting."""
        return self.entry.version if self.entry else 0

    @property
    def wanted_version(self) -> int:
        """Version whose content is worth asking for, 0 if none is known."""
        held = self.candidate.version if self.candidate else 0
        newest = max(self.version, held)
        return self.highest_version if self.highest_version > newest else 0


class PeerReport(NamedTuple):
    """What a peer tells about its configuration.

    Parameters
    ----------
    peer : str
        Name of the instance that tells.
    version : int
        Version in force there, 0 while it is starting.
    highest_version : int
        Highest version it has heard of.
    entry : ConfigurationEntry or None
        Content of ``version``, if it was sent along.
    answers : int
        Incarnation of the instance whose question this answers, else 0.
    """

    peer: str
    version: int
    highest_version: int
    entry: ConfigurationEntry | None
    answers: int = 0


def observe_table(
    view: ConfigurationView, entry: ConfigurationEntry
) -> ConfigurationView:
    """Return the view after the current row was read from the table.

    A read that is older than what the instance runs or knows to be in force
    elsewhere changes nothing; the next read brings the newer version.
    """
    highest = max(view.highest_version, entry.version)
    known = attrs.evolve(view, highest_version=highest)
    lowest_new = max(view.version + 1, 0 if view.entry else view.highest_version)
    if entry.version < lowest_new:
        return known
    return _put_in_force(known, entry)


def observe_peer(
    view: ConfigurationView, report: PeerReport, *, listed_instances: int
) -> ConfigurationView:
    """Return the view after a peer told what it runs.

    Parameters
    ----------
    view : ConfigurationView
        The view before.
    report : PeerReport
        What the peer told.
    listed_instances : int
        Number of instances that are listed, this one included; 0 if the list
        is not known whole, in which case no instance starts from its peers.
    """
    highest = max(view.highest_version, report.version, report.highest_version)
    known = attrs.evolve(view, highest_version=highest)
    if view.entry is not None:
        if report.entry is None or report.entry.version <= view.entry.version:
            return known
        return _put_in_force(known, report.entry)
    return _collect_report(known, report, listed_instances)


def count_needed_reports(listed_instances: int) -> int:
    """Return how many peers must report to an instance that starts without a table."""
    return listed_instances // 2 + 1


def _collect_report(
    view: ConfigurationView, report: PeerReport, listed_instances: int
) -> ConfigurationView:
    if report.version == 0:
        return view
    candidate = view.candidate
    if report.entry is not None and (
        candidate is None or report.entry.version > candidate.version
    ):
        candidate = report.entry
    reports = dict(view.reports)
    if report.answers == view.incarnation:
        reports[report.peer] = report.version
    known = attrs.evolve(view, reports=reports, candidate=candidate)
    if not listed_instances or len(reports) < count_needed_reports(listed_instances):
        return known
    if candidate is None or candidate.version < known.highest_version:
        return known
    return _put_in_force(known, candidate)


def _put_in_force(
    view: ConfigurationView, entry: ConfigurationEntry
) -> ConfigurationView:
    return attrs.evolve(view, entry=entry, reports={}, candidate=None)
