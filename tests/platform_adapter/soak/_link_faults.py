"""Faults of links, for a time drawn at random."""

from __future__ import annotations

import random

from ebonyhaven_standins.fault_proxy import FaultKind, Link
from twisted.internet import reactor
from twisted.internet.task import deferLater

DURATION_S = (0.1, 2.0)
DELAY_MS = (20.0, 600.0)
LINK_FAULTS = (
    FaultKind.DELAY,
    FaultKind.RESET,
    FaultKind.LOSE_TO_TARGET,
    FaultKind.LOSE_TO_CLIENT,
    FaultKind.PARTITION,
    FaultKind.SILENCE_OPEN,
    FaultKind.REFUSE,
)


class LinkDisturber:
    """Disturbs links in a way drawn at random.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    async def disturb(self, links: list[Link]) -> None:
        kind = self._rng.choice(LINK_FAULTS)
        delay_ms = self._rng.uniform(*DELAY_MS)
        for link in links:
            await link.set_fault(kind, delay_ms)
        await deferLater(reactor, self._rng.uniform(*DURATION_S))
        for link in links:
            await link.set_fault(FaultKind.NONE, 0.0)
