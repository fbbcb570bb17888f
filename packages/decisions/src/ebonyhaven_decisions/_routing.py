"""Choice of a backend server for one request."""

from __future__ import annotations

import abc
import math
import random
from collections import OrderedDict
from collections.abc import Sequence, Set
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._server_table import ServerTable
from ebonyhaven_decisions._servers import ServerState
from ebonyhaven_decisions._work import Choice, WorkItem

SAMPLED_SERVERS = 3
MAX_HOLDERS = 2
PLACED_SERVERS = 2
MAX_SEARCHED = 32
MAX_SAMPLED = 12
MAX_PREFIXES = 16384
MAX_PREFIX_SERVERS = 4
PREFIX_MEMORY_S = 300.0
REMOTE_CENTRE_DELAY_S = 0.003
REMOTE_REGION_DELAY_S = 0.1
LOAD_DELAY_S = 0.05
SPARE_SLOTS = 1
CAPPED_FILL = 0.4


class Room(NamedTuple):
    """Part of the slots of each server that a request may fill.

    Parameters
    ----------
    reserved_share : float
        Share of the capacity that is kept free for others.
    may_exceed_limit : bool
        Whether the request may use slots between the limit and the capacity, as
        an urgent request and a resumed stream do.
    spare_slots : int
        Slots that are kept for resumed streams and for workspaces that were
        served less than others.
    is_unbounded : bool
        Whether the request may wait in the queue of a full server.
    avoided : set of str
        Names of servers that are kept for more urgent classes.
    preferred : sequence of ServerState
        Servers that are kept for the class of the request.
    freed : sequence of ServerState
        Servers with a slot that a request of this instance left a moment ago; the
        spare slots do not apply, as no other instance counts on that slot.
    capped : set of str
        Names of servers that the request may fill to `CAPPED_FILL` only.
    """

    reserved_share: float = 0.0
    may_exceed_limit: bool = False
    spare_slots: int = SPARE_SLOTS
    is_unbounded: bool = False
    avoided: Set[str] = frozenset()
    preferred: Sequence[ServerState] = ()
    freed: Sequence[ServerState] = ()
    capped: Set[str] = frozenset()


class Place(NamedTuple):
    """Where this instance runs.

    Parameters
    ----------
    data_centre, region : str
    """

    data_centre: str = ""
    region: str = ""


def has_room(server: ServerState, room: Room, now: float) -> bool:
    """Return whether a request fits on a server.

    Parameters
    ----------
    server : ServerState
    room : Room
    now : float
        Seconds.
    """
    if room.is_unbounded:
        return True
    top = float(server.capacity)
    if not room.may_exceed_limit:
        kept = math.ceil(server.capacity * room.reserved_share)
        top = min(server.limit.slots, top) - kept
    if room.capped and server.name in room.capped:
        top = min(top, server.capacity * CAPPED_FILL)
    if server not in room.freed:
        top -= room.spare_slots
    return server.estimate_load(now) + 1.0 <= max(top, 1.0)


class Router(abc.ABC):
    """Chooses the backend server of a request."""

    @abc.abstractmethod
    def choose(
        self,
        item: WorkItem,
        table: ServerTable,
        *,
        room: Room,
        excluded: Set[str],
        now: float,
    ) -> Choice | None:
        """Choose a server, or return None when none can take the request now.

        Parameters
        ----------
        item : WorkItem
        table : ServerTable
        room : Room
        excluded : set of str
            Names of servers that must not be chosen.
        now : float
            Seconds.
        """

    def record_dispatch(self, item: WorkItem, server: ServerState, now: float) -> None:
        """Note that a request went to a server."""
        return

    def record_cached(self, server: str, digest: str, now: float) -> None:
        """Note that a server holds a prefix in its cache."""
        return

    def record_evicted(self, server: str, digest: str) -> None:
        """Note that a server dropped a prefix from its cache."""
        return


class RoundRobinRouter(Router):
    """Takes the listed servers in turn and ignores their load."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self,
        item: WorkItem,
        table: ServerTable,
        *,
        room: Room,
        excluded: Set[str],
        now: float,
    ) -> Choice | None:
        """Choose the next server in turn; see `Router.choose`."""
        servers = table.list_for(item.model)
        for _ in servers:
            self._next = (self._next + 1) % len(servers)
            server = servers[self._next]
            if server.is_usable(now) and server.name not in excluded:
                return Choice(server=server)
        return None


class LeastConnectionsRouter(Router):
    """Takes the server with the fewest requests of this instance.

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
        room: Room,
        excluded: Set[str],
        now: float,
    ) -> Choice | None:
        """Choose the server with the fewest own requests; see `Router.choose`."""
        usable = [
            server
            for server in table.list_for(item.model)
            if server.is_usable(now) and server.name not in excluded
        ]
        if not usable:
            return None
        least = min(server.own_in_flight for server in usable)
        tied = [server for server in usable if server.own_in_flight == least]
        return Choice(server=self._random.choice(tied))


