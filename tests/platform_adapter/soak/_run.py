"""One seed of the soak."""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall, deferLater

from tests.platform_adapter.soak._budget_checks import (
    check_rests,
    check_times_handed_on,
)
from tests.platform_adapter.soak._callers import Result, SoakCaller, has_left_early
from tests.platform_adapter.soak._checks import (
    CONTACT_S,
    SoakHistory,
    check_answers,
    check_attempts,
    check_crashes,
    check_cut_off,
    check_falls,
    check_limits,
    check_refusals,
    check_repeats,
    check_runs,
    check_streams,
)
from tests.platform_adapter.soak._configuration_checks import (
    ConfigurationHistory,
    check_configurations_in_force,
    check_denials,
    check_reverts,
    check_timeouts,
    is_denied,
    list_denials,
)
from tests.platform_adapter.soak._configurations import KeptStreams
from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._deployment import (
    BUDGET_WINDOW_S,
    CRASHING_PATH,
    RETRY_RATIO,
    RETRY_SLACK,
    SMALL,
    DeploymentSize,
    SoakDeployment,
)
from tests.platform_adapter.soak._fault_log import TICK_S, FaultLog
from tests.platform_adapter.soak._faults import (
    CHANGES,
    FAULT_SETS,
    KEPT_STREAMS,
    ORDER_ROLLOUT,
    FaultInjector,
)
from tests.platform_adapter.soak._gone_checks import check_gone
from tests.platform_adapter.soak._leaving_checks import (
    check_leaving,
    check_leaving_answers,
    list_late_reads,
    list_latest_arrivals,
)
from tests.platform_adapter.soak._loss_checks import (
    CutHistory,
    check_closed_channels,
    check_configuration_cuts,
    check_stops,
    list_steady_cuts,
)
from tests.platform_adapter.soak._probers import make_prober
from tests.platform_adapter.soak._rollout_checks import (
    EXPOSURE,
    RolloutHistory,
    check_exposure,
    check_rollout_cuts,
    list_rollouts,
    map_versions,
)
from tests.platform_adapter.soak._rollouts import ROLLOUT_SERVICE
from tests.platform_adapter.soak._stream_checks import TakenUpStreams
from tests.platform_adapter.soak._traces import write_traces
from tests.platform_adapter.soak._unanswered import (
    check_planned_work,
    list_own_failures,
    list_unanswered,
)

