"""Stand-in of a model engine with continuous batching and a prefix cache."""

from __future__ import annotations

from ebonyhaven_standins.engine._engine import Engine, RefusedError, Start
from ebonyhaven_standins.engine._http import EngineInterface
from ebonyhaven_standins.engine._load import LoadSampler
from ebonyhaven_standins.engine._prefix_cache import (
    CacheEvent,
    CacheEventFeed,
    PrefixCache,
)
from ebonyhaven_standins.engine._runs import Run, RunState
from ebonyhaven_standins.engine._scheduler import Scheduler
from ebonyhaven_standins.engine._settings import EngineSettings
from ebonyhaven_standins.engine._tokens import (
    count_tokens,
    draw_origin,
    hash_prefixes,
    read_origin,
)

__all__ = [
    "CacheEvent",
    "CacheEventFeed",
    "Engine",
    "EngineInterface",
    "EngineSettings",
    "LoadSampler",
    "PrefixCache",
    "RefusedError",
    "Run",
    "RunState",
    "Scheduler",
    "Start",
    "count_tokens",
    "draw_origin",
    "hash_prefixes",
    "read_origin",
]