class PrefixMap:
    """Servers that are thought to hold prefixes; bounded, the oldest go first."""

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def record(self, server: str, digest: str, now: float) -> None:
        """Note that a server holds a prefix."""
        holders = self._holders.setdefault(digest, {})
        holders.pop(server, None)
        holders[server] = now
        if len(holders) > MAX_PREFIX_SERVERS:
            del holders[next(iter(holders))]
        self._holders.move_to_end(digest)
        if len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def forget(self, server: str, digest: str) -> None:
        """Note that a server dropped a prefix."""
        holders = self._holders.get(digest)
        if holders is None:
            return
        holders.pop(server, None)
        if not holders:
            del self._holders[digest]

    def find_cached(self, item: WorkItem, now: float) -> dict[str, int]:
        """Return the cached tokens of a prompt by name of server."""
        cached: dict[str, int] = {}
        for digest, tokens in zip(item.prefix_digests, item.prefix_tokens, strict=True):
            for server, seen_at in self._holders.get(digest, {}).items():
                if now - seen_at <= PREFIX_MEMORY_S:
                    cached[server] = max(tokens, cached.get(server, 0))
        return cached


class LoadAwareRouter(Router):
    """Compares a few servers by predicted first token, load and distance.

    The candidates are servers whose cache holds a prefix, servers on which the
    first prefix is placed by hash, and a random sample. Since each instance
    samples for itself, late reports do not draw all of them to one server.

    Parameters
    ----------
    random_source : random.Random
    place : Place
        Where this instance runs.
    """

    def __init__(self, random_source: random.Random, place: Place) -> None:
        self._random = random_source
        self._place = place
        self._prefixes = PrefixMap()

    def choose(
        self,
        item: WorkItem,
        table: ServerTable,
        *,
        room: Room,
        excluded: Set[str],
        now: float,
    ) -> Choice | None:
        """Choose the best of a few servers; see `Router.choose`."""
        query = _Query(item, table, room, excluded, now)
        cached = self._prefixes.find_cached(item, now)
        candidates = self._collect(query, cached)
        best: ServerState | None = None
        best_score = math.inf
        for server in candidates.values():
            score = self._score(item, server, cached.get(server.name, 0), now)
            if score < best_score:
                best, best_score = server, score
        return _predict(item, best, cached.get(best.name, 0)) if best else None

    def record_dispatch(self, item: WorkItem, server: ServerState, now: float) -> None:
        """Expect the prefixes of a request in the cache of its server."""
        for digest in item.prefix_digests:
            self._prefixes.record(server.name, digest, now)

    def record_cached(self, server: str, digest: str, now: float) -> None:
        """Note that a server holds a prefix in its cache."""
        self._prefixes.record(server, digest, now)

    def record_evicted(self, server: str, digest: str) -> None:
        """Note that a server dropped a prefix from its cache."""
        self._prefixes.forget(server, digest)

    def _collect(self, query: _Query, cached: dict[str, int]) -> dict[str, ServerState]:
        found: dict[str, ServerState] = {}
        for server in query.room.freed:
            query.add(server, found)
        holders = sorted(cached, key=cached.__getitem__, reverse=True)
        for name in holders[:MAX_HOLDERS]:
            query.add(query.table.get(name), found)
        if query.item.prefix_digests:
            digest = query.item.prefix_digests[0]
            model = query.item.model
            for server in query.table.list_near(model, digest, PLACED_SERVERS):
                query.add(server, found)
        if query.room.preferred:
            self._sample(query, query.room.preferred, found)
        if not query.room.preferred or len(found) < SAMPLED_SERVERS:
            self._sample(query, query.table.list_for(query.item.model), found)
        return found

    def _sample(
        self,
        query: _Query,
        servers: Sequence[ServerState],
        found: dict[str, ServerState],
    ) -> None:
        """Add a few servers at random; short lists are searched to the end."""
        count = len(servers)
        wanted = min(len(found) + SAMPLED_SERVERS, count)
        is_short = count <= MAX_SEARCHED
        position = 0
        for step in range(count if is_short else MAX_SAMPLED):
            if len(found) >= wanted:
                return
            if is_short and step:
                position = (position + 1) % count
            else:
                position = int(self._random.random() * count)
            query.add(servers[position], found)

    def _score(
        self, item: WorkItem, server: ServerState, cached_tokens: int, now: float
    ) -> float:
        delay = server.predict_first_token_s(item.prompt_tokens, cached_tokens)
        load = server.estimate_load(now) / max(server.limit.slots, 1.0)
        delay += LOAD_DELAY_S * load
        if server.entry.region != self._place.region:
            return delay + REMOTE_REGION_DELAY_S
        if server.entry.data_centre != self._place.data_centre:
            return delay + REMOTE_CENTRE_DELAY_S
        return delay


@attrs.frozen(slots=True)
class _Query:
    item: WorkItem
    table: ServerTable
    room: Room
    excluded: Set[str]
    now: float

    def add(self, server: ServerState | None, found: dict[str, ServerState]) -> None:
        if server is None or not server.is_usable(self.now):
            return
        if not has_room(server, self.room, self.now):
            return
        name = server.name
        if name in self.excluded or name in self.room.avoided:
            return
        if server.serves(self.item.model):
            found[name] = server


def _predict(item: WorkItem, server: ServerState, cached_tokens: int) -> Choice:
    return Choice(
        server=server,
        cached_tokens=cached_tokens,
        predicted_first_token_s=server.predict_first_token_s(
            item.prompt_tokens, cached_tokens
        ),
    )
