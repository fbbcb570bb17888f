"""Cancels abandoned attempts at engines, with retries."""

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
# Lets the engine detect that the stream of the attempt has been closed.
STREAM_CLOSE_DELAY_S = 0.05
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0
MAX_TRIES = 20
MAX_TRIES_WHILE_ATTACHED = 3  # a connection stays attached to the run
MAX_PENDING_CANCELLATIONS = 2048


class OrphanCanceller:
    """Cancels abandoned attempts, with retries while their engines are unreachable.

    An attempt is given up after `MAX_TRIES` tries, or when the engine refuses the
    connection. An attempt is not cancelled while a connection is attached to its run.

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
        self._pending_count = 0
        self._cancelled = Counter(
            "ebonyhaven_orphans",
            "Attempts given up, by how their cancellation ended.",
            ["result"],
            registry=registry,
        )

    def cancel(self, server: BackendServer, run_id: str, attempt: int) -> None:
        """Cancel an attempt in the background.

        Parameters
        ----------
        server : BackendServer
        run_id : str
        attempt : int
            Number of the attempt.
        """
        if self._pending_count >= MAX_PENDING_CANCELLATIONS:
            self._cancelled.labels("not_tried").inc()
            return
        self._pending_count += 1
        ensureDeferred(self._cancel_with_retries(server, run_id, attempt))

    async def _cancel_with_retries(
        self, server: BackendServer, run_id: str, attempt: int
    ) -> None:
        delay_s = INITIAL_RETRY_DELAY_S
        result = "unreachable"
        tries_while_attached = 0
        await task.deferLater(self._reactor, STREAM_CLOSE_DELAY_S)
        for _ in range(MAX_TRIES):
            try:
                cancelled = await self._engines.cancel(
                    server, run_id, attempt=attempt, timeout_s=CANCEL_TIMEOUT_S
                )
                result = "cancelled" if cancelled else "attended"
                tries_while_attached += 1
                if cancelled or tries_while_attached == MAX_TRIES_WHILE_ATTACHED:
                    break
            except EngineRefusal as refusal:
                if refusal.reason == CONNECTION_REFUSED:
                    break
            except EngineLost:
                pass
            await task.deferLater(self._reactor, delay_s * self._rng.uniform(0.5, 1))
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
        self._pending_count -= 1
        self._cancelled.labels(result).inc()
