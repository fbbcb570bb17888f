"""Losses of servers, and the contents of the requests that they were running.

A content that crashes servers comes again, at any instance, and each time it ends the
other requests of its server as well. One loss says little, since all requests of the
server are lost with it; the content that crashes servers is lost each time.

A data centre that fails loses many servers at about the same moment, whatever they run.
A loss is therefore not counted against a content if another server of the data centre,
which did not run that content, was lost with it.

A content that crashes servers does so each time. Losses before a server ran it to an
end, or far into its stream, are therefore not counted against it.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable
from typing import Any, NamedTuple

import attrs

MAX_CRASHES_PER_CONTENT = 3
EVIDENCE_TTL_S = 600.0
COMMON_CAUSE_WINDOW_S = 0.5  # losses in one data centre within it may have one cause
SETTLE_S = 0.15  # instances find and report losses within tens of milliseconds
MAX_LOSSES = 1024  # a few hundred bytes each
MAX_SURVIVALS = 1024
MAX_EXPORTED_CRASHES = 512  # keeps a row below the limit of the store
MAX_COMPANIONS = 32  # losses at about the same moment that are kept with a loss
MS_PER_S = 1000.0


class LossReport(NamedTuple):
    """The loss of a server under some contents, as told to other instances.

    Parameters
    ----------
    process : str
        Identifies the process of the server.
    data_centre : str
    age_s : float
        Time since the loss, seconds. Ages need no clocks that agree.
    contents : tuple of str
        Digests of the contents that the server was running.
    """

    process: str
    data_centre: str
    age_s: float
    contents: tuple[str, ...]


def encode_loss_report(report: LossReport) -> list[Any]:
    """Return the JSON value of a report.

    Parameters
    ----------
    report : LossReport
    """
    age_ms = round(report.age_s * MS_PER_S)
    return [report.process, report.data_centre, age_ms, list(report.contents)]


def decode_loss_report(values: Any) -> LossReport:
    """Return a report from its JSON value.

    Parameters
    ----------
    values : object
        Result of `encode_loss_report`.

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    process, data_centre, age_ms, contents = values
    if not all(isinstance(each, str) for each in (process, data_centre, *contents)):
        raise ValueError("process, data centre and contents must be strings")
    age_s = max(0, int(age_ms)) / MS_PER_S
    return LossReport(process, data_centre, age_s, tuple(contents))


@attrs.define(slots=True, eq=False)
class _Loss:
    data_centre: str
    lost_at: float
    contents: dict[str, None] = attrs.Factory(dict)
    companions: list[_Loss] = attrs.Factory(list)

    def may_share_cause(self, other: _Loss) -> bool:
        """Return whether one failure of the data centre may have caused both losses."""
        is_same_place = self.data_centre == other.data_centre
        return is_same_place and abs(self.lost_at - other.lost_at) <= (
            COMMON_CAUSE_WINDOW_S
        )

    def counts_against(self, content: str) -> bool:
        """Return whether the content may have caused the loss."""
        return all(content in each.contents for each in self.companions)


