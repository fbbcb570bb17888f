"""Periodic samples of the active configuration version of each instance."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import treq
from twisted.internet import defer, task
from twisted.web.client import Agent

from ebonyhaven_standins.checker import Timeline, TimelineKind
from ebonyhaven_standins.cluster import Cluster

SAMPLE_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 0.5


class HealthSampler:
    """Polls the health of every running instance.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    cluster : Cluster
        Started processes.
    instances : sequence of str
        Names of the instances to poll.
    timeline : Timeline
        Receives the observed configuration versions.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        cluster: Cluster,
        instances: Sequence[str],
        timeline: Timeline,
    ) -> None:
        self._cluster = cluster
        self._instances = instances
        self._timeline = timeline
        self._http = treq.client.HTTPClient(
            Agent(reactor, connectTimeout=REQUEST_TIMEOUT_S)
        )
        self._loop = task.LoopingCall(self._sample_all)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start sampling."""
        self._loop.start(SAMPLE_INTERVAL_S)

    def stop(self) -> None:
        """Stop sampling."""
        self._loop.stop()

    def _sample_all(self) -> None:
        for name in self._instances:
            if self._cluster.child(name).running:
                sample = defer.Deferred.fromCoroutine(self._sample(name))
                # An instance that does not respond yields no sample.
                sample.addErrback(lambda _: None)

    async def _sample(self, name: str) -> None:
        address = self._cluster.addresses[name]
        response = await self._http.get(
            f"http://{address}/health", timeout=REQUEST_TIMEOUT_S
        )
        health = await response.json()
        self._timeline.add(
            TimelineKind.CONFIGURATION_SEEN,
            f"{name}/{health['incarnation']}",
            version=health["configuration_version"],
        )
