"""Filters of the forwarding path, in the order in which they are applied."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs
import structlog
from ebonyhaven_decisions import OutcomeTag, RequestFailure
from ebonyhaven_decisions.forwarding import (
    Route,
    RoutingConfiguration,
    Workspace,
)

from ebonyhaven_node._failures import make_not_run_failure
from ebonyhaven_node._filter_chain import Filter, Proceed
from ebonyhaven_node.forwarding._crash_guards import CrashGuard
from ebonyhaven_node.forwarding._crash_monitor import CrashMonitor
from ebonyhaven_node.forwarding._exchanges import Exchange
from ebonyhaven_node.forwarding._metrics import ForwardingMetrics
from ebonyhaven_node.forwarding._outcomes import (
    NOT_READY_RETRY_AFTER_S,
    make_crash_reason,
    make_leaving_failure,
)
from ebonyhaven_node.forwarding._requests import ForwardRequest
from ebonyhaven_node.forwarding._shutdown import Shutdown
from ebonyhaven_node.forwarding._startup import StateWaiter
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import CallerDialect

_log = structlog.get_logger()


@attrs.define(slots=True, eq=False)
class RequestContext:
    """A request with the results of the filters applied so far.

    Parameters
    ----------
    exchange : Exchange
    request : ForwardRequest or None
        Set by `DecodeFilter`.
    configuration : RoutingConfiguration or None
        Version that applies to the whole request, even if a newer one is activated
        meanwhile. Set by `RouteFilter`.
    route : Route or None
        Set by `RouteFilter`.
    workspace : Workspace or None
        Set by `IdentifyFilter`; None for an anonymous request.
    guard : CrashGuard or None
        Set by `CrashFilter`.
    """

    exchange: Exchange
    request: ForwardRequest | None = None
    configuration: RoutingConfiguration | None = None
    route: Route | None = None
    workspace: Workspace | None = None
    guard: CrashGuard | None = None


class ReportFilter(Filter[RequestContext]):
    """Counts requests by outcome, and logs and answers failed ones.

    Parameters
    ----------
    dialect : CallerDialect
    metrics : ForwardingMetrics
    measure_configuration_age_s : callable
        See `StateSource`.
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        dialect: CallerDialect,
        metrics: ForwardingMetrics,
        measure_configuration_age_s: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._dialect = dialect
        self._metrics = metrics
        self._measure_configuration_age_s = measure_configuration_age_s
        self._clock = clock

    async def handle(
        self, work: RequestContext, proceed: Proceed[RequestContext]
    ) -> None:
        """See `Filter.handle`."""
        try:
            await proceed(work)
        except RequestFailure as failure:
            self._respond_with_failure(work, failure)
            return
        self._count_request(work, "answered", "relay")

    def _respond_with_failure(
        self, work: RequestContext, failure: RequestFailure
    ) -> None:
        outcome = failure.outcome
        self._count_request(work, outcome.tag.value, outcome.step)
        waited_s = self._clock() - work.exchange.arrived_at
        if outcome.tag is OutcomeTag.NOT_RUN:
            self._metrics.refusal.labels(outcome.step).observe(waited_s)
        _log.warning(
            "request_failed",
            request=work.request.request_id if work.request else None,
            route=work.route.name if work.route else None,
            outcome=outcome.tag.value,
            step=outcome.step,
            peer=outcome.peer,
            reason=outcome.reason,
            status=outcome.status,
            configuration=work.configuration.version if work.configuration else None,
            configuration_age_s=round(self._measure_configuration_age_s(), 2),
            waited_s=round(waited_s, 3),
        )
        if work.exchange.is_started:
            work.exchange.abort(outcome.step)
            return
        headers, body = self._dialect.encode_outcome(outcome)
        work.exchange.respond(outcome.status, headers, body)

    def _count_request(self, work: RequestContext, outcome: str, step: str) -> None:
        kind = work.route.kind.value if work.route else "none"
        self._metrics.requests.labels(kind, outcome, step).inc()


