"""Platform stand-in as a child process of tests."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

from ebonyhaven_standins.cluster import Cluster, PlatformClient


@contextlib.contextmanager
def run_platform(*options: str) -> Iterator[str]:
    """Run a platform stand-in and yield its ``IP:PORT``."""
    with Cluster() as cluster:
        yield cluster.start_platform(*options)


def set_faults(address: str, **faults: Any) -> None:
    """Set faults that the stand-in injects."""
    PlatformClient(address).set_faults(**faults)
