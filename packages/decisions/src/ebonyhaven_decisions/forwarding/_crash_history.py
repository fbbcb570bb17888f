"""Losses of servers, and the contents of the requests that they were running.

A content that crashes servers comes again, at any instance, and each time it ends the
other requests of its server as well. One loss says little, since all requests of the
server are lost with it; the content that crashes servers is lost each time.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import attrs

MAX_CRASHES_PER_CONTENT = 3
EVIDENCE_TTL_S = 600.0
MAX_LOSSES = 1024  # a few hundred bytes each
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
    contents: dict[str, None]


class CrashHistory:
    """Losses of servers known to this instance; the oldest one is evicted first.

    Parameters
    ----------
    max_crashes : int
        Number of servers that may be lost under a content before it is blocked.
    """

    __slots__ = ("_losses", "_max_crashes", "_processes_by_content")

    def __init__(self, max_crashes: int = MAX_CRASHES_PER_CONTENT):
        self._max_crashes = max_crashes
        self._losses: dict[str, _Loss] = {}
        self._processes_by_content: dict[str, dict[str, None]] = {}

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
        lost_at = now - report.age_s
        loss = self._losses.get(report.process)
        if loss is None:
            loss = self._losses[report.process] = _Loss(report.data_centre, lost_at, {})
        added = [each for each in report.contents if each not in loss.contents]
        for content in added:
            loss.contents[content] = None
            processes = self._processes_by_content.setdefault(content, {})
            processes[report.process] = None
        return added

    def count_crashes(self, content: str, now: float) -> int:
        """Return the number of servers that were lost under a content.

        Parameters
        ----------
        content : str
        now : float
            Seconds.

        Returns
        -------
        int
        """
        processes = self._processes_by_content.get(content, ())
        return sum(
            now - self._losses[process].lost_at < EVIDENCE_TTL_S
            for process in processes
        )

    def is_blocked(
        self, content: str, now: float, *, expected_crashes: int = 0
    ) -> bool:
        """Return whether a content may not be sent to servers any more.

        Parameters
        ----------
        content : str
        now : float
            Seconds.
        expected_crashes : int
            Losses that are not known to be crashes yet, and are taken for such.
        """
        crashes = self.count_crashes(content, now) + expected_crashes
        return crashes >= self._max_crashes

    def export(
        self, now: float, contents: Iterable[str] | None = None
    ) -> list[LossReport]:
        """Return what other instances should know.

        Parameters
        ----------
        now : float
            Seconds.
        contents : iterable of str or None
            Restricts the reports to these contents.

        Returns
        -------
        list of LossReport
        """
        wanted = None if contents is None else set(contents)
        reports = []
        for process, loss in self._losses.items():
            chosen = tuple(
                each for each in loss.contents if wanted is None or each in wanted
            )
            age_s = now - loss.lost_at
            if chosen and age_s < EVIDENCE_TTL_S:
                reports.append(LossReport(process, loss.data_centre, age_s, chosen))
        return reports

    def _evict(self, now: float) -> None:
        while self._losses:
            process, loss = next(iter(self._losses.items()))
            is_expired = now - loss.lost_at >= EVIDENCE_TTL_S
            if len(self._losses) < MAX_LOSSES and not is_expired:
                return
            self._remove(process)

    def _remove(self, process: str) -> None:
        for content in self._losses.pop(process).contents:
            processes = self._processes_by_content[content]
            del processes[process]
            if not processes:
                del self._processes_by_content[content]
