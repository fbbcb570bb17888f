"""Slots that requests of this instance freed recently."""

from __future__ import annotations

import itertools
from collections import deque
from typing import NamedTuple

from ebonyhaven_decisions._servers import ServerState

MAX_FREED_SERVERS = 4
MAX_FREED_SLOTS = 32
FREED_SLOT_TTL_S = 1.0


class _FreedSlot(NamedTuple):
    freed_at: float
    server: ServerState


class FreedSlots:
    """Slots freed within `FREED_SLOT_TTL_S` that no request has taken since."""

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: deque[_FreedSlot] = deque(maxlen=MAX_FREED_SLOTS)

    def record(self, server: ServerState, now: float) -> None:
        """Record that a slot of a server was freed.

        Parameters
        ----------
        server : ServerState
        now : float
            Seconds.
        """
        self._slots.append(_FreedSlot(now, server))

    def consume(self, server: ServerState) -> None:
        """Forget one freed slot of a server, because a request takes it.

        Parameters
        ----------
        server : ServerState
        """
        for slot in self._slots:
            if slot.server is server:
                self._slots.remove(slot)
                return

    def list_servers(self, now: float) -> tuple[ServerState, ...]:
        """Return the servers with freed slots, the latest first.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        tuple of ServerState
            At most `MAX_FREED_SERVERS`.
        """
        while self._slots and now - self._slots[0].freed_at > FREED_SLOT_TTL_S:
            self._slots.popleft()
        servers = dict.fromkeys(slot.server for slot in reversed(self._slots))
        return tuple(itertools.islice(servers, MAX_FREED_SERVERS))
