"""Rate limits of the messages that reconcile member tables."""

from __future__ import annotations

MISMATCH_TOLERANCE_S = 4.0
TABLE_REQUEST_INTERVAL_S = 15.0
NEW_PEER_REQUEST_INTERVAL_S = 1.0
NOTICE_INTERVAL_S = 1.0


class Reconciliation:
    """Decides when to request a member table or notify an outdated sender."""

    __slots__ = ("_mismatched_at", "_notified_at", "_requested_at")

    def __init__(self) -> None:
        self._mismatched_at: dict[str, float] = {}
        self._notified_at: dict[str, float] = {}
        self._requested_at = float("-inf")

    def is_request_due(
        self, sender: str, peer_digest: int, own_digest: int, now: float
    ) -> bool:
        """Return whether to request the table of a peer whose digest differs.

        A true result counts as a request for the rate limit.

        Parameters
        ----------
        sender : str
            Name of the peer.
        peer_digest, own_digest : int
            Digests of the two member tables.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True if the digests differ for longer than an update takes to spread and
            no table was requested recently.
        """
        if peer_digest == own_digest:
            self._mismatched_at.pop(sender, None)
            return False
        since = self._mismatched_at.setdefault(sender, now)
        if now - since < MISMATCH_TOLERANCE_S:
            return False
        return self._allow_request(now, TABLE_REQUEST_INTERVAL_S)

    def allow_new_peer_request(self, now: float) -> bool:
        """Return whether to request the table of a peer that was unknown or dead.

        A true result counts as a request for the rate limit.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
        """
        return self._allow_request(now, NEW_PEER_REQUEST_INTERVAL_S)

    def allow_notice(self, name: str, now: float) -> bool:
        """Return whether a peer may be sent a notice with its own record.

        A true result counts as a notice for the rate limit.

        Parameters
        ----------
        name : str
        now : float
            Current time in seconds.

        Returns
        -------
        bool
        """
        if now - self._notified_at.get(name, float("-inf")) < NOTICE_INTERVAL_S:
            return False
        self._notified_at[name] = now
        return True

    def remove(self, name: str) -> None:
        """Remove the state kept for an instance.

        Parameters
        ----------
        name : str
        """
        self._mismatched_at.pop(name, None)
        self._notified_at.pop(name, None)

    def _allow_request(self, now: float, interval_s: float) -> bool:
        if now - self._requested_at < interval_s:
            return False
        self._requested_at = now
        self._mismatched_at.clear()
        return True
