"""Callers of instances that are cut off from all servers are served as others are."""

from __future__ import annotations

import random

from ebonyhaven_standins.fault_proxy import FaultKind
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._callers import SoakCaller
from tests.platform_adapter.soak._checks import check_cut_off, check_runs
from tests.platform_adapter.soak._deployment import SoakDeployment
from tests.reactor_thread import run_in_reactor

START_S = 3.0
BEFORE_S = 1.0
CUT_S = 8.0
CONTACT_S = 3.0
CALLERS_PER_INSTANCE = 12
CUTS = (
    (FaultKind.RESET, FaultKind.REFUSE),
    (FaultKind.REFUSE,),  # open connections live on
    (FaultKind.SILENCE_OPEN, FaultKind.IGNORE),
)


def make_callers(instance, results, rng):
    def choose_path():
        return f"/{rng.choice(('once', 'repeat', 'fixed'))}/{rng.randrange(10**6)}"

    return [
        SoakCaller(
            f"{instance.name}-c{number}",
            choose_instance=lambda: (instance.name, instance.caller_link.address),
            choose_path=choose_path,
            results=results,
            rng=random.Random(rng.random()),
        )
        for number in range(CALLERS_PER_INSTANCE)
    ]


async def play(kinds):
    """Cut two of three instances off; return problems and how many were asked."""
    rng = random.Random(5)
    deployment = SoakDeployment(rng)
    results = []
    callers = [
        caller
        for instance in deployment.instances
        for caller in make_callers(instance, results, rng)
    ]
    deployment.server_faults.own_errors = 0.0
    deployment.start()
    try:
        await deferLater(reactor, START_S)
        running = [ensureDeferred(caller.run()) for caller in callers]
        await deferLater(reactor, BEFORE_S)
        cut_at = reactor.seconds()
        cut, sound = deployment.instances[:2], deployment.instances[2]
        for instance in cut:
            await instance.cut_off(*kinds)
        await deferLater(reactor, CUT_S)
        ended_at = reactor.seconds()
        for caller in callers:
            caller.is_stopped = True
        for each in running:
            await each
    finally:
        await deployment.stop()
    during = [each for each in results if cut_at + CONTACT_S <= each.sent_at < ended_at]
    problems = check_cut_off(
        at_cut=[each for each in during if not each.request_id.startswith(sound.name)],
        at_others=[each for each in during if each.request_id.startswith(sound.name)],
    )
    problems += check_runs(deployment.log.arrivals)
    return problems, len(during)


def test_callers_of_instances_that_reach_no_server_are_served():
    for kinds in CUTS:
        problems, asked = run_in_reactor(play, kinds)
        assert not problems, (kinds, problems)
        assert asked > 100, kinds
