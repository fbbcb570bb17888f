"""Instances outside the live view that are worth contacting."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from ebonyhaven_decisions._members import MemberState, MemberTable
from ebonyhaven_decisions._membership_messages import (
    Envelope,
    MembershipMessage,
    Probe,
    TableRequest,
)

CONTACT_INTERVAL_S = 5.0
JOIN_INTERVAL_S = 0.5
MAX_JOIN_REQUESTS = 3
JOIN_ATTEMPTS = 20


class Contacts:
    """Decides when to contact listed or dead instances.

    Until the first member table arrives some listed instances are asked for
    it; afterwards one instance that is listed but unknown, or known as dead, is
    probed now and then, which heals partitions; more often for a while after the
    list changed.

    Parameters
    ----------
    name : str
        Name of this instance.
    rng : random.Random
    """

    __slots__ = ("_attempts", "_listed", "_name", "_next_at", "_rng", "joined")

    def __init__(self, *, name: str, rng: random.Random):
        self._name = name
        self._rng = rng
        self._listed: dict[str, str] = {}
        self._attempts = 0
        self._next_at = 0.0
        self.joined = False

    def set_listed(self, addresses: Mapping[str, str]) -> None:
        """Set the listed instances.

        Parameters
        ----------
        addresses : mapping of str to str
            Control address of each instance by name.
        """
        listed = dict(addresses)
        listed.pop(self._name, None)
        if listed != self._listed:
            self._attempts = 0
        self._listed = listed

    def is_listed(self, name: str) -> bool:
        """Return whether an instance is on the list.

        Parameters
        ----------
        name : str

        Returns
        -------
        bool
        """
        return name in self._listed

    def choose(
        self, table: MemberTable, now: float, *, request: TableRequest, probe: Probe
    ) -> list[Envelope]:
        """Return the messages that are due to instances outside the view.

        Parameters
        ----------
        table : MemberTable
        now : float
            Present time in seconds.
        request, probe : TableRequest, Probe
            Messages to send.

        Returns
        -------
        list of Envelope
        """
        if now < self._next_at:
            return []
        hurried = self._attempts < JOIN_ATTEMPTS
        interval_s = JOIN_INTERVAL_S if hurried else CONTACT_INTERVAL_S
        self._next_at = now + interval_s * self._rng.uniform(0.8, 1.2)
        self._attempts += 1
        if not self.joined:
            return self._pick(self._listed.items(), MAX_JOIN_REQUESTS, request)
        return self._pick(self._list_absent(table), 1, probe)

    def _list_absent(self, table: MemberTable) -> list[tuple[str, str]]:
        absent = {
            record.name: record.control_address
            for record in table
            if record.state == MemberState.DEAD
        }
        for name, address in self._listed.items():
            known = table.get(name)
            if known is None or known.state == MemberState.DEAD:
                absent[name] = address
        absent.pop(self._name, None)
        return list(absent.items())

    def _pick(
        self,
        candidates: Iterable[tuple[str, str]],
        count: int,
        message: MembershipMessage,
    ) -> list[Envelope]:
        known = list(candidates)
        chosen = self._rng.sample(known, min(count, len(known)))
        return [
            Envelope(name, address, message, fresh=True) for name, address in chosen
        ]
