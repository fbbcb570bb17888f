"""Finds out which losses of servers count as crashes by the content of a request."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from ebonyhaven_decisions.forwarding import Backend, CrashHistory, LossReport
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._connection_pool import ConnectionPool
from ebonyhaven_node.forwarding._metrics import ForwardingMetrics
from ebonyhaven_node.forwarding._state import ForwardingState

CHECK_DELAY_S = 0.05  # shorter than a server restart
PROBE_TIMEOUT_S = 0.15  # a live server accepts within milliseconds
DATA_CENTRE_CHECK_DELAY_S = 0.2  # peers report losses within tens of milliseconds

_log = structlog.get_logger()


class CrashMonitor:
    """Holds the contents of requests responsible for the servers lost under them.

    All kinds of requests report here each server that was lost before its response
    was complete. While a loss is being checked that may be the last one that a content
    is allowed, the content is undecided and should not be sent to another server.

    Parameters
    ----------
    history : CrashHistory
    state : ForwardingState
    pool : ConnectionPool
    metrics : ForwardingMetrics
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    on_unreachable : callable
        Called with each `Backend` that refused the connection of a check.
    on_crash : callable
        Called with each content under which a server was lost.
    on_checked : callable
        Called after each check.
    """

    def __init__(
        self,
        *,
        history: CrashHistory,
        state: ForwardingState,
        pool: ConnectionPool,
        metrics: ForwardingMetrics,
        reactor: IReactorTime,
        clock: Callable[[], float],
        on_unreachable: Callable[[Backend], None],
        on_crash: Callable[[str], None],
        on_checked: Callable[[], None],
    ):
        self._history = history
        self._state = state
        self._pool = pool
        self._metrics = metrics
        self._reactor = reactor
        self._clock = clock
        self._on_unreachable = on_unreachable
        self._on_crash = on_crash
        self._on_checked = on_checked
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
        """Return whether a running check may lead to a block of the content.

        Parameters
        ----------
        content : str
        """
        pending = self._pending.get(content, 0)
        return pending > 0 and self._history.is_blocked(
            content, self._clock(), expected_crashes=pending
        )

    def check_loss(self, content: str, backend: Backend) -> None:
        """Check whether a server that closed its connection has crashed.

        The loss counts if the server accepts no connection and no other server of its
        data centre is suspect.

        Parameters
        ----------
        content : str
            Digest of the content that the server was running.
        backend : Backend
        """
        self._pending[content] = self._pending.get(content, 0) + 1

        def handle_probe(is_alive: bool) -> None:
            if is_alive:
                self._finish_check(content, backend, "alive")
                return
            self._on_unreachable(backend)
            self._reactor.callLater(
                DATA_CENTRE_CHECK_DELAY_S, self._record_crash, content, backend
            )

        self._reactor.callLater(
            CHECK_DELAY_S,
            self._pool.probe_address,
            backend.entry.address,
            on_result=handle_probe,
            timeout_s=PROBE_TIMEOUT_S,
        )

    def _record_crash(self, content: str, backend: Backend) -> None:
        suspects = self._state.backends.count_suspects(
            backend.entry.data_centre, self._clock()
        )
        if suspects <= 1:
            data_centre = backend.entry.data_centre
            report = LossReport(backend.process_id, data_centre, 0.0, (content,))
            if self._history.add(report, self._clock()):
                self._on_crash(content)
            self._finish_check(content, backend, "counted")
        else:
            self._finish_check(content, backend, "other_servers_lost")

    def _finish_check(self, content: str, backend: Backend, result: str) -> None:
        self._pending[content] -= 1
        if not self._pending[content]:
            del self._pending[content]
        self._metrics.losses_checked.labels(result).inc()
        _log.info(
            "server_loss_checked",
            content=content,
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            result=result,
            crashes=self._history.count_crashes(content, self._clock()),
        )
        self._on_checked()
