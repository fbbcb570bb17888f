"""Callers that resubmit incomplete requests under a new idempotency key."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer, task

from ebonyhaven_standins.caller import COMPLETED, CompletionRequest, RequestRecord
from ebonyhaven_standins.scenario import Runner

MAX_ATTEMPTS = 40
RESTART_DELAY_S = 0.05


class RestartingRunner(Runner):
    """Runs a scenario and resubmits requests that did not complete.

    Attributes
    ----------
    attempts_by_request : list of list of RequestRecord
        Records of each request, one per attempt.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.attempts_by_request: list[list[RequestRecord]] = []

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

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Any:
        """Call a function after a delay.

        Parameters
        ----------
        delay_s : float
            Seconds.
        callback : callable

        Returns
        -------
        twisted.internet.interfaces.IDelayedCall
        """
        return self._reactor.callLater(delay_s, callback)

    async def _send_until_complete(self, request: CompletionRequest) -> RequestRecord:
        attempts = [await super().send(request)]
        self.attempts_by_request.append(attempts)
        while attempts[-1]["outcome"] != COMPLETED and len(attempts) < MAX_ATTEMPTS:
            await task.deferLater(self._reactor, RESTART_DELAY_S)
            resubmission = attrs.evolve(request, key=uuid.uuid4().hex)
            attempts.append(await super().send(resubmission))
        return attempts[-1]
