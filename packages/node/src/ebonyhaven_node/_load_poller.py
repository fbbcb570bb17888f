"""Polling of engines whose last load report is old."""

from __future__ import annotations

import random
import time
from typing import Any

import treq
from ebonyhaven_decisions import ServerState, ServerTable
from ebonyhaven_store import make_agent
from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._servers import BackendServer, BackendServers, ReportedLoad

POLL_INTERVAL_S = 0.25
INTERVAL_JITTER_RATIO = 0.3
MAX_LOAD_AGE_S = 1.0
READ_TIMEOUT_S = 1.0
SAMPLE_SIZE = 8


class LoadPoller:
    """Polls the load of one engine at a time, the one with the oldest report first.

    Responses to requests contain the load as well, so a busy instance polls rarely.

    Parameters
    ----------
    servers : BackendServers
    table : ServerTable
        Contains the time of the last load report or poll of each server.
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
        agent = make_agent(reactor, connect_timeout_s=READ_TIMEOUT_S)
        self._client = treq.client.HTTPClient(agent)
        self._stopped = False
        self._poll_delay: Deferred | None = None

    async def run(self) -> None:
        """Poll engines until `stop` is called."""
        while not self._stopped:
            server = self._choose()
            if server is not None:
                await self._read(server)
            interval_s = POLL_INTERVAL_S * self._rng.uniform(
                1 - INTERVAL_JITTER_RATIO, 1
            )
            self._poll_delay = task.deferLater(self._reactor, interval_s)
            self._poll_delay.addErrback(lambda _: None)
            await self._poll_delay

    def stop(self) -> None:
        """Make `run` return."""
        self._stopped = True
        if self._poll_delay is not None:
            self._poll_delay.cancel()

    def _choose(self) -> BackendServer | None:
        """Return the engine with the oldest report in a random sample, if it is due."""
        engines = [state for state in self._table if not _is_service(state)]
        if len(engines) > SAMPLE_SIZE:
            engines = self._rng.sample(engines, SAMPLE_SIZE)
        oldest = min(engines, key=lambda state: state.polled_at, default=None)
        now = time.monotonic()
        if oldest is None or now - oldest.polled_at < MAX_LOAD_AGE_S:
            return None
        oldest.polled_at = now
        return self._servers.find(oldest.name)

    async def _read(self, server: BackendServer) -> None:
        if not server.limiter.acquire(time.monotonic()):
            return
        response = self._client.get(f"http://{server.address}/v1/load")
        response.addBoth(_record_answered, server)
        response.addCallback(treq.json_content)
        response.addTimeout(READ_TIMEOUT_S, self._reactor)
        try:
            report = await response
            load = _parse_load(report)
        except Exception:  # unreachable engines are detected by requests
            return
        server.record_answer()
        server.record_load(load)


def _record_answered(result: Any, server: BackendServer) -> Any:
    server.limiter.record_ended()
    return result


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
