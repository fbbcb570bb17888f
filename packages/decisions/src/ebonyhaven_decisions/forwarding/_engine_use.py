"""Use of engines by the runs and copies of all instances."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ebonyhaven_decisions.forwarding._backends import Backend

USABLE_MEMORY_SHARE = 0.92  # leaves memory for runs of unknown output length
SUM_TTL_S = 0.05  # of the sum of all reports; some may expire meanwhile
ROOM_MEMORY_SHARE = 0.5  # with less in use, an additional prompt delays nobody


class EngineUse(NamedTuple):
    """Tokens that the requests of an instance occupy on an engine.

    Parameters
    ----------
    run_tokens, copy_tokens : int
        Engine memory of runs and of copies.
    prefill_tokens : int
        Prompt tokens that the engine has yet to prefill.
    """

    run_tokens: int = 0
    copy_tokens: int = 0
    prefill_tokens: int = 0


class TokenDemand(NamedTuple):
    """Engine memory that a generation requires.

    Parameters
    ----------
    prompt_tokens : int
    output_tokens : int
        Maximum length of the output.
    """

    prompt_tokens: int
    output_tokens: int

    @property
    def tokens(self) -> int:
        """Memory at the end of a generation of maximum length."""
        return self.prompt_tokens + self.output_tokens


class PeerEngineUse:
    """Usage of engines as reported by the other instances.

    Parameters
    ----------
    ttl_s : float
        Age after which a report is dropped, seconds.
    """

    __slots__ = ("_reports", "_sum", "_summed_at", "_ttl_s")

    def __init__(self, ttl_s: float):
        self._ttl_s = ttl_s
        self._sum: dict[str, EngineUse] = {}
        self._summed_at = -math.inf
        self._reports: dict[str, tuple[float, Mapping[str, EngineUse]]] = {}

    def record(self, peer: str, uses: Mapping[str, EngineUse], now: float) -> None:
        """Replace the report of a peer.

        Parameters
        ----------
        peer : str
        uses : mapping of str to EngineUse
            By server id.
        now : float
            Seconds.
        """
        self._reports[peer] = (now, uses)
        self._summed_at = -math.inf

    def sum_by_server(self, now: float) -> dict[str, EngineUse]:
        """Return the usage of all peers together.

        All requests that wait share one sum until the next report.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        dict of str to EngineUse
            By server id; not to be changed.
        """
        if not 0.0 <= now - self._summed_at < SUM_TTL_S:
            self._sum = self._add_up(now)
            self._summed_at = now
        return self._sum

    def _add_up(self, now: float) -> dict[str, EngineUse]:
        total: dict[str, EngineUse] = {}
        for peer, (reported_at, uses) in list(self._reports.items()):
            if now - reported_at > self._ttl_s:
                del self._reports[peer]
                continue
            for server_id, use in uses.items():
                subtotal = total.get(server_id, EngineUse())
                total[server_id] = EngineUse(
                    *(a + b for a, b in zip(subtotal, use, strict=True))
                )
        return total


def estimate_use(backend: Backend, peers: Mapping[str, EngineUse]) -> EngineUse:
    """Return the use of an engine by all instances together.

    Parameters
    ----------
    backend : Backend
    peers : mapping of str to EngineUse
        Usage of the other instances, by server id.
    """
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
    memory_share: float = USABLE_MEMORY_SHARE,
) -> bool:
    """Return whether a generation fits into the free memory of an engine.

    Parameters
    ----------
    backend : Backend
    demand : TokenDemand
    memory_tokens : int
        Memory capacity of the engine.
    peers : mapping of str to EngineUse
        Usage of the other instances, by server id.
    memory_share : float
        Share of the memory that may be used.
    """
    use = estimate_use(backend, peers)
    used_tokens = use.run_tokens + use.copy_tokens
    return used_tokens + demand.tokens <= memory_share * memory_tokens


def have_room(
    engines: Sequence[Backend], memory_tokens: int, peers: Mapping[str, EngineUse]
) -> bool:
    """Return whether engines have room for prompts that may be in vain.

    Parameters
    ----------
    engines : sequence of Backend
    memory_tokens : int
        Memory capacity of one engine.
    peers : mapping of str to EngineUse
        Usage of the other instances, by server id.
    """
    uses = [estimate_use(each, peers) for each in engines]
    used_tokens = sum(use.run_tokens + use.copy_tokens for use in uses)
    return used_tokens < ROOM_MEMORY_SHARE * memory_tokens * len(engines)


def sum_run_tokens(engines: Sequence[Backend], peers: Mapping[str, EngineUse]) -> int:
    """Return the memory of the runs on engines.

    Parameters
    ----------
    engines : sequence of Backend
    peers : mapping of str to EngineUse
        Usage of the other instances, by server id.
    """
    return sum(estimate_use(each, peers).run_tokens for each in engines)


def count_queued_prefill_tokens(
    backend: Backend, peers: Mapping[str, EngineUse]
) -> int:
    """Return the prompt tokens that an engine has yet to prefill.

    Parameters
    ----------
    backend : Backend
    peers : mapping of str to EngineUse
        Usage of the other instances, by server id.
    """
    return estimate_use(backend, peers).prefill_tokens
