"""Which version of the configuration an instance runs.

An instance that runs a configuration only replaces it by a higher version. An
instance that has just started runs what the table says. If the table is out, it
needs reports from more than half of the listed instances and takes the highest
version among them: a version that was in force on more than half of the
instances is in any such set of reports. A starting instance reports nothing
itself, so it cannot vouch for a version that it only heard of, and it counts
only answers to questions of its own incarnation, since a message from before its
start may be older than what it must not fall behind.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._configuration_entries import ConfigurationEntry


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
