"""Index of the backend servers by name, model and position on a hash ring."""

from __future__ import annotations

import bisect
import hashlib
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ebonyhaven_decisions._servers import ServerEntry, ServerState

RING_POINTS_PER_SERVER = 8


class _RingPoint(NamedTuple):
    position: int
    server: ServerState


class ServerTable:
    """Backend servers known to an instance, indexed by name and model."""

    __slots__ = ("_by_model", "_ordered", "_rings", "_servers")

    def __init__(self) -> None:
        self._servers: dict[str, ServerState] = {}
        self._by_model: dict[str, list[ServerState]] = {}
        self._ordered: dict[str, list[ServerState]] = {}
        self._rings: dict[str, list[_RingPoint]] = {}

    def __len__(self) -> int:
        return len(self._servers)

    def __iter__(self) -> Iterator[ServerState]:
        return iter(self._servers.values())

    def get(self, name: str) -> ServerState | None:
        """Return the state of a server, or None when it is not listed."""
        return self._servers.get(name)

    def replace(self, entries: Iterable[ServerEntry]) -> None:
        """Replace the list of servers.

        Servers that are still listed at the same address keep their state.

        Parameters
        ----------
        entries : iterable of ServerEntry
        """
        previous = self._servers
        self._servers = {}
        for entry in entries:
            state = previous.get(entry.name)
            if state is None or state.entry.address != entry.address:
                state = ServerState(entry=entry)
            state.entry = entry
            self._servers[entry.name] = state
        self._rebuild_index()

    def list_for(self, model: str) -> list[ServerState]:
        """Return the servers listed for a model; do not modify the list."""
        return self._by_model.get(model, [])

    def list_ordered(self, model: str) -> list[ServerState]:
        """Return the servers of a model in the same order on all instances."""
        return self._ordered.get(model, [])

    def list_by_hash(self, model: str, digest: str, count: int) -> list[ServerState]:
        """Return the servers that a digest hashes to, the same on all instances.

        Parameters
        ----------
        model : str
        digest : str
            Hexadecimal digest of a prefix.
        count : int
            Maximum number of servers.

        Returns
        -------
        list of ServerState
            Distinct servers in order of preference.
        """
        ring = self._rings.get(model)
        if not ring:
            return []
        start = bisect.bisect_left(ring, int(digest[:8], 16), key=lambda p: p.position)
        found: list[ServerState] = []
        for step in range(min(len(ring), count * RING_POINTS_PER_SERVER)):
            server = ring[(start + step) % len(ring)].server
            if server not in found:
                found.append(server)
            if len(found) == count:
                break
        return found

    def _rebuild_index(self) -> None:
        self._by_model = {}
        for state in self._servers.values():
            for model in state.entry.models:
                self._by_model.setdefault(model, []).append(state)
        self._ordered = {
            model: sorted(states, key=lambda state: _hash_point(state.name))
            for model, states in self._by_model.items()
        }
        self._rings = {
            model: _build_ring(states) for model, states in self._by_model.items()
        }


def _build_ring(states: list[ServerState]) -> list[_RingPoint]:
    points = [
        _RingPoint(_hash_point(f"{state.name}/{index}"), state)
        for state in states
        for index in range(RING_POINTS_PER_SERVER)
    ]
    return sorted(points, key=lambda point: (point.position, point.server.name))


def _hash_point(text: str) -> int:
    return int(hashlib.sha256(text.encode()).hexdigest()[:8], 16)
