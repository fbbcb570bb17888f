"""Configurations that a soak puts in force, and what each of them allows."""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

from twisted.internet import reactor

from tests.platform_adapter.stand_ins import HOST, KEY
from tests.platform_adapter.store_stand_in import StoreStandIn

TABLE, ROW = "op", "config"
PLAIN_TIMEOUT_S = 0.8
LONG_ROUTE_TIMEOUT_S = 14.0
MOVED_PATHS = ("/moved-0/", "/moved-1/")
ADDED_PATHS = ("/added-0/", "/added-1/", "/added-2/")
TIMED_PATH = "/timed/"
KEPT_PATH = "/kept/"  # streams of seconds that callers take up
STREAM_SERVICES = ("engines", "writers")
TIMEOUTS_S = (0.3, 0.6, 0.9)  # of the route whose requests last longer
EXTRA_KEYS = ("k2", "k3")
SERVICES = ("plain", "other")
VERSION_STEPS = (1, 40)
MAX_CHANGES = 3  # in one version
LIMITS_MS = {"headerTimeoutMs": (500, 5000), "idleTimeoutMs": (1000, 2000, 10_000)}
MAX_CONNECTIONS = (60, 100, 200)
UNUSED_KEYS = ("u1", "u2", "u3", "u4")  # of workspaces that send nothing
ROUTE_TIMEOUTS_S = {
    "once": PLAIN_TIMEOUT_S,
    "repeat": PLAIN_TIMEOUT_S,
    "fixed": 5.0,
    "stream": 5.0,
    **{path.strip("/"): PLAIN_TIMEOUT_S for path in (*MOVED_PATHS, *ADDED_PATHS)},
    "timed": max(TIMEOUTS_S),
}
FIXED_SERVICES = {
    "/once/": "plain",
    "/repeat/": "plain",
    "/fixed/": "engines",
    "/stream/": "engines",
    "/long/": "engines",
}


class KeptStreams(enum.Enum):
    """Streams of seconds that callers take up after the loss of their instance."""

    NONE = "none"
    PLAIN = "plain"  # of one service, each prompt asked for once
    SPLIT = "split"  # split among services, prompts asked for more than once


class PlayedVersion(NamedTuple):
    """A version of the configuration.

    Parameters
    ----------
    version : int
    at : float
        When the store accepted it; seconds of the reactor's clock.
    services : dict of str to frozenset of str
        Services to which requests may go, by the prefix of their path.
    keys : frozenset of str
    timeout_s : float
        Timeout of the route whose requests last longer.
    """

    version: int
    at: float
    services: dict[str, frozenset[str]]
    keys: frozenset[str]
    timeout_s: float

    def allows(self, path: str, key: str) -> bool:
        return bool(self.find_services(path, key))

    def find_services(self, path: str, key: str) -> frozenset[str]:
        """Return where a request may go; nowhere if it is to be refused."""
        prefix = path[: path.index("/", 1) + 1]
        if key not in self.keys:
            return frozenset()
        return self.services.get(prefix, frozenset())