class CrashHistory:
    """Losses of servers known to this instance; the oldest one is evicted first.

    Parameters
    ----------
    max_crashes : int
        Number of servers that may be lost under a content before it is blocked.
    """

    __slots__ = (
        "_idle_losses",
        "_losses",
        "_max_crashes",
        "_processes_by_content",
        "_survived_at",
    )

    def __init__(self, max_crashes: int = MAX_CRASHES_PER_CONTENT):
        self._max_crashes = max_crashes
        self._losses: dict[str, _Loss] = {}
        self._idle_losses: dict[str, _Loss] = {}  # under no content that is known
        self._processes_by_content: dict[str, dict[str, None]] = {}
        self._survived_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._losses)

    def add(self, report: LossReport, now: float) -> list[str]:
        """Add the loss of a server, or further contents to a known one.

        Parameters
        ----------
        report : LossReport
        now : float
            Seconds.

        Returns
        -------
        list of str
            The contents that were not known to have been lost with the server.
        """
        self._evict(now)
        loss = self._find(report.process) or self._create(report, now)
        added = [each for each in report.contents if each not in loss.contents]
        if added:
            self._idle_losses.pop(report.process, None)
            self._losses[report.process] = loss
        for content in added:
            loss.contents[content] = None
            processes = self._processes_by_content.setdefault(content, {})
            processes[report.process] = None
        return added

    def add_survival(self, content: str, now: float, *, age_s: float = 0.0) -> bool:
        """Record that a server ran a content without a crash.

        Parameters
        ----------
        content : str
        now : float
            Seconds.
        age_s : float
            Time since then, seconds.

        Returns
        -------
        bool
            Whether losses that counted against the content no longer do.
        """
        before = self.count_crashes(content, now)
        survived_at = max(now - age_s, self._survived_at.pop(content, -math.inf))
        self._survived_at[content] = survived_at
        if len(self._survived_at) > MAX_SURVIVALS:
            self._survived_at.pop(next(iter(self._survived_at)))
        return self.count_crashes(content, now) < before

    def find_survival_age_s(self, content: str, now: float) -> float | None:
        """Return the time since a server ran a content without a crash, if known.

        Parameters
        ----------
        content : str
        now : float
            Seconds.
        """
        survived_at = self._survived_at.get(content)
        return None if survived_at is None else now - survived_at

    def is_known(self, process: str) -> bool:
        """Return whether the loss of a server is known.

        Parameters
        ----------
        process : str
        """
        return self._find(process) is not None

    def count_crashes(
        self, content: str, now: float, *, include_recent: bool = True
    ) -> int:
        """Return the number of servers whose loss counts against a content.

        Parameters
        ----------
        content : str
        now : float
            Seconds.
        include_recent : bool
            Whether to include losses of the last `SETTLE_S`, which may turn out to be
            those of a data centre.

        Returns
        -------
        int
        """
        latest = now if include_recent else now - SETTLE_S
        return len(self._list_crashes(content, now, latest))

    def is_blocked(self, content: str, now: float) -> bool:
        """Return whether a content may not be sent to servers any more.

        Parameters
        ----------
        content : str
        now : float
            Seconds.
        """
        crashes = self.count_crashes(content, now, include_recent=False)
        return crashes >= self._max_crashes

    def may_be_blocked_soon(
        self, content: str, now: float, *, unconfirmed_losses: int
    ) -> bool:
        """Return whether recent losses block a content if they count against it.

        Parameters
        ----------
        content : str
        now : float
            Seconds.
        unconfirmed_losses : int
            Servers that may have been lost as well.
        """
        crashes = self.count_crashes(content, now) + unconfirmed_losses
        return crashes >= self._max_crashes

    def export(
        self, now: float, processes: Iterable[str] | None = None
    ) -> list[LossReport]:
        """Return what other instances should know.

        Parameters
        ----------
        now : float
            Seconds.
        processes : iterable of str or None
            Restricts the reports to the losses of these.

        Returns
        -------
        list of LossReport
        """
        if processes is None:
            processes = itertools.chain(self._losses, self._idle_losses)
        reports = []
        for process in processes:
            loss = self._find(process)
            if loss is None or now - loss.lost_at >= EVIDENCE_TTL_S:
                continue
            report = LossReport(
                process, loss.data_centre, now - loss.lost_at, tuple(loss.contents)
            )
            reports.append(report)
        return reports

    def export_repeated(self, now: float, min_crashes: int) -> list[LossReport]:
        """Return the losses that count against contents that several do.

        Parameters
        ----------
        now : float
            Seconds.
        min_crashes : int
            Number of losses that a content must have.

        Returns
        -------
        list of LossReport
            With these contents only; at most `MAX_EXPORTED_CRASHES` of them.
        """
        contents_by_process: dict[str, list[str]] = {}
        exported = 0
        for content in reversed(self._processes_by_content):
            crashes = self._list_crashes(content, now, now)
            if len(crashes) < min_crashes:
                continue
            exported += len(crashes)
            if exported > MAX_EXPORTED_CRASHES:
                break
            for process in crashes:
                contents_by_process.setdefault(process, []).append(content)
        reports = []
        for process, contents in contents_by_process.items():
            loss = self._losses[process]
            age_s = now - loss.lost_at
            report = LossReport(process, loss.data_centre, age_s, tuple(contents))
            reports.append(report)
        return reports

    def _list_crashes(self, content: str, now: float, latest: float) -> list[str]:
        """Return the processes whose loss until `latest` counts against a content."""
        earliest = max(now - EVIDENCE_TTL_S, self._survived_at.get(content, -math.inf))
        processes = self._processes_by_content.get(content, ())
        return [
            process
            for process in processes
            if earliest < self._losses[process].lost_at <= latest
            and self._losses[process].counts_against(content)
        ]

    def _find(self, process: str) -> _Loss | None:
        return self._losses.get(process) or self._idle_losses.get(process)

    def _create(self, report: LossReport, now: float) -> _Loss:
        loss = _Loss(report.data_centre, now - report.age_s)
        known = itertools.chain(self._losses.values(), self._idle_losses.values())
        companions = filter(loss.may_share_cause, known)
        for other in itertools.islice(companions, MAX_COMPANIONS):
            loss.companions.append(other)
            other.companions.append(loss)
        self._idle_losses[report.process] = loss
        return loss

    def _evict(self, now: float) -> None:
        for losses in (self._losses, self._idle_losses):
            while losses:
                process, loss = next(iter(losses.items()))
                is_expired = now - loss.lost_at >= EVIDENCE_TTL_S
                if len(losses) < MAX_LOSSES and not is_expired:
                    break
                self._remove(process)

    def _remove(self, process: str) -> None:
        if self._idle_losses.pop(process, None) is not None:
            return
        for content in self._losses.pop(process).contents:
            processes = self._processes_by_content[content]
            del processes[process]
            if not processes:
                del self._processes_by_content[content]
