"""Map from prefixes of prompts to the servers that probably have them cached."""

from __future__ import annotations

from collections import OrderedDict

from ebonyhaven_decisions._work import WorkItem

MAX_PREFIXES = 16384
MAX_PREFIX_SERVERS = 4
PREFIX_TTL_S = 300.0


class PrefixMap:
    """Bounded map from prefixes to the servers that probably have them cached.

    The least recently recorded entries are evicted first.
    """

    __slots__ = ("_servers",)

    def __init__(self) -> None:
        self._servers: OrderedDict[str, dict[str, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._servers)

    def record(self, server: str, digest: str, now: float) -> None:
        """Record that a server has cached a prefix."""
        servers = self._servers.setdefault(digest, {})
        servers.pop(server, None)
        servers[server] = now
        if len(servers) > MAX_PREFIX_SERVERS:
            del servers[next(iter(servers))]
        self._servers.move_to_end(digest)
        if len(self._servers) > MAX_PREFIXES:
            self._servers.popitem(last=False)

    def remove(self, server: str, digest: str) -> None:
        """Record that a server has evicted a prefix."""
        servers = self._servers.get(digest)
        if servers is None:
            return
        servers.pop(server, None)
        if not servers:
            del self._servers[digest]

    def find_cached(self, item: WorkItem, now: float) -> dict[str, int]:
        """Return the number of cached prompt tokens by server name."""
        cached: dict[str, int] = {}
        for digest, tokens in zip(item.prefix_digests, item.prefix_tokens, strict=True):
            for server, seen_at in self._servers.get(digest, {}).items():
                if now - seen_at <= PREFIX_TTL_S:
                    cached[server] = max(tokens, cached.get(server, 0))
        return cached
