"""Selection of the backend server for a request."""

from __future__ import annotations

import abc
import math
import random
from collections.abc import Sequence, Set
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._prefix_map import PrefixMap
from ebonyhaven_decisions._server_table import ServerTable
from ebonyhaven_decisions._servers import ServerState
from ebonyhaven_decisions._work import ServerChoice, WorkItem

SAMPLED_CANDIDATES = 3
MAX_CACHED_CANDIDATES = 2
HASHED_CANDIDATES = 2
MAX_SCANNED_SERVERS = 32
MAX_SAMPLE_DRAWS = 12
REMOTE_DATA_CENTRE_DELAY_S = 0.003
REMOTE_REGION_DELAY_S = 0.1
FULL_LOAD_DELAY_S = 0.05  # added to the score of a server at its concurrency limit
SPARE_SLOTS = 1
CAPPED_CAPACITY_SHARE = 0.4


class SlotAllowance(NamedTuple):
    """Slots of each backend server that a request may occupy.

    Parameters
    ----------
    reserved_share : float
        Share of the capacity that is reserved for more urgent classes.
    may_exceed_limit : bool
        Whether the request may use slots between the concurrency limit and the
        capacity, as urgent requests and resumed streams do.
    spare_slots : int
        Slots that are left free for resumed streams and underserved workspaces.
    is_unbounded : bool
        Whether the request may be queued at a server without a free slot.
    avoided : set of str
        Names of servers that are reserved for more urgent classes.
    preferred : sequence of ServerState
        Servers that are reserved for the class of the request.
    freed : sequence of ServerState
        Servers on which a request of this instance has just freed a slot.
        `spare_slots` does not apply to them, since other instances do not know of
        the free slot yet.
    capped : set of str
        Names of servers that the request may only fill up to
        `CAPPED_CAPACITY_SHARE` of their capacity.
    """

    reserved_share: float = 0.0
    may_exceed_limit: bool = False
    spare_slots: int = SPARE_SLOTS
    is_unbounded: bool = False
    avoided: Set[str] = frozenset()
    preferred: Sequence[ServerState] = ()
    freed: Sequence[ServerState] = ()
    capped: Set[str] = frozenset()


class Locality(NamedTuple):
    """Data centre and region of an instance.

    Parameters
    ----------
    data_centre, region : str
    """

    data_centre: str = ""
    region: str = ""


def has_free_slot(server: ServerState, allowance: SlotAllowance, now: float) -> bool:
    """Return whether a server has a free slot for a request.

    Parameters
    ----------
    server : ServerState
    allowance : SlotAllowance
    now : float
        Seconds.
    """
    if allowance.is_unbounded:
        return True
    usable_slots = float(server.capacity)
    if not allowance.may_exceed_limit:
        reserved = math.ceil(server.capacity * allowance.reserved_share)
        usable_slots = min(server.limit.slots, usable_slots) - reserved
    if allowance.capped and server.name in allowance.capped:
        usable_slots = min(usable_slots, server.capacity * CAPPED_CAPACITY_SHARE)
    if server not in allowance.freed:
        usable_slots -= allowance.spare_slots
    return server.estimate_load(now) + 1.0 <= max(usable_slots, 1.0)


class Router(abc.ABC):
    """Chooses the backend server of a request."""

    @abc.abstractmethod
    def choose(
        self,
        item: WorkItem,
        table: ServerTable,
        *,
        allowance: SlotAllowance,
        excluded: Set[str],
        now: float,
    ) -> ServerChoice | None:
        """Choose a server, or return None when no server has a free slot.

        Parameters
        ----------
        item : WorkItem
        table : ServerTable
        allowance : SlotAllowance
        excluded : set of str
            Names of servers that are not eligible.
        now : float
            Seconds.
        """

    def record_dispatch(self, item: WorkItem, server: ServerState, now: float) -> None:
        """Record that a request was dispatched to a server."""
        return

    def record_cached(self, server: str, digest: str, now: float) -> None:
        """Record that a server has cached a prefix."""
        return

    def record_evicted(self, server: str, digest: str) -> None:
        """Record that a server has evicted a prefix from its cache."""
        return


class RoundRobinRouter(Router):
    """Cycles through the listed servers regardless of their load."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self,
        item: WorkItem,
        table: ServerTable,
        *,
        allowance: SlotAllowance,
        excluded: Set[str],
        now: float,
    ) -> ServerChoice | None:
        """Choose the next server in turn; see `Router.choose`."""
        servers = table.list_for(item.model)
        for _ in servers:
            self._next = (self._next + 1) % len(servers)
            server = servers[self._next]
            if server.is_usable(now) and server.name not in excluded:
                return ServerChoice(server=server)
        return None


class LeastConnectionsRouter(Router):
    """Chooses the server with the fewest requests of this instance in flight.

    Parameters
    ----------
    random_source : random.Random
        Breaks ties.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def choose(
        self,
        item: WorkItem,
        table: ServerTable,
        *,
        allowance: SlotAllowance,
        excluded: Set[str],
        now: float,
    ) -> ServerChoice | None:
        """Choose the server with the fewest requests; see `Router.choose`."""
        usable = [
            server
            for server in table.list_for(item.model)
            if server.is_usable(now) and server.name not in excluded
        ]
        if not usable:
            return None
        least = min(server.local_in_flight for server in usable)
        tied = [server for server in usable if server.local_in_flight == least]
        return ServerChoice(server=self._random.choice(tied))


