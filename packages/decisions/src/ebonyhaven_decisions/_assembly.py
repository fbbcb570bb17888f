"""Schedulers by the name that settings give them."""

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


class Scheduling(enum.StrEnum):
    """Ways to schedule; all but ``FAIR`` are baselines for measurements."""

    FAIR = "fair"
    ROUND_ROBIN = "round_robin"
    LEAST_CONNECTIONS = "least_connections"


def build_scheduler(
    scheduling: Scheduling,
    policies: Mapping[str, ClassPolicy],
    *,
    place: Locality,
    random_source: random.Random,
    now: float,
) -> Scheduler:
    """Build a scheduler.

    Parameters
    ----------
    scheduling : Scheduling
    policies : mapping of str to ClassPolicy
    place : Locality
        Where the instance runs.
    random_source : random.Random
    now : float
        Seconds.

    Returns
    -------
    Scheduler
    """
    ledger = UsageLedger(now)
    is_fair = scheduling is Scheduling.FAIR
    if is_fair:
        router = LoadAwareRouter(random_source, place)
    elif scheduling is Scheduling.ROUND_ROBIN:
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
