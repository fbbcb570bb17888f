"""Copies of a run's engine memory on other engines, maintained while it runs.

Designed for consecutive losses: the engine with the copy of a run is lost first, and
the engine of the run some seconds later.
"""

from __future__ import annotations

import math

import structlog
from ebonyhaven_decisions.forwarding import (
    SERVER_PROBE_INTERVAL_S,
    Backend,
    EngineTraits,
    RunCopyLocation,
    StreamKey,
    StreamRecord,
)
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

from ebonyhaven_node.exceptions import ServerResting
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import (
    BackendProbed,
    BackendSuspected,
    CopyRequestCompleted,
)
from ebonyhaven_node.forwarding._requests import CopyReference
from ebonyhaven_node.forwarding._reservations import EngineReservation
from ebonyhaven_node.forwarding._stream_servers import StreamServerSelector

COPY_RETRY_INTERVAL_S = 0.5  # short compared to the duration of a run
COPY_REFRESH_TTL_SHARE = 0.4  # of the time to live of a copy, between refreshes

_log = structlog.get_logger()


class RunCopy:
    """The copy of one run: its location and whether it is still available.

    The engine of the run creates the first copy itself and extends it as the run
    grows. If the server with that copy is lost, the engine is requested to create
    another one. Such a copy expires and does not grow unless the request is repeated.

    Parameters
    ----------
    request_id : str
    stream_key : StreamKey or None
        None if the stream is not published.
    source : Backend
        Engine of the run.
    holder : Backend or None
        Engine of the first copy.
    engine : EngineTraits or None
        None if the run needs no copy.
    reservation : EngineReservation
        Accounts for the memory of the copy.
    server_selector : StreamServerSelector
    inbox : Inbox
        Receives `CopyRequestCompleted`.
    context : RelayContext
    """

    def __init__(
        self,
        *,
        request_id: str,
        stream_key: StreamKey | None,
        source: Backend,
        holder: Backend | None,
        engine: EngineTraits | None,
        reservation: EngineReservation,
        server_selector: StreamServerSelector,
        inbox: Inbox,
        context: RelayContext,
    ):
        self.holder = holder
        self._request_id = request_id
        self._stream_key = stream_key
        self._published_record: StreamRecord | None = None
        self._source = source
        self._engine = engine
        self._reservation = reservation
        self._server_selector = server_selector
        self._inbox = inbox
        self._context = context
        self._handle: str | None = None
        self._is_available = holder is not None
        self._requested_at = -math.inf
        self._probed_at = -math.inf
        self._pending_request: Deferred | None = None

    @property
    def reference(self) -> CopyReference:
        """Reference with which the holder finds the copy."""
        if self._handle is None:
            return CopyReference(self.holder.entry.address, None)
        return CopyReference(self._source.entry.address, self._handle)

    def is_usable(self, now: float) -> bool:
        """Return whether the run can resume from the copy.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if not self._is_available or self.holder is None:
            return False
        known = self._context.state.backends.find(self.holder.server_id)
        return known is self.holder and self.holder.can_resume_from_copy(now)

    def update(self, now: float) -> None:
        """Request or refresh the copy when due, and publish how the stream can go on.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._renew_copy(now)
        self._publish(self._locate() if self.is_usable(now) else None)

    def _renew_copy(self, now: float) -> None:
        if self._engine is None or not self._engine.copies_on_request:
            return
        if self._is_available and not self.is_usable(now):
            self._record_loss("holder is not usable")
        if self._pending_request is not None:
            return
        age_s = now - self._requested_at
        if not self._is_available and age_s >= COPY_RETRY_INTERVAL_S:
            self._request_new_copy(now)
        elif (
            self._is_available and self._handle and age_s >= self._refresh_interval_s()
        ):
            self._request_copy(self.holder, now)

    def _refresh_interval_s(self) -> float:
        return COPY_REFRESH_TTL_SHARE * self._engine.copy_ttl_s

    def handle_message(self, message: object) -> None:
        """Update the availability of the copy from a message.

        Parameters
        ----------
        message : object
            Messages of other types are ignored.
        """
        match message:
            case CopyRequestCompleted(holder, handle):
                self._handle_copy_result(holder, handle)
            case BackendSuspected() if self._is_available:
                self._handle_suspicion(message)
            case BackendProbed(server_key, False):
                if self._is_available and server_key == self.holder.key:
                    self._record_loss("holder accepts no connection")

    def close(self, *, is_needed: bool, is_complete: bool) -> None:
        """Stop maintaining the copy and delete it if it is not needed.

        Parameters
        ----------
        is_needed : bool
            Whether the run may still resume from the copy.
        is_complete : bool
            Whether the caller received the complete stream and will not retry it.
        """
        is_deleted = self._handle is not None and not is_needed
        if self._stream_key is not None and is_complete:
            self._context.stream_index.drop_copy(self._stream_key)
        elif is_deleted:
            self._publish(None)
        if self._pending_request is not None:
            self._pending_request.cancel()
        if is_deleted and self._source.limiter.acquire(self._context.clock()):
            deletion = ensureDeferred(
                self._context.copier.delete_copy(
                    source=self._source.entry.address, handle=self._handle
                )
            )
            deletion.addBoth(self._record_answered)
            deletion.addErrback(self._log_deletion_failure)

    def _record_answered(self, result: object) -> object:
        self._source.limiter.record_ended()
        self._context.permits.handle_ended(self._source)
        return result

    def _locate(self) -> RunCopyLocation:
        address, handle = self.reference
        if handle is None:
            return RunCopyLocation(self.holder.server_id, None, self._request_id)
        return RunCopyLocation(self.holder.server_id, address, handle)

    def _publish(self, location: RunCopyLocation | None) -> None:
        version = self._source.software_version
        if self._stream_key is None or version is None:
            return
        content, first_request_id = self._stream_key
        service = self._source.entry.service
        record = StreamRecord(version, first_request_id, location, service)
        if record != self._published_record:
            self._published_record = record
            self._context.stream_index.publish(content, record)

    def _log_deletion_failure(self, failure) -> None:
        """Log that deleting a copy failed; it expires after its time to live."""
        self._report_rest(failure)
        _log.info("run_copy_kept", request=self._request_id, error=str(failure.value))

    def _report_rest(self, failure) -> None:
        if failure.check(ServerResting):
            self._context.report_rest(self._source, failure.value.rest_s)

    def _handle_suspicion(self, suspicion: BackendSuspected) -> None:
        if suspicion.server_key == self.holder.key:
            self._record_loss("holder was reported lost")
            return
        if suspicion.data_centre != self.holder.entry.data_centre:
            return
        now = self._context.clock()
        if now - self._probed_at >= SERVER_PROBE_INTERVAL_S:
            self._probed_at = now
            self._context.probe(self.holder, self._inbox)

    def _record_loss(self, reason: str) -> None:
        self._is_available = False
        self._handle = None
        _log.info(
            "run_copy_lost",
            request=self._request_id,
            holder=self.holder.server_id,
            reason=reason,
        )

    def _request_new_copy(self, now: float) -> None:
        holder = self._server_selector.choose_holder(self._source, now)
        if holder is None:
            self._requested_at = now
            return
        self.holder = holder
        self._reservation.replace_holder(holder)
        self._request_copy(holder, now)

    def _request_copy(self, holder: Backend, now: float) -> None:
        self._requested_at = now
        if not self._source.limiter.acquire(now):
            return
        request = self._pending_request = ensureDeferred(
            self._context.copier.copy_run(
                source=self._source.entry.address,
                request_id=self._request_id,
                target=holder.entry.address,
            )
        )
        request.addBoth(self._record_answered)
        request.addCallbacks(
            lambda handle: self._inbox.put(CopyRequestCompleted(holder, handle)),
            lambda failure: self._handle_failure(holder, failure),
        )

    def _handle_failure(self, holder: Backend, failure) -> None:
        if failure.check(CancelledError):
            return
        self._report_rest(failure)
        if not failure.check(ServerResting):
            _log.error("run_copy_failed", request=self._request_id, error=str(failure))
        self._inbox.put(CopyRequestCompleted(holder, None))

    def _handle_copy_result(self, holder: Backend, handle: str | None) -> None:
        self._pending_request = None
        if holder is not self.holder:
            return
        was_available, self._is_available = self._is_available, handle is not None
        self._handle = handle
        if not was_available and self._is_available:
            self._context.metrics.copies.labels("made").inc()
            _log.info("run_copied", request=self._request_id, holder=holder.server_id)
        if handle is None:
            self._context.metrics.copies.labels("refused").inc()
