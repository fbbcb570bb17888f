"""Placement of generations and of the copies of their memory.

Answers two load patterns: a burst, where prompts that are read at the same time
on one engine delay each other, and the loss of a whole data centre, where all its
runs go on at once on the engines that hold their copies.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from ebonyhaven_decisions.forwarding._backends import Backend

MEMORY_SHARE = 0.92  # the rest is left to the growth of runs whose end is unknown
PREFILL_WEIGHT = 3.0  # a prompt that is being read delays all neighbours
COPY_WEIGHT = 0.6  # a copy takes room and no time
SLOWNESS_WEIGHT = 1.0
JITTER = 0.15  # in units of one run
TYPICAL_RUN_TOKENS = 8000.0
PREFERRED_ENGINES = 2  # one of them is usually not reading another prompt
AWAY_COST = 2.0  # in runs, for the others: less than a prompt being read costs


class EngineUse(NamedTuple):
    """What the requests of one instance occupy on an engine.

    Parameters
    ----------
    run_tokens, copy_tokens, prefill_tokens : int
    """

    run_tokens: int = 0
    copy_tokens: int = 0
    prefill_tokens: int = 0


class TokenDemand(NamedTuple):
    """What a generation needs on an engine.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        The output at most.
    """

    prompt_tokens: int
    output_tokens: int

    @property
    def tokens(self) -> int:
        """Memory at its end."""
        return self.prompt_tokens + self.output_tokens


class PeerEngineUse:
    """What the other instances say they occupy on engines.

    Parameters
    ----------
    ttl_s : float
        Age at which a statement is dropped, seconds.
    """

    __slots__ = ("_life_s", "_statements")

    def __init__(self, ttl_s: float):
        self._life_s = ttl_s
        self._statements: dict[str, tuple[float, Mapping[str, EngineUse]]] = {}

    def record(self, peer: str, uses: Mapping[str, EngineUse], now: float) -> None:
        """Replace what a peer said before.

        Parameters
        ----------
        peer : str
        uses : mapping of str to EngineUse
            By server id.
        now : float
            Seconds.
        """
        self._statements[peer] = (now, uses)

    def sum_by_server(self, now: float) -> dict[str, EngineUse]:
        """Return what all peers occupy.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        dict of str to EngineUse
            By server id.
        """
        total: dict[str, EngineUse] = {}
        for peer, (said_at, uses) in list(self._statements.items()):
            if now - said_at > self._life_s:
                del self._statements[peer]
                continue
            for server_id, use in uses.items():
                known = total.get(server_id, EngineUse())
                total[server_id] = EngineUse(
                    *(a + b for a, b in zip(known, use, strict=True))
                )
        return total


def _estimate_use(backend: Backend, peers: Mapping[str, EngineUse]) -> EngineUse:
    other = peers.get(backend.server_id, EngineUse())
    return EngineUse(
        backend.run_tokens + other.run_tokens,
        backend.copy_tokens + other.copy_tokens,
        backend.prefill_tokens + other.prefill_tokens,
    )


def fits_in_memory(
    backend: Backend,
    demand: TokenDemand,
    memory_tokens: int,
    peers: Mapping[str, EngineUse],
) -> bool:
    """Tell whether a generation fits beside what an engine has.

    Parameters
    ----------
    backend : Backend
    demand : TokenDemand
    memory_tokens : int
        Memory of the engine.
    peers : mapping of str to EngineUse
        What other instances occupy.
    """
    use = _estimate_use(backend, peers)
    taken = use.run_tokens + use.copy_tokens
    return taken + demand.tokens <= MEMORY_SHARE * memory_tokens


def count_queued_prefill_tokens(
    backend: Backend, peers: Mapping[str, EngineUse]
) -> int:
    """Return the tokens of prompts that an engine still has to read.

    Parameters
    ----------
    backend : Backend
    peers : mapping of str to EngineUse
        What other instances occupy.
    """
    return _estimate_use(backend, peers).prefill_tokens


def is_prompt_admitted(*, waited_s: float, queue_s: float, target_s: float) -> bool:
    """Tell whether a prompt may go to an engine now.

    Answers the load pattern of more prompts than engines can read: served in the
    order of their arrival, all of them come late. A stream that is late already, or
    would be behind the prompts on its engine, therefore waits for an engine that
    reads none, and those that can still be on time go first.

    Parameters
    ----------
    waited_s : float
        Time since the request arrived, or since the last event of its stream.
    queue_s : float
        Time to read the prompts on the engine, this one too; 0 for an engine that
        reads none.
    target_s : float
        Time within which its next event is on time.
    """
    return queue_s == 0.0 or waited_s + queue_s <= target_s


def select_preferred_engines(
    prompt_id: str, candidates: Sequence[Backend]
) -> frozenset[str]:
    """Return the engines that a prompt goes to first, wherever it arrives.

    A request that comes back at another instance, after the loss of its own, then
    meets the engine that still keeps its prompt; and requests that arrive at
    several instances at once do not all choose the engine that looked idle.

    Parameters
    ----------
    prompt_id : str
        Identifies the part of the prompt that no other request shares.
    candidates : sequence of Backend

    Returns
    -------
    frozenset of str
        Server ids, chosen by rendezvous hashing.
    """

    def weigh(backend: Backend) -> int:
        return zlib.crc32(f"{prompt_id}/{backend.server_id}".encode())

    ordered = sorted(candidates, key=weigh, reverse=True)
    return frozenset(each.server_id for each in ordered[:PREFERRED_ENGINES])


def _estimate_cost(use: EngineUse, backend: Backend, rng: random.Random) -> float:
    busy = use.run_tokens + COPY_WEIGHT * use.copy_tokens
    busy += PREFILL_WEIGHT * use.prefill_tokens
    cost = busy / TYPICAL_RUN_TOKENS + SLOWNESS_WEIGHT * backend.failure_share
    return cost + JITTER * rng.random()


def choose_engine(
    candidates: Sequence[Backend],
    *,
    demand: TokenDemand,
    memory_tokens: int,
    peers: Mapping[str, EngineUse],
    rng: random.Random,
    prompt_id: str = "",
) -> Backend | None:
    """Return the engine on which a generation delays others least.

    Parameters
    ----------
    candidates : sequence of Backend
        Usable engines.
    demand : TokenDemand
    memory_tokens : int
        Memory of one engine.
    peers : mapping of str to EngineUse
        What other instances occupy, by server id.
    rng : random.Random
    prompt_id : str
        See `select_preferred_engines`; empty for none.

    Returns
    -------
    Backend or None
        None when no engine has room.
    """
    fitting = [
        each
        for each in candidates
        if fits_in_memory(each, demand, memory_tokens, peers)
    ]
    if not fitting:
        return None
    preferred = (
        select_preferred_engines(prompt_id, fitting) if prompt_id else frozenset()
    )

    def estimate(backend: Backend) -> float:
        cost = _estimate_cost(_estimate_use(backend, peers), backend, rng)
        return cost + (0.0 if backend.server_id in preferred else AWAY_COST)

    return min(fitting, key=estimate)


def choose_copy_holder(
    candidates: Sequence[Backend],
    *,
    source: Backend,
    demand: TokenDemand,
    memory_tokens: int,
    peers: Mapping[str, EngineUse],
    rng: random.Random,
    is_suspect_data_centre: Callable[[str], bool] = lambda _: False,
) -> Backend | None:
    """Return the engine that is to hold the copy of a run.

    It is in another data centre than the run where there is one, as the engines
    of a data centre tend to fail together; rather in one with a fresh loss, whose
    engines are about to be back, than in the run's own.

    Parameters
    ----------
    candidates : sequence of Backend
        Usable engines.
    source : Backend
        Engine of the run.
    demand : TokenDemand
    memory_tokens : int
        Memory of one engine.
    peers : mapping of str to EngineUse
        What other instances occupy, by server id.
    rng : random.Random
    is_suspect_data_centre : callable
        Tells for a data centre whether it had a fresh loss.

    Returns
    -------
    Backend or None
    """
    others = [each for each in candidates if each.key != source.key]
    home = source.entry.data_centre
    elsewhere = [each for each in others if each.entry.data_centre != home]
    calm = [
        each for each in elsewhere if not is_suspect_data_centre(each.entry.data_centre)
    ]
    for group in (calm, elsewhere, others):
        chosen = choose_engine(
            group, demand=demand, memory_tokens=memory_tokens, peers=peers, rng=rng
        )
        if chosen is not None:
            return chosen
    return None
