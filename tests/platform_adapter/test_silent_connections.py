"""Connections that fall silent for good while new ones work, with real processes."""

from __future__ import annotations

import random

from ebonyhaven_standins.fault_proxy import FaultKind
from twisted.internet import reactor
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._callers import Result, SoakCaller
from tests.platform_adapter.soak._checks import CONTACT_S
from tests.platform_adapter.soak._configuration_checks import APPLY_S
from tests.platform_adapter.soak._deployment import (
    DeploymentSize,
    SoakDeployment,
    SoakInstance,
)
from tests.reactor_thread import run_in_reactor

TIMEOUT_S = 60.0
POLL_S = 0.1
SETTLE_S = 1.0  # until all instances wait for the next change
SLACK_S = 0.05
SIZE = DeploymentSize(instances=5, plain=1, engines=1, others=1, spare_sites=0)


async def ask(instance: SoakInstance, path: str) -> int | None:
    """Send a request to an instance over a new connection; return its status."""
    results: list[Result] = []
    caller = SoakCaller(
        f"{instance.name}-{reactor.seconds()}",
        choose_instance=lambda: (instance.name, instance.caller_link.address),
        choose_path=lambda: path,
        results=results,
        rng=random.Random(1),
    )
    await caller.send(path)
    caller.close()
    return results[-1].status if results else None


async def wait_for(deployment: SoakDeployment, path: str) -> None:
    """Wait until each instance serves a path."""
    deadline = reactor.seconds() + TIMEOUT_S
    for instance in deployment.instances:
        while await ask(instance, path) != 200:
            assert reactor.seconds() < deadline, instance.name
            await deferLater(reactor, POLL_S)


async def change_after_silence(list_links) -> list[tuple[str, int | None]]:
    """Return what instances answer on a new route once it must be in force.

    All connections of some links fall silent while all instances wait for a change.
    """
    deployment = SoakDeployment(random.Random(1), size=SIZE)
    deployment.start()
    try:
        await wait_for(deployment, "/moved-0/1")
        path = deployment.configurations.add_route()
        await wait_for(deployment, f"{path}1")
        await deferLater(reactor, SETTLE_S)
        silent_at = reactor.seconds()
        for instance in deployment.instances:
            for link in list_links(instance):
                await link.set_fault(FaultKind.SILENCE_OPEN, 0.0)
        await deferLater(reactor, CONTACT_S - APPLY_S)
        path = deployment.configurations.add_route()
        due_at = max(silent_at + CONTACT_S, reactor.seconds() + APPLY_S)
        await deferLater(reactor, due_at + SLACK_S - reactor.seconds())
        return [
            (each.name, await ask(each, f"{path}1")) for each in deployment.instances
        ]
    finally:
        await deployment.stop()


def assert_is_in_force(statuses) -> None:
    assert all(status != 404 for _, status in statuses), statuses


def test_change_is_in_force_in_time_after_all_store_connections_fell_silent():
    statuses = run_in_reactor(
        change_after_silence, lambda instance: [instance.store_link]
    )
    assert_is_in_force(statuses)


def test_change_is_in_force_in_time_after_all_connections_fell_silent():
    statuses = run_in_reactor(
        change_after_silence, lambda instance: instance.list_links()
    )
    assert_is_in_force(statuses)
