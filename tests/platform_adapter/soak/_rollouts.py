"""Orders to move a service to servers of another version, some of which are bad."""

from __future__ import annotations

import base64
import json
import random

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._behaviours import VersionFault
from tests.platform_adapter.soak._deployment import SoakDeployment
from tests.platform_adapter.soak._fault_log import (
    FaultLog,
    PlayedRollout,
    VersionKind,
)
from tests.platform_adapter.soak._places import SoakServer

ORDER_TABLE, STATUS_TABLE = "op", "status"
ROLLOUT_SERVICE = "plain"
ROW = f"rollout/{ROLLOUT_SERVICE}"
DURATION_S = (6.0, 10.0)
NEW_SERVERS = 2
LATE_START_S = (0.0, 1.0)  # of the new servers, after the order
POLL_S = 0.1  # of the status
OVERTIME_S = 4.0  # after the limit, before the operators take the order back
LINGER_S = 2.0  # of new servers after a revert
ERROR_SHARE = 0.4
SLOW_FACTOR = 6.0


class RolloutFaults:
    """Has operators order roll-outs of the plain service.

    Parameters
    ----------
    deployment : SoakDeployment
    rng : random.Random
    log : FaultLog
    """

    def __init__(self, deployment: SoakDeployment, rng: random.Random, log: FaultLog):
        self._deployment = deployment
        self._rng = rng
        self._log = log
        self._is_active = False

    async def order_rollout(self) -> None:
        """Order a roll-out, start its servers, and do what its state asks for."""
        if self._is_active:
            return
        self._is_active = True
        number = len(self._log.rollouts)
        kind = self._rng.choice(list(VersionKind))
        version, duration_s = f"r{number}", self._rng.uniform(*DURATION_S)
        now = reactor.seconds()
        self._log.rollouts.append(PlayedRollout(version, kind, now, now + duration_s))
        order = {"service": ROLLOUT_SERVICE, "to": version, "durationS": duration_s}
        self._deployment.store.put(ORDER_TABLE, ROW, order)
        old = [
            each for each in self._deployment.servers if each.service == ROLLOUT_SERVICE
        ]
        await deferLater(reactor, self._rng.uniform(*LATE_START_S))
        new = self._start_servers(version, kind, number)
        state = await self._wait_for_end(number)
        self._deployment.store.put(ORDER_TABLE, ROW, None)
        if state == "completed":
            await self._end_servers(old, linger_s=0.0, drains=False)
        else:
            await self._end_servers(new, linger_s=LINGER_S, drains=True)
        self._is_active = False

    def _start_servers(self, version, kind, number) -> list[SoakServer]:
        fault = _make_fault(kind, reactor.seconds())
        servers = []
        while len(servers) < NEW_SERVERS and self._deployment.has_free_site():
            name = f"p{number}{len(servers)}r"
            server = SoakServer(
                name,
                ROLLOUT_SERVICE,
                self._deployment.instances[0].data_centre,
                self._deployment,
                version=version,
                version_fault=fault,
            )
            self._deployment.servers.append(server)
            server.start()
            servers.append(server)
        return servers

    async def _wait_for_end(self, number: int) -> str | None:
        played = self._log.rollouts[number]
        while reactor.seconds() < played.limit + OVERTIME_S:
            state = self._read_state(played.version)
            if state != self._log.rollouts[number].state:
                is_end = state in ("completed", "reverted")
                decided_at = reactor.seconds() if is_end else None
                played = played._replace(state=state, decided_at=decided_at)
                self._log.rollouts[number] = played
            if played.decided_at is not None or self._deployment.is_stopped:
                break
            await deferLater(reactor, POLL_S)
        return played.state

    def _read_state(self, version: str) -> str | None:
        row = self._deployment.store.rows.get((STATUS_TABLE, ROW))
        if row is None:
            return None
        status = json.loads(base64.b64decode(row[0]))
        return status["state"] if status["to"] == version else None

    async def _end_servers(self, servers, *, linger_s, drains) -> None:
        for each in servers:
            self._deployment.servers.remove(each)
        ending = [
            ensureDeferred(each.retire(linger_s=linger_s, drains=drains))
            for each in servers
        ]
        for each in ending:
            await each


def _make_fault(kind: VersionKind, now: float) -> VersionFault:
    match kind:
        case VersionKind.FAILS:
            return VersionFault(error_share=ERROR_SHARE)
        case VersionKind.FAILS_LATE:
            return VersionFault(error_share=ERROR_SHARE, since=now + DURATION_S[0] / 3)
        case VersionKind.FAILS_ON_ONE_ROUTE:
            return VersionFault(error_share=1.0, path="/repeat")
        case VersionKind.SLOW:
            return VersionFault(slow_factor=SLOW_FACTOR)
        case VersionKind.SOUND:
            return VersionFault()
