"""The run of a caller that comes back after the loss of its instance."""

from __future__ import annotations

import structlog
from ebonyhaven_decisions.forwarding import Backend, Route, RunCopyLocation

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._messages import CopyPlace, ForwardRequest

_log = structlog.get_logger()


class EarlierRun:
    """Where the copy of a caller's earlier run is, until it has been tried.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    parts : RelayContext
    """

    def __init__(self, *, request: ForwardRequest, route: Route, parts: RelayContext):
        self._request = request
        self._route = route
        self._context = parts
        self._place: RunCopyLocation | None = None

    @property
    def has_copy(self) -> bool:
        """Whether a copy is known and was not tried yet."""
        return self._place is not None

    async def look(self) -> None:
        """Ask for the copy if the caller had a part of the stream before."""
        run_key = self._request.run_key
        if self._request.last_event_id is None or run_key is None:
            return
        if not self._route.may_retry:
            return
        place = self._place = await self._context.copies.find(run_key)
        source = "caller_prompt" if place is None else "caller_copy"
        self._context.metrics.resumes.labels(source).inc()
        _log.info(
            "caller_came_back",
            request=self._request.request_id,
            position=self._request.last_event_id,
            copy_at=place.holder_id if place else None,
            copy=place.handle if place else None,
        )

    def take_copy(self, now: float) -> tuple[Backend, CopyPlace] | None:
        """Return the copy and its holder, once, if the holder is in use.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        tuple of (Backend, CopyPlace) or None
        """
        place, self._place = self._place, None
        if place is None:
            return None
        holder = self._context.state.backends.find(place.holder_id)
        if holder is None or not holder.can_resume_from_copy(now):
            return None
        return holder, CopyPlace(place.address, place.handle)
