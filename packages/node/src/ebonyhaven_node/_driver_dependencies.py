"""Targets and dependencies of run drivers."""

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

GENERATION_HEX_DIGITS = 8
RETRY_AFTER_S = 1.0


@attrs.frozen(slots=True, kw_only=True)
class RunTargets:
    """Targets that the declaration sets for a run.

    Parameters
    ----------
    first_token_s : float
        Target of the class for the time to the first token, seconds.
    resume_s : float
        Target of the class for the time from a loss to the next token, seconds.
    may_wait_s : float
        Time that a request may wait for a slot, seconds.
    pools : frozenset of str
        Pools that serve the model.
    """

    first_token_s: float
    resume_s: float
    may_wait_s: float
    pools: frozenset[str]


@attrs.frozen(slots=True, kw_only=True)
class DriverDependencies:
    """Components of the node that run drivers use.

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
        Whether to continue a run on another engine if its engine fails. If
        False, the run fails instead; benchmarks use this as the baseline.
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
    """Return a random identity for a new generation.

    Parameters
    ----------
    rng : random.Random

    Returns
    -------
    str
        Eight hexadecimal digits.
    """
    return f"{rng.getrandbits(4 * GENERATION_HEX_DIGITS):0{GENERATION_HEX_DIGITS}x}"
