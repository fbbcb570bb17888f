"""Reads the load of engines that this instance has not heard of for a while."""

from __future__ import annotations

import random
import time
from typing import Any

import treq
from ebonyhaven_decisions import ServerState, ServerTable
from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import Agent

from ebonyhaven_node._servers import BackendServer, BackendServers, ReportedLoad

PERIOD_S = 0.25
JITTER = 0.3
FRESH_S = 1.0
READ_TIMEOUT_S = 1.0
SAMPLED = 8


class LoadPoller:
    """Asks one engine at a time for its load, the one longest unheard of first.

    Answers to requests carry the load as well, so a busy instance asks little.

    Parameters
    ----------
    servers : BackendServers
    table : ServerTable
        Tells when each server was last heard of.
    reactor : IReactorTime
    rng : random.Random
    """

    def __init__(
        self,
        *,
        servers: BackendServers,
        table: ServerTable,
        reactor: IReactorTime,
        rng: random.Random,
    ):
        self._servers = servers
        self._table = table
        self._reactor = reactor
        self._rng = rng
        self._client = treq.client.HTTPClient(
            Agent(reactor, connectTimeout=READ_TIMEOUT_S)
        )
        self._stopped = False
        self._waiting: Deferred | None = None

    async def run(self) -> None:
        """Ask again and again until `stop` is called."""
        while not self._stopped:
            server = self._choose()
            if server is not None:
                await self._read(server)
            period_s = PERIOD_S * self._rng.uniform(1 - JITTER, 1)
            self._waiting = task.deferLater(self._reactor, period_s)
            self._waiting.addErrback(lambda _: None)
            await self._waiting

    def stop(self) -> None:
        """End `run`."""
        self._stopped = True
        if self._waiting is not None:
            self._waiting.cancel()

    def _choose(self) -> BackendServer | None:
        """Return the one longest unheard of among a few engines."""
        engines = [state for state in self._table if not _is_service(state)]
        if len(engines) > SAMPLED:
            engines = self._rng.sample(engines, SAMPLED)
        oldest = min(engines, key=lambda state: state.polled_at, default=None)
        now = time.monotonic()
        if oldest is None or now - oldest.polled_at < FRESH_S:
            return None
        oldest.polled_at = now
        return self._servers.find(oldest.name)

    async def _read(self, server: BackendServer) -> None:
        answer = self._client.get(f"http://{server.address}/v1/load")
        answer.addCallback(treq.json_content)
        answer.addTimeout(READ_TIMEOUT_S, self._reactor)
        try:
            report = await answer
            load = _parse_load(report)
        except Exception:  # an engine that does not answer is left to the requests
            return
        server.record_answer()
        server.record_load(load)


def _is_service(state: ServerState) -> bool:
    return any(model.startswith("service/") for model in state.entry.models)


def _parse_load(report: dict[str, Any]) -> ReportedLoad:
    return ReportedLoad(
        running=int(report["running"]),
        waiting=int(report["waiting"]),
        capacity=int(report["capacity"]),
        pace_s=float(report["pace_ms"]) / 1000,
        leaving=bool(report["leaving"]),
        prefill_tokens_per_s=float(report["prefill_tokens_per_s"]),
        age_s=float(report["measured_ms_ago"]) / 1000,
    )
