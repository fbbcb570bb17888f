"""Last filter of the forwarding path: relays requests to backend servers."""

from __future__ import annotations

import random

from ebonyhaven_decisions import OutcomeTag, RequestFailure
from ebonyhaven_decisions.forwarding import (
    RequestKind,
    Route,
    Workspace,
    choose_service,
    list_stream_shares,
)

from ebonyhaven_node._filter_chain import Filter, Proceed
from ebonyhaven_node.forwarding._begun_streams import BegunStream, BegunStreamFinder
from ebonyhaven_node.forwarding._calls import CallRelay
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._filters import RequestContext
from ebonyhaven_node.forwarding._outcomes import REACH_STEP
from ebonyhaven_node.forwarding._peer_relay import PeerRelay
from ebonyhaven_node.forwarding._requests import RelayOrigin
from ebonyhaven_node.forwarding._streams import StreamRelay
from ebonyhaven_node.forwarding.interfaces import CallerDialect


class RelayFilter(Filter[RequestContext]):
    """Sends the request to backend servers and relays the response.

    Parameters
    ----------
    context : RelayContext
    dialect : CallerDialect
    own_name : str
        Name of this instance.
    rng : random.Random
    """

    def __init__(
        self,
        context: RelayContext,
        *,
        dialect: CallerDialect,
        own_name: str,
        rng: random.Random,
    ):
        self._context = context
        self._dialect = dialect
        self._own_name = own_name
        self._rng = rng
        self._finder = BegunStreamFinder(context)

    async def handle(
        self, work: RequestContext, proceed: Proceed[RequestContext]
    ) -> None:
        """See `Filter.handle`."""
        route = work.route
        active = self._context.metrics.active.labels(route.kind.value)
        with active.track_inprogress():
            await self._relay(work)
        await proceed(work)

    async def _relay(self, work: RequestContext) -> None:
        """Relay to servers, or to another instance if no server can be reached."""
        may_use_peers = work.request.relay_origin is None
        begun = await self._find_begun(work)
        service = self._choose_service(work.route, begun)
        if may_use_peers:  # others are counted where they came from
            self._context.budget.record_request(service, self._context.clock())
        is_left_to_peers = may_use_peers and self._context.is_left_to_peers()
        if is_left_to_peers and await self._relay_to_peer(work, runs=0):
            return
        relay = self._build_relay(work, service, begun)
        try:
            await relay.run()
        except RequestFailure as failure:
            is_unreached = failure.outcome.step == REACH_STEP
            may_have_run = failure.outcome.tag is not OutcomeTag.NOT_RUN
            may_repeat = not may_have_run or work.route.may_retry
            if not (may_use_peers and is_unreached and may_repeat):
                raise
            runs = max(1, relay.possible_runs) if may_have_run else 0
            if not await self._relay_to_peer(work, runs=runs):
                raise

    async def _relay_to_peer(self, work: RequestContext, *, runs: int) -> bool:
        """Relay to another instance; return False if none takes the request."""
        relay = PeerRelay(
            request=work.request,
            route=work.route,
            exchange=work.exchange,
            dialect=self._dialect,
            origin=RelayOrigin(self._own_name, work.configuration.version, runs),
            context=self._context,
        )
        return await relay.run()

    def _build_relay(
        self, work: RequestContext, service: str, begun: BegunStream | None
    ) -> CallRelay | StreamRelay:
        route = work.route
        workspace = work.workspace
        shared = {
            "request": work.request,
            "route": route,
            "service": service,
            "workspace": workspace.name if workspace else None,
            "guard": work.guard,
            "exchange": work.exchange,
            "context": self._context,
        }
        if route.kind is not RequestKind.STREAM:
            return CallRelay(**shared)
        declared = work.configuration.services.get(service)
        return StreamRelay(
            begun=begun,
            engine=declared.engine if declared else None,
            priority=_get_priority(route, workspace),
            **shared,
        )

    async def _find_begun(self, work: RequestContext) -> BegunStream | None:
        """Return what is known of the stream that the request takes up, if it does."""
        if work.route.kind is not RequestKind.STREAM:
            return None
        workspace = work.workspace
        return await self._finder.find(
            work.request,
            work.route,
            workspace.name if workspace else None,
            copy_ttl_s=work.configuration.find_copy_ttl_s(work.route),
            is_over=lambda: work.exchange.is_done,
        )

    def _choose_service(self, route: Route, begun: BegunStream | None) -> str:
        """Return the service that began the stream, or one drawn by weight."""
        shares = route.list_used_shares()
        if begun is not None and begun.record is not None:
            versions, now = self._context.state.backends.versions, self._context.clock()
            shares = list_stream_shares(
                shares,
                begun.record,
                lambda service, version: versions.may_serve(service, version, now),
            )
        return choose_service(shares, self._rng)


def _get_priority(route: Route, workspace: Workspace | None) -> int:
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority
