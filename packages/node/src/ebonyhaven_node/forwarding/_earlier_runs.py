"""Earlier runs of streams that callers retry after the loss of their instance."""

from __future__ import annotations

import structlog
from ebonyhaven_decisions.forwarding import (
    Backend,
    EngineTraits,
    RunCopyLocation,
    StreamRecord,
)

from ebonyhaven_node.forwarding._begun_streams import BegunStream
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._requests import CopyReference, ForwardRequest
from ebonyhaven_node.forwarding._stream_versions import StreamVersion

_log = structlog.get_logger()


class EarlierRun:
    """Earlier run that a caller's retry continues, from its copy at most once.

    Parameters
    ----------
    request : ForwardRequest
    begun : BegunStream or None
        None if the caller takes up no stream.
    service : str
        To which the request goes.
    engine : EngineTraits or None
        None for a service without engines, whose runs have no copies.
    version : StreamVersion
        Bound if the caller retries a stream.
    context : RelayContext

    Attributes
    ----------
    first_request_id : str
        Id of the caller's request that brought the first event; that of this request
        if it is not known to be a retry.
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        begun: BegunStream | None,
        service: str,
        engine: EngineTraits | None,
        version: StreamVersion,
        context: RelayContext,
    ):
        self._engine = engine
        self._request = request
        self._begun = begun
        self._service = service
        self._version = version
        self._context = context
        self._location: RunCopyLocation | None = None
        self.first_request_id = request.original_request_id or request.request_id

    @property
    def has_copy(self) -> bool:
        """Whether a copy is known and was not used yet."""
        return self._location is not None

    def bind(self) -> None:
        """Go on with the stream if the caller already received events of it.

        Such a retry is counted and logged as a resume, with or without a copy.
        """
        if self._begun is None:
            return
        record = self._begun.record
        if record is not None:
            self.first_request_id = record.request_id
            self._location = record.copy if self._engine is not None else None
        self._version.bind_to_begun(self._begun)
        source = "caller_prompt" if self._location is None else "caller_copy"
        self._context.metrics.resumes.labels(source).inc()
        self._log_retry(record)

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
        if holder.entry.service != self._service:
            return None
        if holder.software_version != self._version.name:
            return None
        address = location.address or holder.entry.address
        return holder, CopyReference(address, location.handle)

    def _log_retry(self, record: StreamRecord | None) -> None:
        location = self._location
        _log.info(
            "caller_came_back",
            request=self._request.request_id,
            original=self._request.original_request_id,
            position=self._request.last_event_id,
            is_recorded=record is not None,
            may_become_known=self._begun.may_become_known,
            began_at=record.service if record else None,
            service=self._service,
            version=self._version.name,
            copy_at=location.holder_id if location else None,
            copy=location.handle if location else None,
        )
