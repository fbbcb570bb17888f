"""Requests in progress, each of which is answered or ended visibly."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.python.failure import Failure

from ebonyhaven_node._filter_chain import Proceed
from ebonyhaven_node.forwarding._exchanges import CRASHED, Exchange, ExchangeEnd
from ebonyhaven_node.forwarding._filters import RequestContext
from ebonyhaven_node.forwarding._metrics import ForwardingMetrics
from ebonyhaven_node.forwarding._shutdown import Shutdown, ShutdownReport

# Statuses of requests that may have run and have no other answer.
CRASHED_STATUS = 500
CLOSING_STATUS = 502
OVERDUE_STATUS = 504

_log = structlog.get_logger()


class ActiveRequests:
    """Runs the handling of each request, and sees to it that the request ends.

    Parameters
    ----------
    chain : callable
        Handles a `RequestContext`.
    shutdown : Shutdown
    metrics : ForwardingMetrics
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        chain: Proceed[RequestContext],
        shutdown: Shutdown,
        metrics: ForwardingMetrics,
        clock: Callable[[], float],
    ):
        self._chain = chain
        self._shutdown = shutdown
        self._metrics = metrics
        self._clock = clock
        self._report = ShutdownReport()
        self._works: dict[Exchange, RequestContext] = {}
        self._overdue: set[Exchange] = set()

    def __len__(self) -> int:
        return len(self._works)

    def handle(self, exchange: Exchange) -> None:
        """Handle a complete request.

        Parameters
        ----------
        exchange : Exchange
        """
        work = self._works[exchange] = RequestContext(exchange)
        running = ensureDeferred(self._chain(work))
        exchange.on_disconnect = running.cancel
        running.addBoth(self._finish, exchange)

    def end_overdue(self) -> None:
        """End the requests whose time was over at the last call already.

        If the process stood still, they get the time between two calls to end
        by themselves.
        """
        now = self._clock()
        overdue = {
            exchange
            for exchange, work in self._works.items()
            if now > _find_deadline(work)
        }
        for exchange in overdue & self._overdue:
            self._cut(exchange, "overdue", OVERDUE_STATUS)
        self._overdue = overdue - self._overdue

    def end_all(self) -> None:
        """End all requests, as the instance closes."""
        for exchange in list(self._works):
            self._cut(exchange, "closing", CLOSING_STATUS)

    def summarize_shutdown(self) -> dict[str, Any]:
        """Return what became of the requests since the shutdown began.

        See `ShutdownReport.summarize`.
        """
        return self._report.summarize()

    def _cut(self, exchange: Exchange, reason: str, status: int) -> None:
        kind, request_id = _describe(self._works[exchange])
        _log.error("request_cut", request=request_id, kind=kind, reason=reason)
        try:
            _end(exchange, reason, status)
        except Exception:  # its connection is closed, the other requests are not
            _log.exception("response_failed", request=request_id)
        self._forget(exchange)  # whether or not its handling can still be cancelled
        exchange.on_disconnect()

    def _finish(self, result: object, exchange: Exchange) -> None:
        if exchange not in self._works:
            return
        kind, request_id = _describe(self._works[exchange])
        if isinstance(result, Failure):
            self._log_failure(result, exchange)
        elif not exchange.is_done:
            _log.error("request_unanswered", request=request_id, kind=kind)
        _end(exchange, CRASHED, CRASHED_STATUS)
        self._forget(exchange)

    def _forget(self, exchange: Exchange) -> None:
        work = self._works.pop(exchange)
        kind, request_id = _describe(work)
        if exchange.end is ExchangeEnd.ABORTED:
            self._metrics.incomplete.labels(kind, exchange.abort_reason).inc()
        if self._shutdown.is_leaving:
            self._report.record(exchange, kind, request_id)

    def _log_failure(self, failure: Failure, exchange: Exchange) -> None:
        if not failure.check(CancelledError):
            _log.error("request_crashed", error=failure.getTraceback())
        elif exchange.end is ExchangeEnd.DISCONNECTED:
            _log.info("caller_left", target=exchange.head.target.decode("latin-1"))


def _end(exchange: Exchange, reason: str, status: int) -> None:
    """Answer a request that may have run, or cut its response if it has begun."""
    if exchange.is_started:
        exchange.abort(reason)
    else:
        exchange.respond(status, (), b"{}")


def _describe(work: RequestContext) -> tuple[str, str | None]:
    """Return the kind and the id of a request."""
    kind = work.route.kind.value if work.route else "none"
    return kind, work.request.request_id if work.request else None


def _find_deadline(work: RequestContext) -> float:
    """Return the end of a request's time, infinite before its route is known."""
    if work.route is None:
        return float("inf")
    return work.request.arrived_at + work.request.limit_timeout(work.route.timeout_s)
