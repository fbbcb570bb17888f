"""Copies of a run's memory on other engines, kept while the run lasts.

Answers the load pattern of losses that follow each other: the engine that holds a
run's copy is lost first, and the engine of the run some seconds later.
"""

from __future__ import annotations

import math

import structlog
from ebonyhaven_decisions.forwarding import (
    SERVER_PROBE_INTERVAL_S,
    Backend,
    EngineTraits,
    RunCopyLocation,
)
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import (
    BackendChecked,
    BackendSuspected,
    CopyMade,
    CopyPlace,
)
from ebonyhaven_node.forwarding._reservations import EngineReservation
from ebonyhaven_node.forwarding._stream_servers import StreamServerSelector

RETRY_S = 0.5  # a failed copy is tried again while most of the run is still to come
REFRESH_SHARE = 0.4  # of the time that an engine keeps a copy without news

_log = structlog.get_logger()


class RunCopy:
    """Where the copy of one run is, and whether it is still there.

    The engine of the run makes the first copy by itself as the run grows. When its
    holder is lost, the run's engine is asked for another copy, which has to be
    asked for again to stay and to grow.

    Parameters
    ----------
    request_id : str
    run_key : str or None
        See `ForwardRequest.run_key`; None if nobody is told of the copy.
    source : Backend
        Engine of the run.
    holder : Backend or None
        Engine of the first copy.
    engine : EngineTraits or None
        None if the run needs no copy.
    claim : EngineReservation
        Counts what the copy occupies.
    servers : StreamServerSelector
    inbox : Inbox
        Gets `CopyMade`.
    parts : RelayContext
    """

    def __init__(
        self,
        *,
        request_id: str,
        run_key: str | None,
        source: Backend,
        holder: Backend | None,
        engine: EngineTraits | None,
        claim: EngineReservation,
        servers: StreamServerSelector,
        inbox: Inbox,
        parts: RelayContext,
    ):
        self.holder = holder
        self._request_id = request_id
        self._run_key = run_key
        self._told: RunCopyLocation | None = None
        self._source = source
        self._engine = engine
        self._claim = claim
        self._servers = servers
        self._inbox = inbox
        self._context = parts
        self._handle: str | None = None
        self._is_made = holder is not None
        self._asked_at = -math.inf
        self._checked_at = -math.inf
        self._asking: Deferred | None = None

    @property
    def place(self) -> CopyPlace:
        """What the holder is told about the copy."""
        if self._handle is None:
            return CopyPlace(self.holder.entry.address, None)
        return CopyPlace(self._source.entry.address, self._handle)

    def is_usable(self, now: float) -> bool:
        """Tell whether the run can go on from the copy.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if not self._is_made or self.holder is None:
            return False
        known = self._context.state.backends.find(self.holder.server_id)
        return known is self.holder and self.holder.can_resume_from_copy(now)

    def review(self, now: float) -> None:
        """Ask for another copy, or for the growth of one, when it is due.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._renew(now)
        self._tell(self._describe_place() if self.is_usable(now) else None)

    def _renew(self, now: float) -> None:
        if self._engine is None or not self._engine.copies_on_request:
            return
        if self._is_made and not self.is_usable(now):
            self._lose("its holder is out of use")
        if self._asking is not None:
            return
        age_s = now - self._asked_at
        if not self._is_made and age_s >= RETRY_S:
            self._ask_elsewhere(now)
        elif self._is_made and self._handle and age_s >= self._refresh_s():
            self._ask(self.holder, now)

    def _refresh_s(self) -> float:
        return REFRESH_SHARE * self._engine.copy_ttl_s

    def take(self, message: object) -> None:
        """Learn from a message whether the copy is still there.

        Parameters
        ----------
        message : object
        """
        match message:
            case CopyMade(holder, handle):
                self._take_answer(holder, handle)
            case BackendSuspected() if self._is_made:
                self._check_holder(message)
            case BackendChecked(server_key, False):
                if self._is_made and server_key == self.holder.key:
                    self._lose("its holder accepts no connection")

    def close(self, *, is_needed: bool, is_complete: bool) -> None:
        """Ask for nothing more.

        Parameters
        ----------
        is_needed : bool
            Whether the run may still go on from the copy.
        is_complete : bool
            Whether the caller has the whole stream, so that it does not come back.
        """
        is_dropped = self._handle is not None and not is_needed
        if self._run_key is not None and (is_complete or is_dropped):
            self._context.copies.forget(self._run_key)
        if self._asking is not None:
            self._asking.cancel()
        if self._handle is not None and not is_needed:
            dropping = ensureDeferred(
                self._context.copier.drop_copy(
                    source=self._source.entry.address, handle=self._handle
                )
            )
            dropping.addErrback(self._note_undropped)

    def _describe_place(self) -> RunCopyLocation:
        address, handle = self.place
        return RunCopyLocation(
            self.holder.server_id, address, handle or self._request_id
        )

    def _tell(self, place: RunCopyLocation | None) -> None:
        if self._run_key is not None and place != self._told:
            self._told = place
            self._context.copies.tell(self._run_key, place)

    def _note_undropped(self, failure) -> None:
        """Log that a copy was not freed; it expires by itself."""
        _log.info("run_copy_kept", request=self._request_id, error=str(failure.value))

    def _check_holder(self, suspicion: BackendSuspected) -> None:
        if suspicion.server_key == self.holder.key:
            self._lose("its holder was found lost")
            return
        if suspicion.data_centre != self.holder.entry.data_centre:
            return
        now = self._context.clock()
        if now - self._checked_at >= SERVER_PROBE_INTERVAL_S:
            self._checked_at = now
            self._context.check(self.holder, self._inbox)

    def _lose(self, reason: str) -> None:
        self._is_made = False
        self._handle = None
        _log.info(
            "run_copy_lost",
            request=self._request_id,
            holder=self.holder.server_id,
            reason=reason,
        )

    def _ask_elsewhere(self, now: float) -> None:
        holder = self._servers.choose_holder(self._source, now)
        if holder is None:
            self._asked_at = now
            return
        self.holder = holder
        self._claim.replace_holder(holder)
        self._ask(holder, now)

    def _ask(self, holder: Backend, now: float) -> None:
        self._asked_at = now
        asking = self._asking = ensureDeferred(
            self._context.copier.copy_run(
                source=self._source.entry.address,
                request_id=self._request_id,
                target=holder.entry.address,
            )
        )
        asking.addCallbacks(
            lambda handle: self._inbox.put(CopyMade(holder, handle)),
            lambda failure: self._fail(holder, failure),
        )

    def _fail(self, holder: Backend, failure) -> None:
        if failure.check(CancelledError):
            return
        _log.error("run_copy_failed", request=self._request_id, error=str(failure))
        self._inbox.put(CopyMade(holder, None))

    def _take_answer(self, holder: Backend, handle: str | None) -> None:
        self._asking = None
        if holder is not self.holder:
            return
        was_made, self._is_made = self._is_made, handle is not None
        self._handle = handle
        if not was_made and self._is_made:
            self._context.metrics.copies.labels("made").inc()
            _log.info("run_copied", request=self._request_id, holder=holder.server_id)
        if handle is None:
            self._context.metrics.copies.labels("refused").inc()
