"""Real processes of the platform stand-in for tests."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

from ebonyhaven_standins.cluster import Cluster, PlatformCaller


@contextlib.contextmanager
def run_platform(*options: str) -> Iterator[str]:
    """Run a platform stand-in and yield its address."""
    with Cluster() as cluster:
        yield cluster.start_platform(*options)


def set_faults(address: str, **faults: Any) -> None:
    """Change faults of the stand-in."""
    PlatformCaller(address).set_faults(**faults)
