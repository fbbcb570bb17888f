"""Load of the instances as they report it."""

from __future__ import annotations

from ebonyhaven_decisions._membership_messages import LoadReport

REPORT_INTERVAL_S = 2.0
REPORT_STEP_TENTHS = 2
OVERLOAD_TENTHS = 9


def _is_overloaded(tenths: int) -> bool:
    return tenths >= OVERLOAD_TENTHS


class LoadTable:
    """Newest load report of each instance."""

    __slots__ = ("_reported_at", "_reports")

    def __init__(self) -> None:
        self._reports: dict[str, LoadReport] = {}
        self._reported_at = float("-inf")

    def get(self, name: str) -> LoadReport | None:
        """Return the newest report of an instance, if there is one.

        Parameters
        ----------
        name : str

        Returns
        -------
        LoadReport or None
        """
        return self._reports.get(name)

    def merge(self, report: LoadReport) -> bool:
        """Take in a report.

        Parameters
        ----------
        report : LoadReport

        Returns
        -------
        bool
            Whether it is newer than the known one.
        """
        known = self._reports.get(report.name)
        if known is not None and report <= known:
            return False
        self._reports[report.name] = report
        return True

    def forget(self, name: str) -> None:
        """Drop the report of an instance.

        Parameters
        ----------
        name : str
        """
        self._reports.pop(name, None)

    def report_own(self, name: str, incarnation: int, tenths: int, now: float) -> bool:
        """Report the load of this instance if it moved enough.

        Parameters
        ----------
        name : str
        incarnation : int
        tenths : int
            Load in tenths, 0 to 10.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether a new report is in the table.
        """
        known = self._reports.get(name)
        if known is not None and not self._is_due(known, tenths, now):
            return False
        sequence = known.sequence + 1 if known else 0
        self._reported_at = now
        return self.merge(LoadReport(incarnation, sequence, tenths, name))

    def _is_due(self, known: LoadReport, tenths: int, now: float) -> bool:
        if now - self._reported_at < REPORT_INTERVAL_S:
            return False
        if _is_overloaded(known.tenths) != _is_overloaded(tenths):
            return True
        return abs(known.tenths - tenths) >= REPORT_STEP_TENTHS
