"""One attempt at a stream: from its sending until it ends, one way or the other."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ebonyhaven_decisions.forwarding import SERVER_PROBE_INTERVAL_S, SilenceLimits

from ebonyhaven_node.forwarding._attempt_monitors import AttemptMonitor
from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._context import SILENT_SERVER_S, RelayContext
from ebonyhaven_node.forwarding._http_server import Exchange
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import (
    AnswerData,
    AnswerEnded,
    AnswerHead,
    AnswerStarted,
    AttemptFailed,
    BackendChecked,
    BackendSuspected,
)
from ebonyhaven_node.forwarding._outcomes import PROMISING_STATUSES
from ebonyhaven_node.forwarding._progress import StreamProgress
from ebonyhaven_node.forwarding._run_copies import RunCopy


class AttemptEnd(enum.Enum):
    """How an attempt ended.

    ``NOT_RUN`` and ``UNREACHABLE`` prove that nothing ran; after the others the
    server may have worked on the request.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    SILENT = "silent"
    ERROR = "error"


class AttemptResult(NamedTuple):
    """Result of an attempt.

    Parameters
    ----------
    end : AttemptEnd
    reason : str
    failure : tuple of (AnswerHead, bytes) or None
        The server's own failure, if it can be passed on.
    """

    end: AttemptEnd
    reason: str
    failure: tuple[AnswerHead, bytes] | None = None


class StreamAttempt:
    """Follows an attempt until the stream is complete or has to go on elsewhere.

    Parameters
    ----------
    attempt : Attempt
    follower : AttemptMonitor
    copy : RunCopy
    progress : StreamProgress
    exchange : Exchange
    inbox : Inbox
    parts : RelayContext
    deadline : float
        End of the request, seconds.
    """

    def __init__(
        self,
        *,
        attempt: Attempt,
        follower: AttemptMonitor,
        copy: RunCopy,
        progress: StreamProgress,
        exchange: Exchange,
        inbox: Inbox,
        parts: RelayContext,
        deadline: float,
    ):
        self._attempt = attempt
        self._backend = attempt.backend
        self._follower = follower
        self._copy = copy
        self._progress = progress
        self._exchange = exchange
        self._inbox = inbox
        self._context = parts
        self._deadline = deadline

    async def follow(self) -> AttemptResult:
        """Handle messages until the attempt ends.

        Returns
        -------
        AttemptResult
        """
        while True:
            now = self._context.clock()
            if self._follower.events:
                self._copy.review(now)
            limits = self._follower.read_limits(self._copy.is_usable(now))
            wait_s = self._follower.read_wait(limits, now)
            message = await self._inbox.get(min(wait_s, self._deadline - now))
            if self._exchange.is_done:
                return AttemptResult(AttemptEnd.DONE, "the caller left")
            self._copy.take(message)
            result = self._take(message, limits)
            if result is not None:
                return result

    def _take(self, message: object, limits: SilenceLimits) -> AttemptResult | None:
        """Handle one message; return how the attempt ended, if it did."""
        result = None
        match message:
            case None:
                result = self._handle_silence(limits)
            case BackendSuspected():
                result = self._handle_suspicion(message)
            case BackendChecked(server_key, False) if server_key == self._backend.key:
                result = self._handle_dead()
            case AnswerStarted(sender, head) if sender is self._attempt:
                self._take_head(head)
            case AnswerData(sender, data) if sender is self._attempt:
                result = self._take_data(data)
            case AnswerEnded(sender) if sender is self._attempt:
                result = self._take_end()
            case AttemptFailed(sender) if sender is self._attempt:
                result = _describe_failure(message)
        return result

    # -- silence -----------------------------------------------------------

    def _handle_suspicion(self, suspicion: BackendSuspected) -> AttemptResult | None:
        """Leave a server that another stream found lost; check those near it."""
        if not self._attempt.was_sent or not self._follower.is_doubtful():
            return None
        if suspicion.server_key == self._backend.key:
            reason = "the server was found silent by another stream"
            return AttemptResult(AttemptEnd.SILENT, reason)
        is_near = suspicion.data_centre == self._backend.entry.data_centre
        if is_near and not self._follower.events:
            self._check()
        return None

    def _handle_dead(self) -> AttemptResult | None:
        if not self._follower.is_doubtful():
            return None
        self._context.report_unreachable(self._backend)
        return AttemptResult(AttemptEnd.SILENT, "the server accepts no connection")

    def _handle_silence(self, limits: SilenceLimits) -> AttemptResult | None:
        now = self._context.clock()
        silent_s = now - self._follower.heard_at
        if now < self._deadline and silent_s < limits.resume_after_s:
            self._check()
            return None
        is_unheard = now - self._backend.last_received_at > SILENT_SERVER_S
        if is_unheard and self._follower.events:
            self._context.report_unreachable(self._backend)
        end = AttemptEnd.SILENT if self._attempt.was_sent else AttemptEnd.UNREACHABLE
        return AttemptResult(end, f"silent for {silent_s:.2f} s")

    def _check(self) -> None:
        now = self._context.clock()
        if now - self._follower.checked_at >= SERVER_PROBE_INTERVAL_S:
            self._follower.checked_at = now
            self._context.check(self._backend, self._inbox)

    # -- the answer --------------------------------------------------------

    def _take_head(self, head: AnswerHead) -> None:
        self._follower.take_head(head)
        if head.is_other_process:
            self._context.report_replaced(self._backend, head.other_server)

    def _take_data(self, data: bytes) -> AttemptResult | None:
        if not self._follower.is_stream():
            self._follower.error_body.append(data)
            return None
        try:
            blocks = self._follower.splitter.feed(data)
        except ValueError as error:
            return AttemptResult(AttemptEnd.ERROR, str(error))
        now = self._context.clock()
        new = self._progress.pick_new(blocks)
        if blocks:
            self._follower.record_events(now, len(blocks))
        self._progress.deliver(new, self._follower.head, now)
        return None

    def _take_end(self) -> AttemptResult:
        head = self._follower.head
        if head.not_run:
            return AttemptResult(
                AttemptEnd.NOT_RUN, f"server refused with {head.status}"
            )
        if not self._follower.is_stream():
            return self._take_error(head)
        self._progress.finish(head, self._follower.splitter.take_rest())
        if self._attempt.plan.last_event_id is None:
            self._follower.record_whole_answer()
        return AttemptResult(AttemptEnd.DONE, "complete")

    def _take_error(self, head: AnswerHead) -> AttemptResult:
        body = b"".join(self._follower.error_body)
        reason = f"server answered with {head.status}"
        may_pass_on = head.has_proof and head.status not in PROMISING_STATUSES
        if not may_pass_on or self._exchange.is_started:
            return AttemptResult(AttemptEnd.ERROR, reason)
        if head.status < 500:
            self._exchange.respond(head.status, head.headers, body)
            return AttemptResult(AttemptEnd.DONE, reason)
        return AttemptResult(AttemptEnd.ERROR, reason, (head, body))


def _describe_failure(message: AttemptFailed) -> AttemptResult:
    if not message.was_sent:
        return AttemptResult(AttemptEnd.UNREACHABLE, message.reason)
    return AttemptResult(
        AttemptEnd.LOST if message.is_reset else AttemptEnd.ERROR, message.reason
    )
