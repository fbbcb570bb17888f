"""Copies of earlier runs, for callers that retry after the loss of their instance."""

from __future__ import annotations

import structlog
from ebonyhaven_decisions.forwarding import (
    Backend,
    EngineTraits,
    Route,
    RunCopyLocation,
)

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._requests import CopyReference, ForwardRequest

_log = structlog.get_logger()


class EarlierRun:
    """Earlier run that a caller's retry continues from its copy, at most once.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    engine : EngineTraits or None
        None for a service without engines, whose runs have no copies.
    context : RelayContext
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        engine: EngineTraits | None,
        context: RelayContext,
    ):
        self._engine = engine
        self._request = request
        self._route = route
        self._context = context
        self._location: RunCopyLocation | None = None

    @property
    def has_copy(self) -> bool:
        """Whether a copy is known and was not used yet."""
        return self._location is not None

    async def find_copy(self) -> None:
        """Look up the copy if the caller already received events of the stream.

        Such a retry is counted and logged as a resume, with or without a copy.
        """
        stream_key = self._request.stream_key
        if self._request.last_event_id is None or stream_key is None:
            return
        if not self._route.may_retry or self._engine is None:
            return
        location = self._location = await self._context.stream_index.find(
            stream_key, copy_ttl_s=self._engine.copy_ttl_s
        )
        source = "caller_prompt" if location is None else "caller_copy"
        self._context.metrics.resumes.labels(source).inc()
        _log.info(
            "caller_came_back",
            request=self._request.request_id,
            original=self._request.original_request_id,
            position=self._request.last_event_id,
            copy_at=location.holder_id if location else None,
            copy=location.handle if location else None,
        )

    def take_copy(self, now: float) -> tuple[Backend, CopyReference] | None:
        """Return the holder and the copy if it is usable, and clear the known copy.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        tuple of (Backend, CopyReference) or None
        """
        location, self._location = self._location, None
        if location is None:
            return None
        holder = self._context.state.backends.find(location.holder_id)
        if holder is None or not holder.can_resume_from_copy(now):
            return None
        return holder, CopyReference(location.address, location.handle)
