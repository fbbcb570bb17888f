"""One seed of the soak."""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._callers import Result, SoakCaller
from tests.platform_adapter.soak._checks import (
    check_answers,
    check_attempts,
    check_crashes,
    check_refusals,
    check_repeats,
    check_runs,
)
from tests.platform_adapter.soak._deployment import (
    BUDGET_WINDOW_S,
    CRASHING_PATH,
    RETRY_RATIO,
    RETRY_SLACK,
    SoakDeployment,
)
from tests.platform_adapter.soak._faults import FaultInjector

CALLER_COUNT = 24
START_S = 3.0
SETTLE_S = 1.0  # longer than a request that was refused could still reach a server
CONTACT_S = 3.0
CRASHING_SHARE = 0.01


class SoakReport(NamedTuple):
    """What a soak found.

    Parameters
    ----------
    seed : int
    problems : list of str
    statuses : dict of str to int
        Requests by what their callers were told.
    directory : str
        Logs of the instances.
    """

    seed: int
    problems: list[str]
    statuses: dict[str, int]
    directory: str


async def run_soak(seed: int, duration_s: float) -> SoakReport:
    """Run the program under load and faults, and check what happened.

    Parameters
    ----------
    seed : int
    duration_s : float
        Time of load and faults, seconds.

    Returns
    -------
    SoakReport
    """
    rng = random.Random(seed)
    deployment = SoakDeployment(random.Random(rng.random()))
    results: list[Result] = []
    callers = [
        _make_caller(number, deployment, results, random.Random(rng.random()))
        for number in range(CALLER_COUNT)
    ]
    injector = FaultInjector(deployment, random.Random(rng.random()))
    deployment.start()
    try:
        await deferLater(reactor, START_S)
        running = [ensureDeferred(caller.run()) for caller in callers]
        faults = ensureDeferred(injector.run())
        await deferLater(reactor, duration_s)
        await _finish(injector, faults)
        for caller in callers:
            caller.is_stopped = True
        for each in running:
            await each
        await deferLater(reactor, SETTLE_S)
    finally:
        await deployment.stop()
    return _report(seed, deployment, results)


async def _finish(injector: FaultInjector, faults) -> None:
    injector.is_stopped = True
    await faults
    await injector.stop()


def _make_caller(number, deployment, results, rng: random.Random) -> SoakCaller:
    def choose_path() -> str:
        if rng.random() < CRASHING_SHARE:
            return CRASHING_PATH
        kind = rng.choices(("once", "repeat", "fixed"), (6, 4, 2))[0]
        return f"/{kind}/{rng.randrange(1_000_000)}"

    return SoakCaller(
        f"c{number}",
        choose_address=lambda: rng.choice(deployment.instances).caller_link.address,
        choose_path=choose_path,
        results=results,
        rng=rng,
    )


def _report(seed: int, deployment: SoakDeployment, results) -> SoakReport:
    arrivals = deployment.arrivals
    problems = [
        *check_runs(arrivals),
        *check_refusals(arrivals, results),
        *check_answers(results),
        *check_attempts(arrivals, 2),
        *check_repeats(
            arrivals,
            results,
            ratio=RETRY_RATIO,
            slack=RETRY_SLACK,
            window_s=BUDGET_WINDOW_S,
        ),
        *check_crashes(arrivals, CRASHING_PATH, CONTACT_S),
    ]
    statuses = Counter(
        str(each.status) if each.is_whole else "broken" for each in results
    )
    return SoakReport(seed, problems, dict(statuses), str(deployment.directory))
