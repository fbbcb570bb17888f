"""Probes sent while no message arrives from any instance."""

from __future__ import annotations

import random

from ebonyhaven_decisions._detection import CONFIRMATION_TIMEOUT_S
from ebonyhaven_decisions._members import MemberRecord, MemberState, MemberTable

MAX_PROBES = 3


class IsolationProber:
    """Determines which instances answer probes while this instance is isolated.

    The silence that an isolated instance observes may be caused by its own network,
    so it suspects no other instance. Instead it probes each of them once and records
    which ones do not answer, until the first message arrives.

    Parameters
    ----------
    rng : random.Random

    Attributes
    ----------
    unresponsive : set of str
        Names of the instances that did not answer.
    """

    __slots__ = ("_probed", "_rng", "unresponsive")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._probed: dict[str, float] = {}
        self.unresponsive: set[str] = set()

    def reset(self) -> None:
        """Discard all results; called when a message arrives."""
        if self.unresponsive or self._probed:
            self.unresponsive.clear()
            self._probed.clear()

    def add_unresponsive(self, name: str) -> None:
        """Record that an instance did not answer.

        Parameters
        ----------
        name : str
        """
        self.unresponsive.add(name)

    def choose_probe_targets(
        self, table: MemberTable, own_name: str, now: float
    ) -> list[MemberRecord]:
        """Choose the instances to probe next.

        Parameters
        ----------
        table : MemberTable
        own_name : str
            Name of this instance.
        now : float
            Current time in seconds.

        Returns
        -------
        list of MemberRecord
        """
        for name, probed_at in self._probed.items():
            if now - probed_at >= CONFIRMATION_TIMEOUT_S:
                self.unresponsive.add(name)
        others = [
            record
            for record in table
            if record.state != MemberState.DEAD
            and record.name != own_name
            and record.name not in self._probed
        ]
        chosen = self._rng.sample(others, min(MAX_PROBES, len(others)))
        self._probed.update((record.name, now) for record in chosen)
        return chosen
