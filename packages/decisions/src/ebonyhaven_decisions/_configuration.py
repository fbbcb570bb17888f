"""Selection of the configuration version that an instance activates.

An instance with an active configuration only replaces it by a higher version. A
starting instance activates the version in the table. If the table is unavailable,
it collects reports from a quorum, more than half of the listed instances. It then
activates the highest version that it knows, once a peer has sent the content of
this version. Any two majorities intersect: if a version was active on more than
half of the instances, at least one of them reports this version or a higher one.

A starting instance has no active version to report, so versions that it only knows
from peers do not count towards the quorum of another instance. It counts only
responses to requests that it sent in its current incarnation: a message sent before
it started may carry a version that is older than the one the majority has activated
since.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._configuration_entries import ConfigurationEntry


@attrs.frozen(slots=True, kw_only=True)
class ConfigurationView:
    """Active configuration of an instance and the versions known from its peers.

    Parameters
    ----------
    incarnation : int
        Incarnation of this instance.
    entry : ConfigurationEntry or None
        Active configuration; None while the instance is starting.
    highest_version : int
        Highest version known from the table or any peer.
    reports : dict of str to int
        While starting: active version by name of the peer that reported it.
    candidate : ConfigurationEntry or None
        While starting: entry with the highest version received from a peer.
    """

    incarnation: int
    entry: ConfigurationEntry | None = None
    highest_version: int = 0
    reports: Mapping[str, int] = attrs.field(factory=dict)
    candidate: ConfigurationEntry | None = None

    @property
    def version(self) -> int:
        """Active version; 0 while starting."""
        return self.entry.version if self.entry else 0

    @property
    def version_to_fetch(self) -> int:
        """Version whose content is requested from peers; 0 if no newer one is known."""
        candidate_version = self.candidate.version if self.candidate else 0
        newest = max(self.version, candidate_version)
        return self.highest_version if self.highest_version > newest else 0


class PeerReport(NamedTuple):
    """Report of a peer about its configuration versions.

    Parameters
    ----------
    peer : str
        Name of the reporting instance.
    version : int
        Active version of the peer; 0 while it is starting.
    highest_version : int
        Highest version that the peer knows.
    entry : ConfigurationEntry or None
        Content of ``version``, if the report includes it.
    request_incarnation : int
        Incarnation in the request that this report answers; 0 if unsolicited.
    """

    peer: str
    version: int
    highest_version: int
    entry: ConfigurationEntry | None
    request_incarnation: int = 0


def apply_table_entry(
    view: ConfigurationView, entry: ConfigurationEntry
) -> ConfigurationView:
    """Return the view after the current entry was read from the table.

    A stale read activates nothing. With an active configuration, a read is stale
    unless its version is higher than the active one. On a starting instance, it is
    stale if its version is lower than the highest known one; a later read returns
    the newer version.
    """
    highest = max(view.highest_version, entry.version)
    updated = attrs.evolve(view, highest_version=highest)
    lowest_accepted = max(view.version + 1, 0 if view.entry else view.highest_version)
    if entry.version < lowest_accepted:
        return updated
    return _activate_entry(updated, entry)


def apply_peer_report(
    view: ConfigurationView, report: PeerReport, *, listed_instances: int
) -> ConfigurationView:
    """Return the view after a report of a peer was received.

    Parameters
    ----------
    view : ConfigurationView
        The previous view.
    report : PeerReport
        The received report.
    listed_instances : int
        Number of instances listed by the platform or in the settings, including
        this one; 0 if the list is incomplete. A starting instance then activates no
        version from its peers.
    """
    highest = max(view.highest_version, report.version, report.highest_version)
    updated = attrs.evolve(view, highest_version=highest)
    if view.entry is not None:
        if report.entry is None or report.entry.version <= view.entry.version:
            return updated
        return _activate_entry(updated, report.entry)
    return _collect_report(updated, report, listed_instances)


def compute_quorum_size(listed_instances: int) -> int:
    """Return the number of peer reports required if the table is unavailable."""
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
    if report.request_incarnation == view.incarnation:
        reports[report.peer] = report.version
    updated = attrs.evolve(view, reports=reports, candidate=candidate)
    if not listed_instances or len(reports) < compute_quorum_size(listed_instances):
        return updated
    if candidate is None or candidate.version < updated.highest_version:
        return updated
    return _activate_entry(updated, candidate)


def _activate_entry(
    view: ConfigurationView, entry: ConfigurationEntry
) -> ConfigurationView:
    return attrs.evolve(view, entry=entry, reports={}, candidate=None)
