"""Load reports of the instances."""

from __future__ import annotations

from ebonyhaven_decisions._membership_messages import LoadReport

MIN_REPORT_INTERVAL_S = 2.0
REPORT_THRESHOLD_TENTHS = 2
OVERLOAD_TENTHS = 9


def _is_overloaded(load_tenths: int) -> bool:
    return load_tenths >= OVERLOAD_TENTHS


class LoadTable:
    """Newest load report of each instance."""

    __slots__ = ("_reported_at", "_reports")

    def __init__(self) -> None:
        self._reports: dict[str, LoadReport] = {}
        self._reported_at = float("-inf")

    def get(self, name: str) -> LoadReport | None:
        """Return the newest report of an instance, or None if there is none.

        Parameters
        ----------
        name : str

        Returns
        -------
        LoadReport or None
        """
        return self._reports.get(name)

    def merge(self, report: LoadReport) -> bool:
        """Store a report if it is newer than the stored one.

        Parameters
        ----------
        report : LoadReport

        Returns
        -------
        bool
            Whether it was stored.
        """
        known = self._reports.get(report.name)
        if known is not None and report <= known:
            return False
        self._reports[report.name] = report
        return True

    def remove(self, name: str) -> None:
        """Remove the report of an instance.

        Parameters
        ----------
        name : str
        """
        self._reports.pop(name, None)

    def report_own(
        self, name: str, incarnation: int, load_tenths: int, now: float
    ) -> bool:
        """Store a new report of this instance if its load changed enough.

        A report is due if the load moved by ``REPORT_THRESHOLD_TENTHS`` or crossed
        ``OVERLOAD_TENTHS``, but at most every ``MIN_REPORT_INTERVAL_S`` seconds.

        Parameters
        ----------
        name : str
            Name of this instance.
        incarnation : int
            Incarnation of this instance.
        load_tenths : int
            Load in tenths, 0 to 10.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether a new report was stored.
        """
        known = self._reports.get(name)
        if known is not None and not self._is_due(known, load_tenths, now):
            return False
        sequence = known.sequence + 1 if known else 0
        self._reported_at = now
        return self.merge(LoadReport(incarnation, sequence, load_tenths, name))

    def _is_due(self, known: LoadReport, load_tenths: int, now: float) -> bool:
        if now - self._reported_at < MIN_REPORT_INTERVAL_S:
            return False
        if _is_overloaded(known.load_tenths) != _is_overloaded(load_tenths):
            return True
        return abs(known.load_tenths - load_tenths) >= REPORT_THRESHOLD_TENTHS
