"""One attempt of a request at one backend server, and its messages."""

from __future__ import annotations

from typing import NamedTuple

from ebonyhaven_decisions.forwarding import Backend, SendObstacle

from ebonyhaven_node.exceptions import UnsendableRequest
from ebonyhaven_node.forwarding._connection_pool import (
    ConnectFailure,
    PendingConnection,
)
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._crash_guards import CrashGuard
from ebonyhaven_node.forwarding._http_client import (
    HttpConnection,
    HttpRequest,
    ResponseHandler,
)
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._loss_probes import ServerFate
from ebonyhaven_node.forwarding._requests import (
    AttemptPlan,
    ForwardRequest,
    Headers,
    ResponseHead,
)

CANCELLATION_S = 0.3  # in which a server finds that a connection was closed


class Attempt(ResponseHandler):
    """Sends a request to a backend server and reports the response to an inbox.

    Parameters
    ----------
    request : ForwardRequest
    backend : Backend
    plan : AttemptPlan
    guard : CrashGuard
    connections : list of HttpConnection
        Those that have carried the request, to which this attempt adds its own.
    inbox : Inbox
        Receives `ResponseStarted`, a `ResponseData` per chunk and
        `ResponseCompleted`, or `AttemptFailed` at any point before completion.
    context : RelayContext

    Attributes
    ----------
    head : ResponseHead or None
        None until the head of the response has arrived.
    was_sent : bool
        Whether the server may have received the request.
    is_finished : bool
        Whether the attempt completed, failed or was cancelled.
    sent_at : float
        Time at which the request was sent, seconds. Until then, time at which the
        attempt started.
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        backend: Backend,
        plan: AttemptPlan,
        guard: CrashGuard,
        connections: list[HttpConnection],
        inbox: Inbox,
        context: RelayContext,
    ):
        self.backend = backend
        self.head: ResponseHead | None = None
        self.was_sent = False
        self.is_finished = False
        self.sent_at = 0.0
        self.plan = plan
        self._request = request
        self._guard = guard
        self._connections = connections
        self._inbox = inbox
        self._context = context
        self._connection: HttpConnection | None = None
        self._pending: PendingConnection | None = None
        self._is_counted = False  # among the requests that its server has to run
        self._is_admitted = False
        self._patience_s = plan.patience_s

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self._request.request_id

    @property
    def _is_bound(self) -> bool:
        """Whether the attempt goes on with a stream at the version that began it."""
        return self.plan.last_event_id is not None or self.plan.copy is not None

    def start(self) -> None:
        """Send the request on an idle connection, or on a new one if none is idle."""
        self.backend.in_flight += 1
        now = self.sent_at = self._context.clock()
        obstacle = self._find_obstacle(now)
        if obstacle is not None:
            self._fail_unsent(obstacle)
            return
        self._is_counted = self.backend.limiter.acquire(now)
        if not self._is_counted:
            self._fail_unsent(SendObstacle.LIMITED)
            return
        self._is_admitted = self._context.rollouts.acquire(
            self.backend, is_bound=self._is_bound
        )
        if not self._is_admitted:
            self._fail_unsent(SendObstacle.ROLLOUT)
            return
        address = self.backend.entry.address
        connection = self._context.pool.acquire_idle(address, self._connections)
        if connection is not None:
            self._send(connection)
            return
        self._pending = self._context.pool.connect(
            address, on_connected=self._send, on_failed=self._handle_connect_failure
        )

    def cancel(self) -> None:
        """Cancel the attempt and close its connection."""
        if self.is_finished:
            return
        self._finish(is_cancelled=True)
        if self._pending is not None:
            self._pending.cancel()
        if self._connection is not None:
            self._connection.abort()

    def check_end(self) -> None:
        """Find out whether the server has ended with its response.

        A response without framing ends with its connection, and a process that is
        killed closes its connections in good order. The inbox receives
        `ResponseEndChecked`.
        """

        def report(fate: ServerFate) -> None:
            has_ended = fate is ServerFate.ENDED and not self.backend.is_leaving
            self._inbox.put(ResponseEndChecked(self, has_ended))

        self._context.crash_monitor.find_fate(self.backend, report)

    def accept_head(self, status: int, headers: Headers) -> bool:
        """See `ResponseHandler.accept_head`."""
        head = self._context.dialect.read_head(status, headers)
        if head.is_leaving:
            self._report_leaving(head)
        if head.rest_s is not None:
            self._context.report_rest(self.backend, head.rest_s)
        if head.request_id is not None and head.request_id != self._request.request_id:
            return False
        if head.request_id is None:  # may belong to an earlier request
            head = head._replace(not_run=False, is_other_process=False)
        now = self._context.clock()
        if head.rest_s is None:
            self.backend.limiter.rest.record_served(now)
        self.backend.record_received(now)
        self._context.contact.record_received(self.backend)
        self._record_load(head, now)
        if head.request_id is not None and not head.is_other_process:
            self._context.report_limits(self.backend, head.limits)
        self.head = head
        self._inbox.put(ResponseStarted(self, head))
        return True

    def handle_data(self, data: bytes) -> None:
        """See `ResponseHandler.handle_data`."""
        self._shorten_patience()
        self.backend.record_data(self._context.clock())
        self._context.contact.record_received(self.backend)
        if not self.is_finished:
            self._inbox.put(ResponseData(self, data))

    def complete(self, *, is_delimited: bool) -> None:
        """See `ResponseHandler.complete`."""
        if not self.is_finished:
            self._finish()
            self._inbox.put(ResponseCompleted(self, is_delimited))

    def fail(self, reason: str, *, is_connection_lost: bool) -> None:
        """See `ResponseHandler.fail`."""
        if self.is_finished:
            return
        self._finish()
        self._inbox.put(AttemptFailed(self, True, is_connection_lost, reason))

    def _send(self, connection: HttpConnection) -> None:
        self._pending = None
        if self.is_finished:
            connection.abort()
            return
        now = self._context.clock()
        obstacle = self._find_obstacle(now)
        if obstacle is not None:
            connection.abort()
            self._fail_unsent(obstacle)
            return
        try:
            connection.send(self._make_http_request(), self)
        except UnsendableRequest as error:
            connection.abort()
            self._finish()
            reason = f"the request cannot be sent: {error}"
            self._inbox.put(AttemptFailed(self, False, False, reason, is_final=True))
            return
        self._connection = connection
        is_first = not self._connections
        self._context.rollouts.record_sent(self.backend, is_first=is_first)
        self._connections.append(connection)
        self.was_sent = True
        self.sent_at = now
        self.backend.silence.record_sent(now, self.plan.patience_s)

    def _make_http_request(self) -> HttpRequest:
        headers = self._context.dialect.write_headers(
            self._request, self.backend.server_id, self.plan
        )
        return HttpRequest(
            method=self._request.method,
            target=self._request.target,
            headers=headers,
            body=self._request.body,
            max_response_bytes=self.plan.max_response_bytes,
        )

    def _handle_connect_failure(self, failure: ConnectFailure) -> None:
        if self.is_finished:
            return
        self._finish()
        if failure.is_refused:
            self._context.crash_monitor.record_ended(self.backend)
        self._context.report_unreachable(self.backend)
        self._inbox.put(AttemptFailed(self, False, True, failure.reason, True))

    def _find_obstacle(self, now: float) -> SendObstacle | None:
        """Return what keeps the request from the server, chosen some time ago."""
        if self._guard.find_blocked_trait() is not None:
            return SendObstacle.CRASHING
        if self._is_bound and self._context.may_be_replaced(self.backend):
            return SendObstacle.LEFT
        return self._context.state.backends.find_obstacle(
            self.backend, now, is_bound=self._is_bound
        )

    def _fail_unsent(self, obstacle: SendObstacle) -> None:
        self._finish()
        is_unreached = obstacle in (SendObstacle.LIMITED, SendObstacle.SILENT)
        self._inbox.put(AttemptFailed(self, False, True, obstacle.value, is_unreached))

    def _report_leaving(self, head: ResponseHead) -> None:
        """Report the process that answered, which need not be the addressed one."""
        backend: Backend | None = self.backend
        if head.is_other_process:
            other_id = head.other_server_id or ""
            backend = self._context.state.backends.find(other_id)
        if backend is not None:
            self._context.report_told_leave(backend)

    def _record_load(self, head: ResponseHead, now: float) -> None:
        if head.is_other_process:
            return
        if head.load is not None:
            self.backend.record_load(head.load, now)
        if head.unread_load is not None:
            self._context.report_unread_load(self.backend, head.unread_load)

    def _shorten_patience(self) -> None:
        """No longer allow for the prefill, once the stream has begun."""
        gap_patience_s = self.plan.gap_patience_s
        if gap_patience_s is None or self.is_finished:
            return
        if gap_patience_s < self._patience_s:
            self.backend.silence.record_begun(self._patience_s, gap_patience_s)
            self._patience_s = gap_patience_s

    def _record_ended(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self.backend.limiter.record_ended()
            self._context.permits.handle_ended(self.backend)

    def _finish(self, *, is_cancelled: bool = False) -> None:
        self.is_finished = True
        if self.was_sent:
            now = self._context.clock()
            self.backend.silence.record_ended(now, self._patience_s)
        elif self._is_admitted:
            self._context.rollouts.refund(self.backend)
        if is_cancelled and self.was_sent and self.backend.limiter.has_limits:
            self._context.reactor.callLater(CANCELLATION_S, self._record_ended)
        else:
            self._record_ended()
        self.backend.in_flight -= 1
        self._context.capacity_notifier.notify()


class ResponseStarted(NamedTuple):
    """The head of a response has arrived."""

    attempt: Attempt
    head: ResponseHead


class ResponseData(NamedTuple):
    """A chunk of a response's body has arrived."""

    attempt: Attempt
    data: bytes


class ResponseCompleted(NamedTuple):
    """A response has ended, and is complete as far as HTTP can tell.

    Parameters
    ----------
    attempt : Attempt
    is_delimited : bool
        See `ResponseHandler.complete`.
    """

    attempt: Attempt
    is_delimited: bool


class ResponseEndChecked(NamedTuple):
    """What became of the server of a response that ended with its connection.

    Parameters
    ----------
    attempt : Attempt
    has_ended : bool
        Whether the process of the server has ended.
    """

    attempt: Attempt
    has_ended: bool


class AttemptFailed(NamedTuple):
    """An attempt ended without a complete response.

    Parameters
    ----------
    attempt : Attempt
    was_sent : bool
        Whether the request was sent, so that the server may have run it.
    is_connection_lost : bool
        True if the connection failed or ended, False if the response is malformed.
    reason : str
    is_unreached : bool
        Whether the request was not sent although the server may get requests.
    is_final : bool
        Whether no other server can get the request either.
    """

    attempt: Attempt
    was_sent: bool
    is_connection_lost: bool
    reason: str
    is_unreached: bool = False
    is_final: bool = False
