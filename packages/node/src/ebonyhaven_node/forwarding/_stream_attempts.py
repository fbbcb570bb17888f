"""Message handling of one attempt at a stream."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

import structlog
from ebonyhaven_decisions.forwarding import RequestKind, SilenceLimits

from ebonyhaven_node.forwarding._attempt_monitors import AttemptMonitor
from ebonyhaven_node.forwarding._attempts import (
    Attempt,
    AttemptFailed,
    ResponseCompleted,
    ResponseData,
    ResponseEndChecked,
    ResponseStarted,
)
from ebonyhaven_node.forwarding._context import SERVER_SILENCE_LIMIT_S, RelayContext
from ebonyhaven_node.forwarding._crash_guards import CrashGuard
from ebonyhaven_node.forwarding._exchanges import Exchange
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import (
    BackendProbed,
    BackendSuspected,
    TraitsDecided,
)
from ebonyhaven_node.forwarding._outcomes import (
    NOT_RUN_STATUSES,
    make_crash_reason,
)
from ebonyhaven_node.forwarding._progress import StreamProgress
from ebonyhaven_node.forwarding._requests import ResponseHead
from ebonyhaven_node.forwarding._run_copies import RunCopy

MAX_ERROR_BODY_BYTES = 64 * 1024
CUT_OFF_SILENCE_S = 2.0  # in which brief losses of contact end, and pauses of servers

_log = structlog.get_logger()


class AttemptEnd(enum.Enum):
    """How an attempt ended.

    ``DONE``
        The response was forwarded, or the caller disconnected.
    ``NOT_RUN``
        The server refused the request.
    ``UNREACHABLE``
        The request was not sent.
    ``LOST``
        The connection or the stream broke off after the request was sent.
    ``SILENT``
        The server was silent for too long.
    ``ERROR``
        The response was an error or malformed.
    ``BLOCKED``
        The request was found to crash servers, so that it was cancelled.

    ``NOT_RUN`` and ``UNREACHABLE`` prove that the request was not run; with the
    others, the server may have run it.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    SILENT = "silent"
    ERROR = "error"
    BLOCKED = "blocked"


class AttemptResult(NamedTuple):
    """Result of an attempt.

    Parameters
    ----------
    end : AttemptEnd
    reason : str
    error_response : tuple of (ResponseHead, bytes) or None
        Head and body from the server, if they may be forwarded to the caller.
    """

    end: AttemptEnd
    reason: str
    error_response: tuple[ResponseHead, bytes] | None = None


