"""Cancelling attempts that were given up, as soon as they can be reached."""

from __future__ import annotations

import random

from prometheus_client import CollectorRegistry, Counter
from twisted.internet import task
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._engines import CONNECTION_REFUSED, EngineClient
from ebonyhaven_node._servers import BackendServer
from ebonyhaven_node.exceptions import EngineLost, EngineRefusal

CANCEL_TIMEOUT_S = 0.5
SETTLE_DELAY_S = 0.05  # lets the engine see that our own stream has closed
FIRST_DELAY_S = 0.1
LONGEST_DELAY_S = 5.0
MAX_TRIES = 20
MAX_TRIES_ATTENDED = 3
MAX_ORPHANS = 2048


class OrphanCanceller:
    """Cancels attempts at engines, with retries.

    Parameters
    ----------
    engines : EngineClient
    reactor : IReactorTime
    rng : random.Random
        Source of jitter.
    registry : CollectorRegistry
    """

    def __init__(
        self,
        *,
        engines: EngineClient,
        reactor: IReactorTime,
        rng: random.Random,
        registry: CollectorRegistry,
    ):
        self._engines = engines
        self._reactor = reactor
        self._rng = rng
        self._open = 0
        self._cancelled = Counter(
            "ebonyhaven_orphans",
            "Attempts given up, by how their cancellation ended.",
            ["result"],
            registry=registry,
        )

    def add(self, server: BackendServer, run_id: str, attempt: int) -> None:
        """Cancel an attempt in the background.

        Parameters
        ----------
        server : BackendServer
        run_id : str
        attempt : int
        """
        if self._open >= MAX_ORPHANS:
            self._cancelled.labels("not_tried").inc()
            return
        self._open += 1
        ensureDeferred(self._cancel(server, run_id, attempt))

    async def _cancel(self, server: BackendServer, run_id: str, attempt: int) -> None:
        delay_s = FIRST_DELAY_S
        result = "unreachable"
        tries_attended = 0
        await task.deferLater(self._reactor, SETTLE_DELAY_S)
        for _ in range(MAX_TRIES):
            try:
                cancelled = await self._engines.cancel(
                    server, run_id, attempt=attempt, timeout_s=CANCEL_TIMEOUT_S
                )
                result = "cancelled" if cancelled else "attended"
                tries_attended += 1
                if cancelled or tries_attended == MAX_TRIES_ATTENDED:
                    break
            except EngineRefusal as refusal:
                if refusal.reason == CONNECTION_REFUSED:
                    break
            except EngineLost:
                pass
            await task.deferLater(self._reactor, delay_s * self._rng.uniform(0.5, 1))
            delay_s = min(LONGEST_DELAY_S, 2 * delay_s)
        self._open -= 1
        self._cancelled.labels(result).inc()
