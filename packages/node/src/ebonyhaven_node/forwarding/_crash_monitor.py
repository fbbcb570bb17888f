"""Finds out which losses of servers may be the work of what they were running."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from ebonyhaven_decisions.forwarding import (
    SETTLE_S,
    Backend,
    CrashHistory,
    LossReport,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._connection_pool import ConnectFailure, ConnectionPool
from ebonyhaven_node.forwarding._metrics import ForwardingMetrics

CHECK_DELAY_S = 0.05  # shorter than a server restart
PROBE_TIMEOUT_S = 0.15  # a live server accepts within milliseconds

_log = structlog.get_logger()


class CrashMonitor:
    """Holds the contents of requests responsible for the servers lost under them.

    All kinds of requests report here each server that closed its connection before
    its response was complete. It has crashed if its process has ended: a server that
    answers nothing at all is lost for another reason. While a loss may be the last one
    that a content is allowed, the content is undecided and should not be sent on.

    Parameters
    ----------
    history : CrashHistory
    pool : ConnectionPool
    metrics : ForwardingMetrics
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    on_unreachable : callable
        Called with each `Backend` that accepted no connection in a check.
    on_loss : callable
        Called with the id of each process that was found ended, and again when a
        further content is known that it was running.
    on_survival : callable
        Called with each content that is no longer held responsible.
    on_change : callable
        Called when contents may have been decided.
    """

    def __init__(
        self,
        *,
        history: CrashHistory,
        pool: ConnectionPool,
        metrics: ForwardingMetrics,
        reactor: IReactorTime,
        clock: Callable[[], float],
        on_unreachable: Callable[[Backend], None],
        on_loss: Callable[[str], None],
        on_survival: Callable[[str], None],
        on_change: Callable[[], None],
    ):
        self._history = history
        self._pool = pool
        self._metrics = metrics
        self._reactor = reactor
        self._clock = clock
        self._on_unreachable = on_unreachable
        self._on_loss = on_loss
        self._on_survival = on_survival
        self._on_change = on_change
        self._pending: dict[str, int] = {}

    def is_blocked(self, content: str) -> bool:
        """Return whether a content may not be sent to servers any more.

        Parameters
        ----------
        content : str
            Digest of the content of a request.
        """
        return self._history.is_blocked(content, self._clock())

    def is_undecided(self, content: str) -> bool:
        """Return whether the content may be blocked soon.

        Parameters
        ----------
        content : str
        """
        now = self._clock()
        return not self._history.is_blocked(
            content, now
        ) and self._history.may_be_blocked_soon(
            content, now, unconfirmed_losses=self._pending.get(content, 0)
        )

    def check_loss(self, content: str, backend: Backend, *, has_begun: bool) -> None:
        """Check whether a server that closed its connection has crashed.

        Parameters
        ----------
        content : str
            Digest of the content that the server was running.
        backend : Backend
        has_begun : bool
            Whether the server had begun to answer.
        """
        lost_at = self._clock()
        self._pending[content] = self._pending.get(content, 0) + 1

        def log(result: str) -> None:
            self._log_check(content, backend, result, has_begun=has_begun)

        def handle_probe(failure: ConnectFailure | None) -> None:
            self._finish_check(content)
            if failure is None:
                log("alive")
            elif backend.is_leaving:
                log("left")
            elif failure.is_refused:
                self._on_unreachable(backend)
                self._record(backend, (content,), lost_at)
                log("crashed")
            else:
                self._on_unreachable(backend)
                log("silent")
            self.notify_of_losses()

        self._reactor.callLater(
            CHECK_DELAY_S,
            self._pool.probe_address,
            backend.entry.address,
            on_result=handle_probe,
            timeout_s=PROBE_TIMEOUT_S,
        )

    def record_ended(self, backend: Backend) -> None:
        """Record that the process of a server has ended, whatever it was running.

        Parameters
        ----------
        backend : Backend
        """
        is_known = self._history.is_known(backend.process_id)
        if not is_known and not backend.is_leaving:
            self._record(backend, (), self._clock())

    def record_survival(self, content: str) -> None:
        """Record that a server ran a content to an end, or far into its stream.

        Parameters
        ----------
        content : str
        """
        now = self._clock()
        if not self._history.count_crashes(content, now):
            return
        if self._history.add_survival(content, now):
            _log.info("content_cleared", content=content)
            self._on_survival(content)
            self._on_change()

    def notify_of_losses(self) -> None:
        """Have requests look at their contents again, now and once losses settled."""
        self._on_change()
        self._reactor.callLater(SETTLE_S, self._on_change)

    def _record(
        self, backend: Backend, contents: tuple[str, ...], lost_at: float
    ) -> None:
        now = self._clock()
        report = LossReport(
            backend.process_id, backend.entry.data_centre, now - lost_at, contents
        )
        if self._history.add(report, now) or not contents:
            self._on_loss(backend.process_id)

    def _finish_check(self, content: str) -> None:
        self._pending[content] -= 1
        if not self._pending[content]:
            del self._pending[content]

    def _log_check(
        self, content: str, backend: Backend, result: str, *, has_begun: bool
    ) -> None:
        self._metrics.losses_checked.labels(result).inc()
        _log.info(
            "server_loss_checked",
            content=content,
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            result=result,
            has_begun=has_begun,
            crashes=self._history.count_crashes(content, self._clock()),
        )
