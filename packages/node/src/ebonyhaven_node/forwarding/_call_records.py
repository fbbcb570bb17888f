"""What the attempts at a request with a single response tell of their servers."""

from __future__ import annotations

from collections.abc import Iterable

from ebonyhaven_decisions.forwarding import Route

from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._crash_guards import CrashGuard
from ebonyhaven_node.forwarding._outcomes import NOT_RUN_STATUSES
from ebonyhaven_node.forwarding._requests import ResponseHead


class CallRecorder:
    """Records answers, failures and timeouts for all that judges servers by them.

    Parameters
    ----------
    route : Route
    guard : CrashGuard
    context : RelayContext
    """

    __slots__ = ("_context", "_guard", "_route")

    def __init__(self, *, route: Route, guard: CrashGuard, context: RelayContext):
        self._route = route
        self._guard = guard
        self._context = context

    def count(self, result: str) -> None:
        """Count an attempt in the metrics.

        Parameters
        ----------
        result : str
        """
        self._context.metrics.attempts.labels(self._route.kind.value, result).inc()

    def record_end(self, *, is_delimited: bool) -> None:
        """Count how the end of a response was marked.

        Parameters
        ----------
        is_delimited : bool
            Whether by its framing, not by the end of its connection.
        """
        self._context.metrics.record_response_end(
            self._route.kind.value, is_delimited=is_delimited, partial_bytes=0
        )

    def record_response(
        self,
        attempt: Attempt,
        head: ResponseHead,
        *,
        is_delimited: bool,
        latency_s: float,
    ) -> bool:
        """Record the response of a server that ran the request.

        Parameters
        ----------
        attempt : Attempt
        head : ResponseHead
        is_delimited : bool
            See `record_end`.
        latency_s : float
            Seconds since the request was sent.

        Returns
        -------
        bool
            Whether it is a success of the listed server.
        """
        is_own = is_own_response(head)
        if not is_delimited:  # a server that crashes closes its connections as well
            self._guard.check_loss(attempt.backend, has_begun=True)
        elif is_own:
            self._guard.record_completed()
        is_promise = head.status in NOT_RUN_STATUSES  # although the server ran it
        is_success = head.status < 500 and head.has_origin_proof and not is_promise
        attempt.backend.record_result(succeeded=is_success, latency_s=latency_s)
        self._context.rollouts.record_answer(
            attempt.backend,
            self._route.name,
            request_id=attempt.request_id,
            sent_at=attempt.sent_at,
            is_failure=not is_success or not is_own,
        )
        return is_success and is_own

    def record_overtaken(self, running: Iterable[Attempt], answered: Attempt) -> None:
        """Record the attempts that the answer of a hedge hides.

        Parameters
        ----------
        running : iterable of Attempt
        answered : Attempt
        """
        for each in running:
            if each.was_sent:
                self._context.rollouts.record_overtaken(
                    each.backend,
                    self._route.name,
                    sent_at=each.sent_at,
                    answered_sent_at=answered.sent_at,
                )

    def record_refusal(self, attempt: Attempt, head: ResponseHead) -> None:
        """Record that a server refused the request.

        Parameters
        ----------
        attempt : Attempt
        head : ResponseHead
        """
        if head.is_other_process:
            self._context.report_replaced(attempt.backend, head.other_server_id)
        else:
            self._context.report_refused(attempt.backend)
        self.count("refused")

    def record_broken(self, attempt: Attempt, *, is_connection_lost: bool) -> None:
        """Record that a response broke off after the request was sent.

        Parameters
        ----------
        attempt : Attempt
        is_connection_lost : bool
        """
        self._context.rollouts.record_broken(
            attempt.backend,
            self._route.name,
            request_id=attempt.request_id,
            is_connection_lost=is_connection_lost,
        )
        if is_connection_lost:
            self._guard.check_loss(attempt.backend, has_begun=attempt.head is not None)

    def record_timeouts(self, running: Iterable[Attempt]) -> None:
        """Record the attempts that had no answer in the time of the request.

        Parameters
        ----------
        running : iterable of Attempt
        """
        for attempt in running:
            if attempt.was_sent:
                self._record_timeout(attempt)

    def _record_timeout(self, attempt: Attempt) -> None:
        backend = attempt.backend
        backend.record_result(succeeded=False, latency_s=None)
        self._context.rollouts.record_timeout(
            backend,
            self._route.name,
            request_id=attempt.request_id,
            sent_at=attempt.sent_at,
            timeout_s=self._route.timeout_s,
        )
        has_sent_nothing = backend.last_received_at < attempt.sent_at
        if attempt.head is None and has_sent_nothing:
            self._context.report_unreachable(backend)


def is_own_response(head: ResponseHead) -> bool:
    """Return whether a response shows that it is the listed server's to this request.

    Parameters
    ----------
    head : ResponseHead
    """
    return head.has_origin_proof and head.request_id is not None
