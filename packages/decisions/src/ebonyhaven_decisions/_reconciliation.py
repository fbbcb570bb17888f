"""When to fetch the member table of another instance, or to correct it."""

from __future__ import annotations

MISMATCH_S = 4.0
REQUEST_INTERVAL_S = 15.0
FIRST_REQUEST_INTERVAL_S = 1.0
NOTICE_INTERVAL_S = 1.0


class Reconciliation:
    """Rates of the messages that repair differences between member tables."""

    __slots__ = ("_mismatched_at", "_noticed_at", "_requested_at")

    def __init__(self) -> None:
        self._mismatched_at: dict[str, float] = {}
        self._noticed_at: dict[str, float] = {}
        self._requested_at = float("-inf")

    def compare(self, sender: str, theirs: int, own: int, now: float) -> bool:
        """Compare the digests of two tables.

        Parameters
        ----------
        sender : str
            Instance that sent its digest.
        theirs, own : int
            Digests.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether to fetch the sender's table: the digests differ for longer
            than news need to spread.
        """
        if theirs == own:
            self._mismatched_at.pop(sender, None)
            return False
        since = self._mismatched_at.setdefault(sender, now)
        if now - since < MISMATCH_S:
            return False
        return self._claim_request(now, REQUEST_INTERVAL_S)

    def meet(self, now: float) -> bool:
        """Return whether to fetch the table of an instance that was absent.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
        """
        return self._claim_request(now, FIRST_REQUEST_INTERVAL_S)

    def claim_notice(self, name: str, now: float) -> bool:
        """Return whether an instance may be told again how it is regarded.

        Parameters
        ----------
        name : str
        now : float
            Present time in seconds.

        Returns
        -------
        bool
        """
        if now - self._noticed_at.get(name, float("-inf")) < NOTICE_INTERVAL_S:
            return False
        self._noticed_at[name] = now
        return True

    def forget(self, name: str) -> None:
        """Drop what is kept about an instance.

        Parameters
        ----------
        name : str
        """
        self._mismatched_at.pop(name, None)
        self._noticed_at.pop(name, None)

    def _claim_request(self, now: float, interval_s: float) -> bool:
        if now - self._requested_at < interval_s:
            return False
        self._requested_at = now
        self._mismatched_at.clear()
        return True
