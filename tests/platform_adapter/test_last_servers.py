"""The last server of a service leaves without a notice while the reader is frozen."""

from __future__ import annotations

import random
import signal

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._callers import SoakCaller
from tests.platform_adapter.soak._deployment import DeploymentSize, SoakDeployment
from tests.platform_adapter.soak._places import DRAIN_S
from tests.reactor_thread import run_in_reactor

CALLERS = 4
READY_S = 5.0
WATCHED_S = 2 * DRAIN_S


async def _measure_last_arrival(deployment: SoakDeployment, bound) -> float:
    """Return how late the bound instance sends, all others frozen."""
    results = []
    callers = [
        SoakCaller(
            f"c{bound.name}-{number}",
            choose_instance=lambda: (bound.name, bound.caller_link.address),
            choose_path=lambda: "/once/x",
            results=results,
            rng=random.Random(number),
        )
        for number in range(CALLERS)
    ]
    running = [ensureDeferred(each.run()) for each in callers]
    await deferLater(reactor, 1.0)
    frozen = [each for each in deployment.instances if each is not bound]
    for each in frozen:
        each.signal(signal.SIGSTOP)
    listed = deployment.servers[0].listed
    at = reactor.seconds()
    listed.unlist("removed")
    await deferLater(reactor, WATCHED_S)
    for each in frozen:
        each.signal(signal.SIGCONT)
    for each in callers:
        each.is_stopped = True
    for each in running:
        await each
    await listed.list("ready")
    await deferLater(reactor, READY_S)
    received = [each.received_at - at for each in deployment.log.arrivals]
    return max(received, default=0.0)


async def _measure_all() -> dict[str, float]:
    size = DeploymentSize(plain=1, engines=1)
    deployment = SoakDeployment(random.Random(1), size=size)
    deployment.start()
    try:
        await deferLater(reactor, READY_S)
        return {
            each.name: await _measure_last_arrival(deployment, each)
            for each in deployment.instances
        }
    finally:
        await deployment.stop()


def test_last_server_that_is_removed_while_the_reader_is_frozen_is_left_alone():
    late = run_in_reactor(_measure_all)
    assert all(at_s < DRAIN_S for at_s in late.values()), late
