"""Stand-in for a model engine with continuous batching and a prefix cache."""

from __future__ import annotations

from ebonyhaven_standins.engine._engine import Engine, RefusedError, StartRequest
from ebonyhaven_standins.engine._http import EngineHttpApi
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
    generate_origin,
    hash_prefixes,
    parse_origin,
)

__all__ = [
    "CacheEvent",
    "CacheEventFeed",
    "Engine",
    "EngineHttpApi",
    "EngineSettings",
    "LoadSampler",
    "PrefixCache",
    "RefusedError",
    "Run",
    "RunState",
    "Scheduler",
    "StartRequest",
    "count_tokens",
    "generate_origin",
    "hash_prefixes",
    "parse_origin",
]