class LoadAwareRouter(Router):
    """Scores a few servers by predicted time to first token, load and distance.

    The candidates are servers that have cached a prefix of the prompt, servers
    that the first prefix hashes to, and a random sample. Because each instance
    draws its sample independently, a stale load report does not direct all
    instances to the same server.

    Parameters
    ----------
    random_source : random.Random
    locality : Locality
        Data centre and region of this instance.
    """

    def __init__(self, random_source: random.Random, locality: Locality) -> None:
        self._random = random_source
        self._locality = locality
        self._prefixes = PrefixMap()

    def choose(
        self,
        item: WorkItem,
        table: ServerTable,
        *,
        allowance: SlotAllowance,
        excluded: Set[str],
        now: float,
    ) -> ServerChoice | None:
        """Choose the candidate with the lowest score; see `Router.choose`."""
        query = _Query(item, table, allowance, excluded, now)
        cached = self._prefixes.find_cached(item, now)
        candidates = self._collect_candidates(query, cached)
        best: ServerState | None = None
        best_score = math.inf
        for server in candidates.values():
            score = self._score(item, server, cached.get(server.name, 0), now)
            if score < best_score:
                best, best_score = server, score
        return _build_choice(item, best, cached.get(best.name, 0)) if best else None

    def record_dispatch(self, item: WorkItem, server: ServerState, now: float) -> None:
        """Assume that the server caches the prefixes of a dispatched request."""
        for digest in item.prefix_digests:
            self._prefixes.record(server.name, digest, now)

    def record_cached(self, server: str, digest: str, now: float) -> None:
        """Record that a server has cached a prefix."""
        self._prefixes.record(server, digest, now)

    def record_evicted(self, server: str, digest: str) -> None:
        """Record that a server has evicted a prefix from its cache."""
        self._prefixes.remove(server, digest)

    def _collect_candidates(
        self, query: _Query, cached: dict[str, int]
    ) -> dict[str, ServerState]:
        candidates: dict[str, ServerState] = {}
        for server in query.allowance.freed:
            query.add(server, candidates)
        servers = sorted(cached, key=cached.__getitem__, reverse=True)
        for name in servers[:MAX_CACHED_CANDIDATES]:
            query.add(query.table.get(name), candidates)
        if query.item.prefix_digests:
            digest = query.item.prefix_digests[0]
            model = query.item.model
            for server in query.table.list_by_hash(model, digest, HASHED_CANDIDATES):
                query.add(server, candidates)
        if query.allowance.preferred:
            self._add_sample(query, query.allowance.preferred, candidates)
        if not query.allowance.preferred or len(candidates) < SAMPLED_CANDIDATES:
            self._add_sample(query, query.table.list_for(query.item.model), candidates)
        return candidates

    def _add_sample(
        self,
        query: _Query,
        servers: Sequence[ServerState],
        candidates: dict[str, ServerState],
    ) -> None:
        """Add randomly chosen servers; a short list is scanned completely."""
        count = len(servers)
        target_count = min(len(candidates) + SAMPLED_CANDIDATES, count)
        is_short = count <= MAX_SCANNED_SERVERS
        position = 0
        for step in range(count if is_short else MAX_SAMPLE_DRAWS):
            if len(candidates) >= target_count:
                return
            if is_short and step:
                position = (position + 1) % count
            else:
                position = int(self._random.random() * count)
            query.add(servers[position], candidates)

    def _score(
        self, item: WorkItem, server: ServerState, cached_tokens: int, now: float
    ) -> float:
        delay = server.predict_first_token_s(item.prompt_tokens, cached_tokens)
        load = server.estimate_load(now) / max(server.limit.slots, 1.0)
        delay += FULL_LOAD_DELAY_S * load
        if server.entry.region != self._locality.region:
            return delay + REMOTE_REGION_DELAY_S
        if server.entry.data_centre != self._locality.data_centre:
            return delay + REMOTE_DATA_CENTRE_DELAY_S
        return delay


@attrs.frozen(slots=True)
class _Query:
    item: WorkItem
    table: ServerTable
    allowance: SlotAllowance
    excluded: Set[str]
    now: float

    def add(
        self, server: ServerState | None, candidates: dict[str, ServerState]
    ) -> None:
        if server is None or not server.is_usable(self.now):
            return
        if not has_free_slot(server, self.allowance, self.now):
            return
        name = server.name
        if name in self.excluded or name in self.allowance.avoided:
            return
        if server.serves(self.item.model):
            candidates[name] = server


def _build_choice(
    item: WorkItem, server: ServerState, cached_tokens: int
) -> ServerChoice:
    return ServerChoice(
        server=server,
        cached_tokens=cached_tokens,
        predicted_first_token_s=server.predict_first_token_s(
            item.prompt_tokens, cached_tokens
        ),
    )
