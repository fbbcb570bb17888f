"""Watches how far messages to other instances fill the link of this instance."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable

import structlog
from ebonyhaven_decisions import LinkLoad
from prometheus_client import CollectorRegistry, Gauge

from ebonyhaven_node._frames import FrameKind

LONG_WAIT_S = 0.2  # servers that have not accepted by then are soon taken for lost
LOG_INTERVAL_S = 1.0

_log = structlog.get_logger()


class LinkMonitor:
    """Estimates how long messages wait for the link, and logs long waits.

    Parameters
    ----------
    bytes_per_s : float or None
        What the link carries; None if unknown, which makes all waits 0.
    registry : CollectorRegistry
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        bytes_per_s: float | None,
        registry: CollectorRegistry,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._load = LinkLoad(bytes_per_s) if bytes_per_s else None
        self._clock = clock
        self._sent: Counter[FrameKind] = Counter()  # since the link was last idle
        self._total: Counter[FrameKind] = Counter()
        self._logged_at = -math.inf
        gauge = Gauge(
            "ebonyhaven_control_link_wait_seconds",
            "Time that the link needs for the messages sent to other instances.",
            registry=registry,
        )
        gauge.set_function(self.measure_wait_s)

    def record_sent(self, kind: FrameKind, size: int) -> None:
        """Record a message to another instance.

        Parameters
        ----------
        kind : FrameKind
        size : int
            Bytes.
        """
        self._total[kind] += size
        if self._load is None:
            return
        now = self._clock()
        if self._load.measure_wait_s(now) <= 0.0:
            self._sent.clear()
        self._sent[kind] += size
        self._load.record(size, now)
        wait_s = self._load.measure_wait_s(now)
        if wait_s > LONG_WAIT_S and now - self._logged_at > LOG_INTERVAL_S:
            self._logged_at = now
            _log.warning(
                "link_filled",
                wait_s=round(wait_s, 2),
                sent=_name_kinds(self._sent),
            )

    def log_total(self) -> None:
        """Log the bytes of all messages by kind."""
        _log.info("messages_sent", sent=_name_kinds(self._total))

    def measure_wait_s(self) -> float:
        """Return the time until the link has carried all messages, seconds."""
        return self._load.measure_wait_s(self._clock()) if self._load else 0.0


def _name_kinds(sent: Counter[FrameKind]) -> dict[str, int]:
    return {kind.name.lower(): size for kind, size in sent.most_common()}