class ConfigurationPlay:
    """Changes routes, shares, keys and timeouts in versions drawn at random.

    Parameters
    ----------
    store : StoreStandIn
    rng : random.Random
    has_long_streams : bool
    kept_streams : KeptStreams
    changes_limits : bool
        Whether limits, connections and workspaces change as well.
    more_routes : int
        Routes that no caller uses.

    Attributes
    ----------
    played : list of PlayedVersion
    kept_streams : KeptStreams
    """

    def __init__(
        self,
        store: StoreStandIn,
        rng: random.Random,
        *,
        has_long_streams: bool,
        kept_streams: KeptStreams = KeptStreams.NONE,
        changes_limits: bool = False,
        more_routes: int = 0,
    ):
        self.kept_streams = kept_streams
        self._changes_limits = changes_limits
        self._more_routes = more_routes
        self._limits: dict[str, int] = {}
        self._max_connections = 100
        self._unused_keys: set[str] = set()
        self._kept_shares = {"engines": 1.0}
        self._store = store
        self._rng = rng
        self._has_long_streams = has_long_streams
        self._version = 1
        self._shares: dict[str, dict[str, float]] = {
            path: {"plain": 1.0} for path in MOVED_PATHS
        }
        self._keys = {KEY}
        self._timeout_s = TIMEOUTS_S[-1]
        self.played: list[PlayedVersion] = []

    def change(self) -> None:
        """Write a version with one or more changes."""
        changes = [
            self._move_route,
            self._split_route,
            self._toggle_route,
            self._toggle_route,
            self._toggle_key,
            self._change_timeout,
        ]
        if self._changes_limits:
            changes += [
                self._change_limits,
                self._change_connections,
                self._toggle_workspace,
            ]
        for _ in range(self._rng.randint(1, MAX_CHANGES)):
            self._rng.choice(changes)()
        self._split_streams()
        self._version += self._rng.randint(*VERSION_STEPS)
        self.write()

    def write(self) -> None:
        """Write the present version."""
        self._store.put(TABLE, ROW, self._make_document())
        services = {path: frozenset((name,)) for path, name in FIXED_SERVICES.items()}
        services |= {path: frozenset(shares) for path, shares in self._shares.items()}
        services[TIMED_PATH] = frozenset(("other",))
        services[KEPT_PATH] = frozenset(self._kept_shares)
        self.played.append(
            PlayedVersion(
                self._version,
                reactor.seconds(),
                services,
                frozenset(self._keys),
                self._timeout_s,
            )
        )

    def write_again(self) -> None:
        """Write the present version once more, after a restore of the store."""
        self._store.put(TABLE, ROW, self._make_document())

    def add_route(self) -> str:
        """Write a version with a route that was not there; return its path."""
        path = next(each for each in ADDED_PATHS if each not in self._shares)
        self._shares[path] = {"other": 1.0}
        self._version += self._rng.randint(*VERSION_STEPS)
        self.write()
        return path

    def list_keys(self) -> tuple[str, ...]:
        """Return all keys that any version may have."""
        return (KEY, *EXTRA_KEYS)

    def _move_route(self) -> None:
        path = self._rng.choice(list(self._shares))
        self._shares[path] = {self._rng.choice(SERVICES): 1.0}

    def _split_route(self) -> None:
        path = self._rng.choice(list(self._shares))
        self._shares[path] = {name: self._rng.uniform(0.1, 1.0) for name in SERVICES}

    def _split_streams(self) -> None:
        if self.kept_streams is KeptStreams.SPLIT:
            self._kept_shares = {
                name: self._rng.uniform(0.1, 1.0) for name in STREAM_SERVICES
            }

    def _toggle_route(self) -> None:
        path = self._rng.choice(ADDED_PATHS)
        if self._shares.pop(path, None) is None:
            self._shares[path] = {self._rng.choice(SERVICES): 1.0}

    def _toggle_key(self) -> None:
        self._keys ^= {self._rng.choice(EXTRA_KEYS)}

    def _change_timeout(self) -> None:
        self._timeout_s = self._rng.choice(TIMEOUTS_S)

    def _change_limits(self) -> None:
        self._limits = {
            name: self._rng.choice(values) for name, values in LIMITS_MS.items()
        }

    def _change_connections(self) -> None:
        self._max_connections = self._rng.choice(MAX_CONNECTIONS)

    def _toggle_workspace(self) -> None:
        self._unused_keys ^= {self._rng.choice(UNUSED_KEYS)}

    def _make_document(self) -> dict:
        return {
            "version": self._version,
            "routes": [
                *_make_fixed_routes(has_long_streams=self._has_long_streams),
                *(
                    _make_split_route(path, shares)
                    for path, shares in self._shares.items()
                ),
                _make_route(TIMED_PATH, "idempotent", "other", 1, self._timeout_s),
                *self._make_kept_routes(),
                *(
                    _make_split_route(f"/unused-{number}/", {"other": 1.0})
                    for number in range(self._more_routes)
                ),
            ],
            "services": [
                {"name": "plain", "maxConnections": self._max_connections},
                {"name": "other", "maxConnections": self._max_connections},
                *(
                    {
                        "name": name,
                        "maxConnections": self._max_connections,
                        "engine": {
                            "slots": 8,
                            "kvCapacityTokens": 88000,
                            "backups": False,
                        },
                    }
                    for name in STREAM_SERVICES
                ),
            ],
            "limits": self._limits,
            "tenants": [
                {"name": f"studio-{key}", "apiKeys": [key]}
                for key in sorted(self._keys | self._unused_keys)
            ],
        }

    def _make_kept_routes(self) -> list[dict]:
        if self.kept_streams is KeptStreams.NONE:
            return []
        timeout_s = LONG_ROUTE_TIMEOUT_S
        route = _make_route(KEPT_PATH, "streaming", "engines", 3, timeout_s)
        route |= {"targetLatencyMs": 2500, "targetItlMs": 700, "streamResume": True}
        return [_add_shares(route, self._kept_shares)]


def _make_route(path, kind, service, attempts, timeout_s, **options) -> dict:
    return {
        "name": path.strip("/"),
        "host": HOST,
        "pathPrefix": path,
        "kind": kind,
        "timeoutMs": int(timeout_s * 1000),
        "targetLatencyMs": 200,
        "maxAttempts": attempts,
        "service": service,
        **options,
    }


def _make_fixed_routes(*, has_long_streams: bool) -> list[dict]:
    """Return a route of each kind that must keep a promise."""
    stream = {"targetItlMs": 700}
    routes = [
        _make_route("/once/", "non_idempotent", "plain", 1, PLAIN_TIMEOUT_S),
        _make_route("/repeat/", "idempotent", "plain", 2, PLAIN_TIMEOUT_S),
        _make_route("/fixed/", "streaming", "engines", 3, 5.0, **stream),
        _make_route(
            "/stream/", "streaming", "engines", 3, 5.0, streamResume=True, **stream
        ),
    ]
    if has_long_streams:
        timeout_s = LONG_ROUTE_TIMEOUT_S
        long = _make_route("/long/", "streaming", "engines", 3, timeout_s, **stream)
        routes.append(long | {"targetLatencyMs": 2500})
    return routes


def _make_split_route(path: str, shares: dict[str, float]) -> dict:
    route = _make_route(path, "non_idempotent", "plain", 1, PLAIN_TIMEOUT_S)
    return _add_shares(route, shares)


def _add_shares(route: dict, shares: dict[str, float]) -> dict:
    route["service"] = next(iter(shares))
    if len(shares) > 1:
        route["trafficSplit"] = [
            {"service": name, "weight": weight} for name, weight in shares.items()
        ]
    return route
