"""What an instance does while it hears nobody."""

from __future__ import annotations

import random

from ebonyhaven_decisions._detection import CONFIRMATION_S
from ebonyhaven_decisions._members import MemberRecord, MemberState, MemberTable

MAX_PROBES = 3


class Isolation:
    """Finds out which instances answer while no heartbeat arrives.

    What an isolated instance observes may be its own fault, so it raises no
    suspicion. It probes the others in turn instead and remembers who did not
    answer; the first message from anybody ends that.

    Parameters
    ----------
    rng : random.Random
    """

    __slots__ = ("_probed", "_rng", "unheard")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._probed: dict[str, float] = {}
        self.unheard: set[str] = set()

    def end(self) -> None:
        """Forget who did not answer, as a message arrived."""
        if self.unheard or self._probed:
            self.unheard.clear()
            self._probed.clear()

    def add_unheard(self, name: str) -> None:
        """Record that an instance did not answer.

        Parameters
        ----------
        name : str
        """
        self.unheard.add(name)

    def choose_probes(
        self, table: MemberTable, own_name: str, now: float
    ) -> list[MemberRecord]:
        """Return the instances to probe next.

        Parameters
        ----------
        table : MemberTable
        own_name : str
            Name of this instance.
        now : float
            Present time in seconds.

        Returns
        -------
        list of MemberRecord
        """
        for name, probed_at in self._probed.items():
            if now - probed_at >= CONFIRMATION_S:
                self.unheard.add(name)
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
