"""What processes of servers said of themselves in answers.

It holds for the process, whatever the server list says: also if the list is restored
from an older copy, or if an entry is removed and comes back.
"""

from __future__ import annotations

from collections.abc import Callable

from ebonyhaven_decisions.forwarding._backends import Backend
from ebonyhaven_decisions.forwarding._server_rests import ServerRest

TOLD_LEAVE_TTL_S = 60.0  # exceeds the time for which a leaving process goes on

ProcessKey = tuple[str, int]


class ProcessNotices:
    """Leaves and rests that processes told this instance of.

    Parameters
    ----------
    is_listed : callable
        Returns whether the process with a key is listed.
    """

    __slots__ = ("_is_listed", "_rests", "_told_leave_at")

    def __init__(self, is_listed: Callable[[ProcessKey], bool]):
        self._is_listed = is_listed
        self._told_leave_at: dict[ProcessKey, float] = {}
        self._rests: dict[ProcessKey, ServerRest] = {}  # that last

    def apply(self, backend: Backend) -> None:
        """Set what a process said that is listed anew.

        Parameters
        ----------
        backend : Backend
        """
        backend.has_told_leave = backend.key in self._told_leave_at
        backend.limiter.rest = self._rests.get(backend.key, backend.limiter.rest)

    def record_leave(self, backend: Backend, now: float) -> bool:
        """Record that a process said that it leaves.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether this was not known from an answer before.
        """
        if backend.has_told_leave:
            return False
        backend.has_told_leave = True
        self._told_leave_at = {
            key: told_at
            for key, told_at in self._told_leave_at.items()
            if now - told_at < TOLD_LEAVE_TTL_S or self._is_listed(key)
        }
        self._told_leave_at[backend.key] = now
        return True

    def record_rest(self, backend: Backend, rest_s: float, now: float) -> bool:
        """Record that a process named a time for which it wants no requests.

        Parameters
        ----------
        backend : Backend
        rest_s : float
            Seconds.
        now : float
            Time of the answer, seconds.

        Returns
        -------
        bool
            Whether the process was not resting before.
        """
        rest = backend.limiter.rest
        is_new = rest.record_named(rest_s, now)
        self._rests = {
            key: each for key, each in self._rests.items() if each.is_resting(now)
        }
        self._rests[backend.key] = rest
        return is_new