class DecodeFilter(Filter[RequestContext]):
    """Decodes the request with the dialect of callers.

    Parameters
    ----------
    dialect : CallerDialect
    """

    def __init__(self, dialect: CallerDialect):
        self._dialect = dialect

    async def handle(
        self, work: RequestContext, proceed: Proceed[RequestContext]
    ) -> None:
        """See `Filter.handle`."""
        exchange = work.exchange
        work.request = self._dialect.read_request(
            exchange.head, exchange.body, exchange.arrived_at
        )
        await proceed(work)


class RouteFilter(Filter[RequestContext]):
    """Selects the route of the request in the active configuration.

    Parameters
    ----------
    state : ForwardingState
    waiter : StateWaiter
        Holds requests that arrive before the first configuration.
    shutdown : Shutdown
    """

    def __init__(self, state: ForwardingState, waiter: StateWaiter, shutdown: Shutdown):
        self._state = state
        self._waiter = waiter
        self._shutdown = shutdown

    async def handle(
        self, work: RequestContext, proceed: Proceed[RequestContext]
    ) -> None:
        """See `Filter.handle`."""
        if not await self._waiter.wait(work.request):
            if self._shutdown.is_leaving:
                raise make_leaving_failure()
            raise make_not_run_failure(
                "no configuration is in force yet",
                step="configuration",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        work.configuration = self._state.configuration
        request = work.request
        if request.relay_origin is not None:
            self._check_relayed(request, work.configuration.version)
        work.route = work.configuration.find_route(request.host, request.path)
        if work.route is None:
            raise make_not_run_failure("no route matches", step="route", status=404)
        await proceed(work)

    def _check_relayed(self, request: ForwardRequest, version: int) -> None:
        """Refuse to handle a request under an older version than its first instance.

        Raises
        ------
        RequestFailure
        """
        origin = request.relay_origin
        _log.info(
            "relayed_request_received",
            request=request.request_id,
            peer=origin.instance,
            peer_configuration=origin.configuration,
            configuration=version,
            runs=origin.runs,
        )
        if version < origin.configuration:
            raise make_not_run_failure(
                "this instance has an older configuration",
                step="configuration",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )


class IdentifyFilter(Filter[RequestContext]):
    """Determines the workspace of a request from its API key."""

    async def handle(
        self, work: RequestContext, proceed: Proceed[RequestContext]
    ) -> None:
        """See `Filter.handle`."""
        key = work.request.api_key
        work.workspace = work.configuration.workspaces.get(key) if key else None
        allows_anonymous = (
            work.route.is_anonymous or not work.configuration.requires_keys
        )
        if work.workspace is None and not allows_anonymous:
            raise make_not_run_failure("unknown key", step="identify", status=401)
        await proceed(work)


class CrashFilter(Filter[RequestContext]):
    """Rejects a request whose content crashed the servers that started to run it.

    Parameters
    ----------
    monitor : CrashMonitor
    """

    def __init__(self, monitor: CrashMonitor):
        self._monitor = monitor

    async def handle(
        self, work: RequestContext, proceed: Proceed[RequestContext]
    ) -> None:
        """See `Filter.handle`."""
        workspace = work.workspace.name if work.workspace else None
        work.guard = CrashGuard(work.request, workspace, self._monitor)
        trait = work.guard.admit()
        if trait is not None:
            _log.info(
                "request_blocked",
                request=work.request.request_id,
                trait=trait,
                traits=work.guard.traits,
            )
            raise make_not_run_failure(make_crash_reason(trait), step="crash")
        await proceed(work)


class AdmitFilter(Filter[RequestContext]):
    """Rejects requests that could not finish before this instance stops.

    Parameters
    ----------
    accepts : callable
        Returns whether this instance still accepts requests of a `Route`.
    """

    def __init__(self, accepts: Callable[[Route], bool]):
        self._accepts = accepts

    async def handle(
        self, work: RequestContext, proceed: Proceed[RequestContext]
    ) -> None:
        """See `Filter.handle`."""
        if not self._accepts(work.route):
            raise make_leaving_failure()
        await proceed(work)
