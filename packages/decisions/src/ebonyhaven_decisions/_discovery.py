"""Joining the cluster, and probing of dead or unknown listed instances."""

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
FAST_INTERVAL_S = 0.5
MAX_JOIN_REQUESTS = 3
FAST_ATTEMPTS = 20


class Discovery:
    """Contacts listed or dead instances to join the cluster and heal partitions.

    Until the first member table arrives, it is requested from a few listed
    instances. From then on, one instance at a time that is dead, or listed but
    unknown, is probed, so that the two sides of a partition reconnect.
    The first ``FAST_ATTEMPTS`` attempts after a start or a change of the list are
    made every ``FAST_INTERVAL_S`` seconds, later ones every ``CONTACT_INTERVAL_S``.

    Parameters
    ----------
    name : str
        Name of this instance.
    rng : random.Random

    Attributes
    ----------
    joined : bool
        Whether a member table arrived; set by `Membership`.
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
        """Set the instances listed by the platform or in the settings.

        Parameters
        ----------
        addresses : mapping of str to str
            Control addresses by name.
        """
        listed = dict(addresses)
        listed.pop(self._name, None)
        if listed != self._listed:
            self._attempts = 0
        self._listed = listed

    @property
    def has_joined(self) -> bool:
        """Whether this instance knows the others, or none are listed."""
        return self.joined or not self._listed

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

    def build_messages(
        self, table: MemberTable, now: float, *, request: TableRequest, probe: Probe
    ) -> list[Envelope]:
        """Return the messages that are due to listed or dead instances.

        Parameters
        ----------
        table : MemberTable
        now : float
            Current time in seconds.
        request : TableRequest
            Message sent until this instance has joined.
        probe : Probe
            Message sent afterwards.

        Returns
        -------
        list of Envelope
        """
        if now < self._next_at:
            return []
        fast = self._attempts < FAST_ATTEMPTS
        interval_s = FAST_INTERVAL_S if fast else CONTACT_INTERVAL_S
        self._next_at = now + interval_s * self._rng.uniform(0.8, 1.2)
        self._attempts += 1
        if not self.joined:
            return self._sample(self._listed.items(), MAX_JOIN_REQUESTS, request)
        return self._sample(self._list_absent(table), 1, probe)

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

    def _sample(
        self,
        candidates: Iterable[tuple[str, str]],
        count: int,
        message: MembershipMessage,
    ) -> list[Envelope]:
        known = list(candidates)
        chosen = self._rng.sample(known, min(count, len(known)))
        return [
            Envelope(name, address, message, new_connection=True)
            for name, address in chosen
        ]
