"""What the drivers of runs share: targets, parts of the node, failures."""

from __future__ import annotations

import random

import attrs
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._claims import ClaimStore
from ebonyhaven_node._crash_reports import CrashReports
from ebonyhaven_node._engines import EngineClient
from ebonyhaven_node._metrics import RelayMetrics
from ebonyhaven_node._orphans import OrphanCanceller
from ebonyhaven_node._scheduling import SlotScheduler
from ebonyhaven_node._servers import BackendServers

GENERATION_DIGITS = 8
RETRY_AFTER_S = 1.0


@attrs.frozen(slots=True, kw_only=True)
class RunTargets:
    """What the declaration asks for a request.

    Parameters
    ----------
    first_token_s, resume_s : float
        Targets of the class, seconds.
    may_wait_s : float
        Time that a request may wait for room, seconds.
    pools : frozenset of str
        Pools that serve the model.
    """

    first_token_s: float
    resume_s: float
    may_wait_s: float
    pools: frozenset[str]


@attrs.frozen(slots=True, kw_only=True)
class DriverDependencies:
    """Parts of the node that drivers use.

    Parameters
    ----------
    engines : EngineClient
    servers : BackendServers
    scheduling : SlotScheduler
    claims : ClaimStore
    orphans : OrphanCanceller
    crashes : CrashReports
    metrics : RelayMetrics
    reactor : IReactorTime
    rng : random.Random
    continue_runs : bool
        False for the baseline, which gives a run up when its engine dies.
    """

    engines: EngineClient
    servers: BackendServers
    scheduling: SlotScheduler
    claims: ClaimStore
    orphans: OrphanCanceller
    crashes: CrashReports
    metrics: RelayMetrics
    reactor: IReactorTime
    rng: random.Random
    continue_runs: bool = True


def make_generation(rng: random.Random) -> str:
    """Return an identity for a new generation.

    Parameters
    ----------
    rng : random.Random

    Returns
    -------
    str
        Eight hexadecimal digits.
    """
    return f"{rng.getrandbits(4 * GENERATION_DIGITS):0{GENERATION_DIGITS}x}"