class StreamAttempt:
    """Runs an attempt until the stream completes or needs another attempt.

    A silent server ends the attempt only if the stream can go on at another one. If
    not, the stream waits until its deadline, the end of the connection or the end of
    the server's process.

    Parameters
    ----------
    attempt : Attempt
    monitor : AttemptMonitor
    copy : RunCopy
    progress : StreamProgress
    guard : CrashGuard
    exchange : Exchange
    inbox : Inbox
    context : RelayContext
    read_deadline : callable
        Returns the deadline of the request, seconds; it is earlier once this instance
        leaves.
    can_go_on_elsewhere : callable
        Returns whether another server would take the stream now.
    """

    def __init__(
        self,
        *,
        attempt: Attempt,
        monitor: AttemptMonitor,
        copy: RunCopy,
        progress: StreamProgress,
        guard: CrashGuard,
        exchange: Exchange,
        inbox: Inbox,
        context: RelayContext,
        read_deadline: Callable[[], float],
        can_go_on_elsewhere: Callable[[], bool],
    ):
        self._attempt = attempt
        self._backend = attempt.backend
        self._monitor = monitor
        self._run_copy = copy
        self._progress = progress
        self._guard = guard
        self._exchange = exchange
        self._inbox = inbox
        self._context = context
        self._read_deadline = read_deadline
        self._can_go_on_elsewhere = can_go_on_elsewhere
        self._is_end_in_doubt = False

    async def run(self) -> AttemptResult:
        """Handle messages until the attempt ends.

        Returns
        -------
        AttemptResult
        """
        while True:
            now = self._context.clock()
            if self._monitor.events:
                self._run_copy.update(now)
            limits = self._monitor.compute_silence_limits(self._run_copy.is_usable(now))
            wait_s = self._monitor.compute_wait_s(limits, now)
            message = await self._inbox.get(min(wait_s, self._read_deadline() - now))
            if self._exchange.is_done:
                return AttemptResult(AttemptEnd.DONE, "the caller disconnected")
            self._run_copy.handle_message(message)
            result = self._handle_message(message, limits)
            if result is None and self._is_end_in_doubt:
                result = await self._confirm_end()
            if result is not None:
                return result

    async def _confirm_end(self) -> AttemptResult:
        """Complete the stream unless the process of its server has ended as well."""
        self._attempt.check_end()
        while True:
            remaining_s = self._read_deadline() - self._context.clock()
            message = await self._inbox.get(max(0.0, remaining_s))
            if self._exchange.is_done:
                return AttemptResult(AttemptEnd.DONE, "the caller disconnected")
            self._run_copy.handle_message(message)
            match message:
                case ResponseEndChecked(sender, has_ended) if sender is self._attempt:
                    if has_ended:
                        return AttemptResult(
                            AttemptEnd.LOST, "the server ended with its stream"
                        )
                    return self._complete()
                case None:
                    return self._complete()

    def _handle_message(
        self, message: object, limits: SilenceLimits
    ) -> AttemptResult | None:
        """Handle a message, or None for a timeout.

        Returns a result if the attempt ended.
        """
        result = None
        match message:
            case None:
                result = self._handle_silence(limits)
            case TraitsDecided():
                result = self._handle_decision()
            case BackendSuspected():
                result = self._handle_suspicion(message)
            case BackendProbed(server_key, is_alive) if server_key == self._backend.key:
                result = self._handle_probe(is_alive)
            case ResponseStarted(sender, head) if sender is self._attempt:
                self._handle_head(head)
            case ResponseData(sender, data) if sender is self._attempt:
                result = self._handle_data(data)
            case ResponseCompleted(sender, is_delimited) if sender is self._attempt:
                result = self._handle_completion(is_delimited)
            case AttemptFailed(sender) if sender is self._attempt:
                result = _make_failure_result(message)
        return result

    def _handle_decision(self) -> AttemptResult | None:
        """Cancel the attempt if the request crashes servers, before it crashes one."""
        trait = self._guard.find_blocked_trait()
        if trait is None:
            return None
        return AttemptResult(AttemptEnd.BLOCKED, make_crash_reason(trait))

    # -- silence -----------------------------------------------------------

    def _handle_suspicion(self, suspicion: BackendSuspected) -> AttemptResult | None:
        """End the attempt if its server is silent and suspected, and there is a copy.

        Without a copy, the server is probed: it may be slow rather than lost, and its
        work on the prompt would be done again elsewhere. Before the first event, it is
        also probed if another server of its data centre is suspected.
        """
        if not self._attempt.was_sent or not self._monitor.is_server_silent():
            return None
        is_own_server = suspicion.server_key == self._backend.key
        has_copy = self._monitor.events and self._run_copy.is_usable(
            self._context.clock()
        )
        if is_own_server and has_copy and self._may_leave_silent_server():
            reason = "the server was found silent by another stream"
            return AttemptResult(AttemptEnd.SILENT, reason)
        is_same_data_centre = suspicion.data_centre == self._backend.entry.data_centre
        if is_own_server or (is_same_data_centre and not self._monitor.events):
            self._probe()
        return None

    def _handle_probe(self, is_alive: bool) -> AttemptResult | None:
        if is_alive:
            self._monitor.alive_at = self._context.clock()
            return None
        if not self._monitor.is_server_silent():
            return None
        self._report_unreachable(self._context.clock())
        if self._can_leave_server():
            return AttemptResult(AttemptEnd.SILENT, "the server accepts no connection")
        if self._is_cut_off():
            return AttemptResult(AttemptEnd.SILENT, "no server accepts a connection")
        self._context.crash_monitor.check_end(self._backend)
        return None

    def _handle_silence(self, limits: SilenceLimits) -> AttemptResult | None:
        now = self._context.clock()
        silent_s = now - self._monitor.last_received_at
        is_over = now >= self._read_deadline()
        is_silent = silent_s >= limits.resume_after_s
        if not is_over and not is_silent:
            self._probe()
            return None
        if is_silent:
            self._report_silence(now)
        if is_over or self._may_leave_silent_server():
            was_sent = self._attempt.was_sent
            end = AttemptEnd.SILENT if was_sent else AttemptEnd.UNREACHABLE
            reason = f"silent for {silent_s:.2f} s" if is_silent else "out of time"
            return AttemptResult(end, reason)
        if self._context.crash_monitor.has_ended(self._backend):
            return AttemptResult(AttemptEnd.LOST, "the process of the server has ended")
        self._monitor.kept_at = now
        self._probe()
        return None

    def _is_cut_off(self) -> bool:
        """Return whether other instances alone could go on with the stream.

        Its server may pause; the connection to it may work though new ones do not. A
        stream that may not be resumed therefore stays.
        """
        if not self._monitor.may_resume:
            return False
        silent_s = self._context.clock() - self._monitor.last_received_at
        is_lost = self._context.is_left_to_peers()
        is_confirmed = is_lost and self._context.contact.is_confirmed_lost
        return is_confirmed and silent_s >= CUT_OFF_SILENCE_S

    def _can_leave_server(self) -> bool:
        """Return whether the stream loses nothing if the attempt ends."""
        return not self._attempt.was_sent or self._can_go_on_elsewhere()

    def _may_leave_silent_server(self) -> bool:
        """Return whether silence alone is a reason to end the attempt.

        Not while this instance leaves: if the other server refuses the stream and none
        has room, it is cut at the end without a server, though the first one worked
        on it. A probe then tells whether the server is still there.
        """
        if self._attempt.was_sent and self._context.shutdown.is_leaving:
            return False
        return self._can_leave_server()

    def _report_silence(self, now: float) -> None:
        """Have new requests go to other servers."""
        is_server_silent = now - self._backend.last_received_at > SERVER_SILENCE_LIMIT_S
        if self._monitor.alive_at > self._monitor.last_received_at:
            if now >= self._backend.slow_until:
                self._context.report_slow(self._backend)
        elif is_server_silent and self._monitor.events:
            self._report_unreachable(now)

    def _report_unreachable(self, now: float) -> None:
        if now >= self._backend.suspect_until:
            self._context.report_unreachable(self._backend)

    def _probe(self) -> None:
        now = self._context.clock()
        if self._monitor.is_probe_due(now):
            self._monitor.probed_at = now
            self._context.probe(self._backend, self._inbox)

    # -- response ----------------------------------------------------------

    def _handle_head(self, head: ResponseHead) -> None:
        self._monitor.record_head(head)
        if head.is_other_process:
            self._context.report_replaced(self._backend, head.other_server_id)

    def _handle_data(self, data: bytes) -> AttemptResult | None:
        if not self._monitor.is_event_stream():
            return self._keep_error_body(data)
        try:
            events = self._monitor.splitter.feed(data)
        except ValueError as error:
            return AttemptResult(AttemptEnd.ERROR, str(error))
        now = self._context.clock()
        new_events = self._progress.select_new(events)
        if events:
            self._monitor.record_events(now, len(events))
        if events and self._monitor.is_far_into_stream():
            self._guard.record_progress(now)
        self._progress.deliver(new_events, self._monitor.head, self._backend, now)
        return None

    def _keep_error_body(self, data: bytes) -> AttemptResult | None:
        body = self._monitor.error_body
        body += data
        if len(body) > MAX_ERROR_BODY_BYTES:
            return AttemptResult(AttemptEnd.ERROR, "an error response is too long")
        return None

    def _handle_completion(self, is_delimited: bool) -> AttemptResult | None:
        head = self._monitor.head
        if head.not_run:
            return AttemptResult(
                AttemptEnd.NOT_RUN, f"server refused with {head.status}"
            )
        if not self._monitor.is_event_stream():
            return self._handle_error_response(head)
        partial_bytes = self._monitor.splitter.partial_bytes
        self._record_end(is_delimited, partial_bytes)
        if partial_bytes:
            return AttemptResult(AttemptEnd.LOST, "the stream ended inside an event")
        if not is_delimited and not self._monitor.events:
            reason = "the connection ended before the first event"
            return AttemptResult(AttemptEnd.LOST, reason)
        if is_delimited:
            self._guard.record_completed()
            return self._complete()
        self._guard.check_loss(
            self._backend, has_begun=True, events=self._monitor.events
        )
        self._is_end_in_doubt = True
        return None

    def _complete(self) -> AttemptResult:
        self._context.rollouts.record_stream_end(
            self._backend,
            self._monitor.route_name,
            longest_pause_s=self._monitor.longest_gap_s,
        )
        self._progress.finish(self._monitor.head)
        if self._attempt.plan.last_event_id is None:
            self._monitor.record_stream_completed()
        return AttemptResult(AttemptEnd.DONE, "complete")

    def _record_end(self, is_delimited: bool, partial_bytes: int) -> None:
        _log.info(
            "stream_ended",
            request=self._attempt.request_id,
            server=self._backend.server_id,
            is_delimited=is_delimited,
            partial_bytes=partial_bytes,
            events=self._monitor.events,
        )
        self._context.metrics.record_response_end(
            RequestKind.STREAM.value,
            is_delimited=is_delimited,
            partial_bytes=partial_bytes,
        )

    def _handle_error_response(self, head: ResponseHead) -> AttemptResult:
        body = bytes(self._monitor.error_body)
        reason = f"server answered with {head.status}"
        may_forward = head.has_origin_proof and head.status not in NOT_RUN_STATUSES
        if not may_forward or self._exchange.is_started:
            return AttemptResult(AttemptEnd.ERROR, reason)
        if head.status < 500:
            self._exchange.respond(head.status, head.headers, body)
            return AttemptResult(AttemptEnd.DONE, reason)
        return AttemptResult(AttemptEnd.ERROR, reason, (head, body))


def _make_failure_result(message: AttemptFailed) -> AttemptResult:
    if not message.was_sent:
        return AttemptResult(AttemptEnd.UNREACHABLE, message.reason)
    return AttemptResult(
        AttemptEnd.LOST if message.is_connection_lost else AttemptEnd.ERROR,
        message.reason,
    )
