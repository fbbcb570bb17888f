"""Streams that began in an earlier request, and that their callers take up."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ebonyhaven_decisions.forwarding import (
    Route,
    StreamLookup,
    StreamRecord,
)
from twisted.internet.task import deferLater

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._requests import ForwardRequest

SEARCH_TIMEOUT_S = 1.0  # leaves as much for the first event before a caller gives up
SEARCH_PAUSE_S = 0.05  # between two tries


class BegunStream(NamedTuple):
    """What is known of a stream that began in an earlier request.

    Parameters
    ----------
    record : StreamRecord or None
        None if no instance and no store has one.
    version : str or None
        Software version that began the stream; None if it is unknown.
    may_become_known : bool
        Whether the version is unknown only because an instance or the store did not
        answer, or the list of servers could not be read.
    """

    record: StreamRecord | None
    version: str | None
    may_become_known: bool = False


class BegunStreamFinder:
    """Finds out how a stream began that a caller takes up.

    Parameters
    ----------
    context : RelayContext
    """

    def __init__(self, context: RelayContext):
        self._context = context

    async def find(
        self,
        request: ForwardRequest,
        route: Route,
        workspace: str | None,
        *,
        copy_ttl_s: float,
        is_over: Callable[[], bool],
    ) -> BegunStream | None:
        """Return what is known of the stream; None if the request takes up none.

        Instances and the store are asked again, for `SEARCH_TIMEOUT_S`, as long as one
        of them has not answered.

        Parameters
        ----------
        request : ForwardRequest
        route : Route
        workspace : str or None
            Name of the caller's workspace.
        copy_ttl_s : float
            Time for which an engine keeps the copy of a run that was cut off, seconds.
        is_over : callable
            Returns whether the request has ended.
        """
        if request.last_event_id is None or not route.may_retry:
            return None
        content = request.compute_stream_content(workspace)
        named = request.original_request_id
        search_end = self._context.clock() + SEARCH_TIMEOUT_S
        while True:
            lookup = await self._context.stream_index.find(
                content, named, copy_ttl_s=copy_ttl_s
            )
            record = _choose_record(lookup, request)
            if record is not None:
                return BegunStream(record, record.version)
            if self._infer(route) is not None:
                return await self._confirm_version(route)
            if lookup.is_complete or is_over():
                return BegunStream(None, None)
            if self._context.clock() >= search_end:
                return BegunStream(None, None, may_become_known=True)
            await deferLater(self._context.reactor, SEARCH_PAUSE_S)

    async def _confirm_version(self, route: Route) -> BegunStream:
        """Return the only version that servers have had, if the list is current."""
        if not await self._context.list_confirmer.confirm():
            return BegunStream(None, None, may_become_known=True)
        return BegunStream(None, self._infer(route))

    def _infer(self, route: Route) -> str | None:
        now = self._context.clock()
        state = self._context.state
        services = state.route_services.list_recent(route.name, now)
        return state.backends.versions.infer_among(services, now)


def _choose_record(
    lookup: StreamLookup, request: ForwardRequest
) -> StreamRecord | None:
    """Return the record of the stream, if there is no doubt how it goes on.

    A caller that names no stream may mean any of its content, so that none of their
    copies is used.
    """
    if len(lookup.records) <= 1:
        return lookup.records[0] if lookup.records else None
    if len({(each.version, each.service) for each in lookup.records}) > 1:
        return None
    newest = lookup.records[-1]
    return newest._replace(request_id=request.request_id, copy=None)
