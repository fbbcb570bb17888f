"""Whether an instance reaches any backend server at all.

Designed for an instance that is cut off from all servers while callers, the store and
other instances reach it. Each of its connections fails as if that server were lost.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from ebonyhaven_decisions.forwarding._backends import Backend, BackendState

# Failures at fewer servers are usual; data from any other server then proves contact.
SUSPICIOUS_FAILURES = 3
CHECKED_SERVERS = 4  # probed at once, in different data centres and services
CHECK_INTERVAL_S = 0.2  # in which failures after a proof of contact prove nothing


class ServerContact:
    """Evidence of whether any backend server can be reached.

    Attributes
    ----------
    is_lost : bool
        Whether all servers that were probed together accepted no connection.
    is_confirmed_lost : bool
        Whether those that were probed next accepted none either. Servers that accept
        later than a check waits look like those that never do: what cannot be taken
        back, as the end of a response, waits for this.
    """

    __slots__ = (
        "_check_began_at",
        "_connected_at",
        "_failed",
        "_failed_at",
        "_received_at",
        "is_confirmed_lost",
        "is_lost",
    )

    def __init__(self) -> None:
        self.is_lost = False
        self.is_confirmed_lost = False
        self._failed: set[str] = set()  # addresses, since the last connection
        self._failed_at = -math.inf
        self._connected_at = -math.inf
        self._check_began_at = -math.inf
        self._received_at: dict[str, float] = {}

    @property
    def is_in_doubt(self) -> bool:
        """Whether connections have failed since the last one was established."""
        return bool(self._failed)

    @property
    def has_many_failures(self) -> bool:
        """Whether more servers than usual have failed since the last connection."""
        return len(self._failed) >= SUSPICIOUS_FAILURES

    def record_connected(self, now: float) -> None:
        """Record that a server accepted a connection.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._connected_at = now
        self._failed.clear()
        self._received_at.clear()
        self.is_lost = self.is_confirmed_lost = False

    def record_received(self, address: str, now: float) -> None:
        """Record data of a server on a connection that it accepted before.

        Parameters
        ----------
        address : str
        now : float
            Seconds.
        """
        if self._failed:
            self._received_at[address] = now

    def record_failed(self, address: str, now: float) -> None:
        """Record that a server accepted no connection.

        Parameters
        ----------
        address : str
        now : float
            Seconds.
        """
        if not self._failed:
            self._failed_at = now
        self._failed.add(address)

    def is_check_due(self, now: float) -> bool:
        """Return whether servers should be probed to tell whether all are lost.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.is_lost or not self._failed:
            return False
        if now - self._connected_at < CHECK_INTERVAL_S:
            return False
        return self.has_many_failures or not self._has_received()

    def begin_check(self, now: float) -> None:
        """Record that servers are probed, see `is_check_due`.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._check_began_at = now

    def end_check(self, now: float) -> bool:
        """Decide whether contact is lost, after all probes of a check have ended.

        It is not if a server has accepted a connection since the check began, however
        long the last of the others took to fail.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether contact was found to be lost.
        """
        if self._connected_at >= self._check_began_at or not self.is_check_due(now):
            return False
        self.is_lost = True
        return True

    def record_retry_failed(self) -> None:
        """Record that servers that were probed while contact is lost accept nothing."""
        self.is_confirmed_lost = self.is_lost

    def _has_received(self) -> bool:
        """Return whether servers that did not fail have sent data since."""
        return any(
            address not in self._failed and at >= self._failed_at
            for address, at in self._received_at.items()
        )


def choose_checked_servers(
    backends: Iterable[Backend], *, excluded: str | None, rng: random.Random
) -> list[Backend]:
    """Return servers to probe, of as many data centres and services as possible.

    Parameters
    ----------
    backends : iterable of Backend
    excluded : str or None
        Address that accepted no connection.
    rng : random.Random

    Returns
    -------
    list of Backend
        The server at the excluded address is returned if there is no other.
    """
    ready = [each for each in backends if each.entry.state is BackendState.READY]
    others = [each for each in ready if each.entry.address != excluded] or ready
    rng.shuffle(others)
    chosen: list[Backend] = []
    while others and len(chosen) < CHECKED_SERVERS:
        others.sort(key=lambda each: _count_alike(each, chosen))  # keeps random order
        chosen.append(others.pop(0))
    return chosen


def _count_alike(backend: Backend, chosen: Iterable[Backend]) -> int:
    """Return how many servers share its data centre or its service."""
    entry = backend.entry
    return sum(
        (each.entry.data_centre == entry.data_centre)
        + (each.entry.service == entry.service)
        for each in chosen
    )