CALLER_COUNT = 24
LONG_CALLER_COUNT = 20
KEPT_CALLER_COUNT = 20
SHARED_PROMPTS = 8
START_S = 3.0
SETTLE_S = 1.0  # longer than a request that was refused could still reach a server
CRASHING_SHARE = 0.01
EARLY_LEAVE_SHARE = 0.04
LONG_EARLY_LEAVE_SHARE = 0.3  # of streams of seconds
PROBERS = 2  # callers of each instance that use routes and keys that change


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
    notes : list of str
        What breaks no promise by itself and helps to find causes.
    unanswered : dict of str to int
        Requests without a complete answer by cause, and answers that failed at their
        instance by status.
    """

    seed: int
    problems: list[str]
    statuses: dict[str, int]
    directory: str
    notes: list[str]
    unanswered: dict[str, int]


async def run_soak(
    seed: int,
    duration_s: float,
    *,
    fault_set: str = "standard",
    size: DeploymentSize = SMALL,
    production: str | None = None,
) -> SoakReport:
    """Run the program under load and faults, and check what happened.

    Parameters
    ----------
    seed : int
    duration_s : float
        Time of load and faults, seconds.
    fault_set : str
        Name of one of `FAULT_SETS`; all but ``standard`` add streams of seconds.
    size : DeploymentSize
    production : str or None
        Commit whose build the instances run until they are upgraded.

    Returns
    -------
    SoakReport
    """
    rng = random.Random(seed)
    has_long_streams = fault_set != "standard"
    deployment = SoakDeployment(
        random.Random(rng.random()),
        size=size,
        has_long_streams=has_long_streams,
        kept_streams=_choose_kept_streams(fault_set, production),
        production=production,
        exposure=EXPOSURE if ORDER_ROLLOUT in FAULT_SETS[fault_set] else None,
        changes_limits=fault_set == CHANGES,
    )
    results: list[Result] = []
    callers = [
        _make_caller(
            number,
            deployment,
            results,
            random.Random(rng.random()),
            crashing_share=0.0 if fault_set == CHANGES else CRASHING_SHARE,
        )
        for number in range(CALLER_COUNT)
    ]
    probes: list[Result] = []
    callers += [
        make_prober(number, instance, deployment, probes, random.Random(rng.random()))
        for instance in deployment.instances
        for number in range(PROBERS)
    ]
    injector = FaultInjector(deployment, random.Random(rng.random()), fault_set)
    if has_long_streams and fault_set != KEPT_STREAMS:
        callers += [
            _make_long_caller(number, deployment, results, random.Random(rng.random()))
            for number in range(LONG_CALLER_COUNT * size.instances // 3)
        ]
    if fault_set == KEPT_STREAMS:
        callers += [
            _make_kept_caller(number, deployment, results, random.Random(rng.random()))
            for number in range(KEPT_CALLER_COUNT)
        ]
    started_at = reactor.seconds()
    watch = LoopingCall(injector.log.watch_stalls)
    watch.start(TICK_S)
    deployment.start()
    try:
        await deferLater(reactor, START_S)
        for each in deployment.instances:
            await each.accept_callers()
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
        watch.stop()
        await deployment.stop()
    record = _SoakRecord(deployment, results, probes, injector.log, started_at)
    return _report(seed, record, is_all_planned=fault_set == CHANGES)


async def _finish(injector: FaultInjector, faults) -> None:
    injector.is_stopped = True
    await faults
    await injector.stop()


def _make_caller(
    number, deployment, results, rng: random.Random, *, crashing_share: float
) -> SoakCaller:
    def choose_path() -> str:
        if rng.random() < crashing_share:
            return CRASHING_PATH
        kind = rng.choices(("once", "repeat", "fixed", "stream"), (6, 4, 1, 2))[0]
        return f"/{kind}/{rng.randrange(1_000_000)}"

    return _make_any_caller(f"c{number}", choose_path, deployment, results, rng)


def _make_long_caller(number, deployment, results, rng: random.Random) -> SoakCaller:
    def choose_path() -> str:
        return f"/long/{rng.randrange(1_000_000)}"

    name = f"c{CALLER_COUNT + number}"
    return _make_any_caller(
        name,
        choose_path,
        deployment,
        results,
        rng,
        early_leave_share=LONG_EARLY_LEAVE_SHARE,
    )


def _choose_kept_streams(fault_set: str, production: str | None) -> KeptStreams:
    """Return the streams that callers take up.

    An earlier build may lose those of split routes and of repeated prompts.
    """
    if fault_set != KEPT_STREAMS:
        return KeptStreams.NONE
    return KeptStreams.SPLIT if production is None else KeptStreams.PLAIN


def _make_kept_caller(number, deployment, results, rng: random.Random) -> SoakCaller:
    is_shared = deployment.configurations.kept_streams is KeptStreams.SPLIT
    prompts = SHARED_PROMPTS if is_shared else 1_000_000

    def choose_path() -> str:
        return f"/kept/{rng.randrange(prompts)}"

    return _make_any_caller(
        f"k{number}", choose_path, deployment, results, rng, early_leave_share=0.0
    )


def _make_any_caller(
    name,
    choose_path,
    deployment,
    results,
    rng,
    *,
    early_leave_share=EARLY_LEAVE_SHARE,
) -> SoakCaller:
    def choose_instance() -> tuple[str, str]:
        instance = rng.choice(deployment.instances)
        return instance.name, instance.caller_link.address

    return SoakCaller(
        name,
        choose_instance=choose_instance,
        choose_path=choose_path,
        results=results,
        rng=rng,
        early_leave_share=early_leave_share,
    )


class _SoakRecord(NamedTuple):
    """What a soak did and saw."""

    deployment: SoakDeployment
    results: list[Result]
    probes: list[Result]
    faults: FaultLog
    started_at: float


def _report(seed: int, record: _SoakRecord, *, is_all_planned: bool) -> SoakReport:
    deployment, results, probes, faults, started_at = record
    arrivals = deployment.log.arrivals
    departures = deployment.departures.list_all()
    everything = [*results, *probes]
    history = SoakHistory(everything, faults.processes)
    addresses = {
        each.process.process_id: each.site.address for each in deployment.processes
    }
    services = {each.process.process_id: each.service for each in deployment.processes}
    contact = ContactHistory(everything, faults, addresses)
    cuts = CutHistory(everything, deployment.log, contact)
    configurations = ConfigurationHistory(
        everything, arrivals, deployment.configurations.played, services, contact
    )
    taken_up = TakenUpStreams(results, contact)
    versions = map_versions(deployment.processes, ROLLOUT_SERVICE)
    rollouts = RolloutHistory(arrivals, versions, contact)
    unanswered = list_unanswered(everything, cuts, faults)
    failures = list_own_failures(everything, cuts)
    plain_count = sum(each.service == "plain" for each in deployment.servers)
    problems = [
        *check_runs(arrivals),
        *check_refusals(arrivals, everything),
        *check_answers(everything),
        *check_attempts(arrivals, 2),
        *check_repeats(
            arrivals,
            [*results, *(each for each in probes if not is_denied(each))],
            ratio=RETRY_RATIO,
            slack=RETRY_SLACK,
            window_s=BUDGET_WINDOW_S,
        ),
        *check_crashes(arrivals, CRASHING_PATH, CONTACT_S),
        *check_rests(arrivals, deployment.log.rests, contact),
        *check_times_handed_on(arrivals, contact),
        *check_gone(everything, deployment.log, contact),
        *check_streams(results),
        *check_limits(arrivals, faults.named_limits, history),
        *check_falls(deployment.log.falls, faults.brittle_times, plain_count, history),
        *_check_cuts(results, faults, history),
        *check_leaving(arrivals, departures, contact),
        *check_leaving_answers(arrivals, deployment.log.leaving_answers, contact),
        *check_closed_channels(cuts),
        *taken_up.check(),
        *check_stops(cuts, faults.terminations),
        *check_configuration_cuts(
            cuts, faults.configurations, started_at + START_S, reactor.seconds()
        ),
        *check_configurations_in_force(configurations),
        *check_reverts(configurations),
        *check_timeouts(configurations),
        *check_denials(configurations),
        *check_exposure(faults.rollouts, rollouts, deployment.log.ends, EXPOSURE),
        *check_rollout_cuts(faults.rollouts, deployment.log.ends, versions),
        *(check_planned_work(unanswered, cuts) if is_all_planned else ()),
    ]
    notes = [
        *(
            f"stall: of {end - begin:.3f} s at {begin:.3f}"
            for begin, end in faults.stalls
        ),
        *list_late_reads(arrivals, departures, contact),
        *list_latest_arrivals(arrivals, departures, contact),
        *list_steady_cuts(cuts),
        *list_denials(configurations),
        *list_rollouts(faults.rollouts),
        *(f"{cause.value}: {cuts.describe(each)}" for cause, each in unanswered),
        *(f"failed at no server: {cuts.describe(each)}" for each in failures),
        *(f"killed: {each.describe()}" for each in faults.overdue_stops),
        f"taken up: {taken_up.describe()}",
    ]
    write_traces(
        deployment.directory, [*problems, *notes], deployment.log, departures, contact
    )
    statuses = Counter(
        str(each.status) if each.is_whole else "broken" for each in results
    )
    directory = str(deployment.directory)
    counts = Counter(cause.value for cause, _ in unanswered)
    counts.update(f"{each.status}, at no server" for each in failures)
    counts["processes killed at the end of their time"] = len(faults.overdue_stops)
    return SoakReport(seed, problems, dict(statuses), directory, notes, dict(counts))


def _check_cuts(
    results: list[Result], faults: FaultLog, history: SoakHistory
) -> list[str]:
    """Return cuts of instances from all servers that their callers felt."""
    problems = []
    for names, since, until in faults.cuts:
        begin = since + CONTACT_S
        during = [
            each
            for each in results
            if each.is_first
            and begin <= each.sent_at < until
            and each.path != CRASHING_PATH
            and not has_left_early(each)
        ]
        others = {each.instance for each in during} - names
        if any(history.is_disturbed(each, since, until) for each in others):
            continue  # nobody was there all the while to take the requests
        at_cut = [each for each in during if each.instance in names]
        at_others = [each for each in during if each.instance in others]
        problems += check_cut_off(at_cut, at_others)
    return problems
