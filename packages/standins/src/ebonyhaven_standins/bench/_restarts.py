"""Callers that begin again under a new key when a request did not complete."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer, task

from ebonyhaven_standins.caller import COMPLETED, CompletionRequest, RequestRecord
from ebonyhaven_standins.scenario import Runner

MAX_RESTARTS = 40
RESTART_PAUSE_S = 0.05


class RestartingRunner(Runner):
    """Runs a scenario and sends again what did not complete."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.chains: list[list[RequestRecord]] = []

    def send(self, request: CompletionRequest) -> defer.Deferred[RequestRecord]:
        """See `Runner.send`.

        Parameters
        ----------
        request : CompletionRequest

        Returns
        -------
        Deferred of RequestRecord
        """
        return defer.Deferred.fromCoroutine(self._send_until_complete(request))

    def call_later(self, delay_s: float, act: Callable[[], None]) -> Any:
        """Do something after a delay.

        Parameters
        ----------
        delay_s : float
            Seconds.
        act : callable

        Returns
        -------
        twisted.internet.interfaces.IDelayedCall
        """
        return self._reactor.callLater(delay_s, act)

    async def _send_until_complete(self, request: CompletionRequest) -> RequestRecord:
        chain = [await super().send(request)]
        self.chains.append(chain)
        while chain[-1]["outcome"] != COMPLETED and len(chain) < MAX_RESTARTS:
            await task.deferLater(self._reactor, RESTART_PAUSE_S)
            again = attrs.evolve(request, key=uuid.uuid4().hex)
            chain.append(await super().send(again))
        return chain[-1]
