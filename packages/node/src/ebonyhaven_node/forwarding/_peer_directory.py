"""Instances that take requests from those that reach no server."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from ebonyhaven_decisions import MemberRecord

MAX_RELAYED_PER_PEER = 32  # at one time, by one instance


class PeerDirectory:
    """Instances that take requests from those that reach no server.

    Parameters
    ----------
    list_peers : callable
        Returns the records of the other instances that reach servers.
    """

    __slots__ = ("_counts", "_list_peers")

    def __init__(self, list_peers: Callable[[], Sequence[MemberRecord]]):
        self._list_peers = list_peers
        self._counts: Counter[str] = Counter()  # requests in flight

    @property
    def is_empty(self) -> bool:
        """Whether no other instance is known to reach servers."""
        return not self._list_peers()

    def choose(self, excluded: Sequence[str]) -> MemberRecord | None:
        """Return the instance that has the fewest requests of this one.

        Parameters
        ----------
        excluded : sequence of str
            Names of instances that were tried.

        Returns
        -------
        MemberRecord or None
            None if all are excluded or have `MAX_RELAYED_PER_PEER` requests.
        """
        candidates = [
            each
            for each in self._list_peers()
            if each.name not in excluded
            and self._counts[each.name] < MAX_RELAYED_PER_PEER
        ]
        return min(candidates, key=lambda each: self._counts[each.name], default=None)

    def record_sent(self, name: str) -> None:
        """Count a request that is sent to an instance."""
        self._counts[name] += 1

    def record_done(self, name: str) -> None:
        """Count the end of a request that was sent to an instance."""
        self._counts[name] -= 1
        self._counts = +self._counts
