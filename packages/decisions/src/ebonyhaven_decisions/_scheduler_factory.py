"""Construction of the scheduler that the settings select."""

from __future__ import annotations

import enum
import random
from collections.abc import Mapping

from ebonyhaven_decisions._admission import FixedTimeoutAdmission, PredictiveAdmission
from ebonyhaven_decisions._dispatching import Dispatcher
from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._queueing import FairQueue, FifoQueue
from ebonyhaven_decisions._routing import (
    LeastConnectionsRouter,
    LoadAwareRouter,
    Locality,
    RoundRobinRouter,
)
from ebonyhaven_decisions._scheduler import Scheduler
from ebonyhaven_decisions._usage import UsageLedger


class SchedulingAlgorithm(enum.StrEnum):
    """Scheduling algorithms; all except ``FAIR`` are baselines for benchmarks."""

    FAIR = "fair"
    ROUND_ROBIN = "round_robin"
    LEAST_CONNECTIONS = "least_connections"


def build_scheduler(
    algorithm: SchedulingAlgorithm,
    policies: Mapping[str, ClassPolicy],
    *,
    locality: Locality,
    random_source: random.Random,
    now: float,
) -> Scheduler:
    """Build a scheduler with its queue, admission control and router.

    Parameters
    ----------
    algorithm : SchedulingAlgorithm
        ``FAIR`` also enables concurrency limits and predictive admission.
    policies : mapping of str to ClassPolicy
        Policies by name of the request class.
    locality : Locality
        Data centre and region of this instance; only ``FAIR`` uses them.
    random_source : random.Random
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Scheduler
    """
    ledger = UsageLedger(now)
    is_fair = algorithm is SchedulingAlgorithm.FAIR
    if is_fair:
        router = LoadAwareRouter(random_source, locality)
    elif algorithm is SchedulingAlgorithm.ROUND_ROBIN:
        router = RoundRobinRouter()
    else:
        router = LeastConnectionsRouter(random_source)
    dispatcher = Dispatcher(
        policies, router=router, ledger=ledger, enforces_limits=is_fair
    )
    return Scheduler(
        dispatcher,
        queue=FairQueue(policies, ledger) if is_fair else FifoQueue(),
        admission=PredictiveAdmission(random_source)
        if is_fair
        else FixedTimeoutAdmission(),
        random_source=random_source,
    )
