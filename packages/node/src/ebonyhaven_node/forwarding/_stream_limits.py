"""Limits on the attempts of one stream."""

from __future__ import annotations

from typing import NamedTuple

from ebonyhaven_decisions import is_field_value, parse_count
from ebonyhaven_decisions.forwarding import Backend, Route, StreamDurations

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._crash_guards import CrashGuard
from ebonyhaven_node.forwarding._earlier_runs import EarlierRun
from ebonyhaven_node.forwarding._outcomes import (
    ALL_LEAVING_REASON,
    CLOSING_REASON,
    LEAVING_REASON,
    LEAVING_RETRY_AFTER_S,
    LEAVING_STEP,
    LIMITED_REASON,
    NO_SERVER_RETRY_AFTER_S,
    REACH_STEP,
    REPLACEMENT_RETRY_AFTER_S,
    RESTING_REASON,
    SEARCH_RETRY_AFTER_S,
    UNREACHED_REASON,
    make_crash_reason,
)
from ebonyhaven_node.forwarding._progress import StreamProgress
from ebonyhaven_node.forwarding._requests import ForwardRequest
from ebonyhaven_node.forwarding._stream_attempts import AttemptEnd
from ebonyhaven_node.forwarding._stream_servers import StreamServerSelector
from ebonyhaven_node.forwarding._stream_versions import StreamVersion

MAX_TRIED_SERVERS = 40  # ended servers do not count against the route's max_attempts
LATEST_START_SHARE = 0.75  # of the timeout; streams started later would not complete
DEADLINE_END = "deadline"
CLOSING_END = "closing"
NO_ATTEMPT_END = "no_attempt"


class GiveUpReason(NamedTuple):
    """Why a stream gets no further attempt.

    Parameters
    ----------
    text : str
    retry_after_s : float or None
        When its caller may retry, if nothing ran, seconds; None if a retry would have
        the same end.
    step : str
        Step of the failure, if nothing was delivered.
    """

    text: str
    retry_after_s: float | None
    step: str = "route"


LEAVING_GIVE_UP = GiveUpReason(LEAVING_REASON, LEAVING_RETRY_AFTER_S, LEAVING_STEP)


class StreamLimits:
    """Counts the attempts of a stream and decides whether there is another one.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    guard : CrashGuard
    version : StreamVersion
    progress : StreamProgress
    earlier_run : EarlierRun
    server_selector : StreamServerSelector
    context : RelayContext

    Attributes
    ----------
    caller_deadline : float
        Deadline of the request, seconds.
    latest_start : float
        Time after which the stream would not complete if it started, seconds.
    attempts : int
        Attempts whose request was sent, or is being sent, by any instance.
    may_have_run : bool
        Whether a server may have run the request.
    last_reason, last_peer : str
        How the last attempt ended, and its server.
    """

    __slots__ = (
        "_context",
        "_earlier_run",
        "_failed_attempts",
        "_guard",
        "_last_end",
        "_lost_servers",
        "_progress",
        "_request",
        "_route",
        "_server_selector",
        "_tried_servers",
        "_version",
        "attempts",
        "caller_deadline",
        "last_peer",
        "last_reason",
        "latest_start",
        "may_have_run",
    )

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        guard: CrashGuard,
        version: StreamVersion,
        progress: StreamProgress,
        earlier_run: EarlierRun,
        server_selector: StreamServerSelector,
        context: RelayContext,
    ):
        self._request = request
        self._route = route
        self._guard = guard
        self._version = version
        self._progress = progress
        self._earlier_run = earlier_run
        self._server_selector = server_selector
        self._context = context
        timeout_s = request.limit_timeout(route.timeout_s)
        self.caller_deadline = request.arrived_at + timeout_s
        self.latest_start = request.arrived_at + LATEST_START_SHARE * timeout_s
        self._tried_servers = 0
        self._failed_attempts = 0
        self._lost_servers: list[Backend] = []
        self._last_end: AttemptEnd | None = None
        self.attempts = request.count_earlier_runs()
        self.may_have_run = self.attempts > 0
        self.last_reason = "no server was tried"
        self.last_peer = "self"

    @property
    def deadline(self) -> float:
        """Deadline of the request, or end of this instance if earlier, seconds."""
        return self._context.shutdown.limit_deadline(self.caller_deadline)

    @property
    def must_use_other_instance(self) -> bool:
        """Whether the stream is better off elsewhere than waiting here.

        While this instance leaves, that holds for each stream that has not run.
        """
        return self._context.shutdown.is_leaving and not self.may_have_run

    def record_start(self) -> None:
        """Count an attempt that starts."""
        self.attempts += 1
        self._tried_servers += 1

    def record_end(self, end: AttemptEnd, reason: str, backend: Backend) -> None:
        """Count how an attempt ended.

        Parameters
        ----------
        end : AttemptEnd
        reason : str
        backend : Backend
        """
        self._last_end = end
        self.last_reason = reason
        self.last_peer = backend.server_id
        if end is AttemptEnd.UNREACHABLE:
            self.attempts -= 1
        if end not in (AttemptEnd.NOT_RUN, AttemptEnd.UNREACHABLE):
            self.may_have_run = True
        if end is AttemptEnd.ERROR:
            self._failed_attempts += 1
        if end in (AttemptEnd.LOST, AttemptEnd.SILENT):
            self._lost_servers.append(backend)

    def name_last_end(self, now: float) -> str:
        """Return what ended the request, or how its last attempt ended.

        For logs and metrics, whose values it bounds.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if now >= self.deadline:
            return DEADLINE_END if now >= self.caller_deadline else CLOSING_END
        return self._last_end.value if self._last_end else NO_ATTEMPT_END

    def is_undecided(self) -> bool:
        """Return whether another attempt depends on checks that are under way.

        Servers that have ended, or that are cut off, do not count as failed attempts.
        """
        is_checking = self._context.crash_monitor.is_checking
        return not self._has_attempts() and any(map(is_checking, self._lost_servers))

    def _has_attempts(self) -> bool:
        return self._count_attempts_that_failed() < self._route.max_attempts

    def _count_attempts_that_failed(self) -> int:
        return self._failed_attempts + sum(map(self._is_alive, self._lost_servers))

    def _is_alive(self, backend: Backend) -> bool:
        """Return whether the process of a server is still there, as far as is known."""
        listed = self._context.state.backends.find(backend.server_id)
        return listed is backend and self._context.crash_monitor.is_alive(backend)

    def may_replace_attempt(self, now: float) -> bool:
        """Return whether the running attempt could be followed by another one.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return (
            self._route.may_retry
            and self._count_attempts_that_failed() + 1 < self._route.max_attempts
            and self._tried_servers < MAX_TRIED_SERVERS
            and self._find_permanent_reason(now) is None
            and not self._context.is_left_to_peers()
        )

    def find_reason_to_give_up(self, now: float) -> GiveUpReason | None:
        """Return why another attempt is not allowed or cannot succeed, if so.

        Parameters
        ----------
        now : float
            Seconds.
        """
        reason = self._find_permanent_reason(now)
        if reason is not None:
            may_change = self._version.may_become_known
            return GiveUpReason(reason, SEARCH_RETRY_AFTER_S if may_change else None)
        if self.must_use_other_instance and not self._will_finish(now):
            return LEAVING_GIVE_UP
        if self._is_left_to_peers():
            return GiveUpReason(
                UNREACHED_REASON, NO_SERVER_RETRY_AFTER_S, step=REACH_STEP
            )
        has_begun = self.may_have_run or self._progress.delivered
        if not has_begun and self._server_selector.has_only_leaving():
            return GiveUpReason(ALL_LEAVING_REASON, REPLACEMENT_RETRY_AFTER_S)
        reason = self._find_exceeded_limit(now)
        if reason is not None:
            return GiveUpReason(reason, retry_after_s=NO_SERVER_RETRY_AFTER_S)
        return self._find_server_limit(now)

    def _is_left_to_peers(self) -> bool:
        """Return whether the stream goes on at another instance.

        A request is relayed there at once. A response that has begun has to be ended
        for it, which waits until the loss of contact is confirmed.
        """
        is_left = self._context.is_left_to_peers()
        if self._progress.delivered:
            return is_left and self._context.contact.is_confirmed_lost
        return is_left

    def _find_permanent_reason(self, now: float) -> str | None:
        """Return a reason that ends the request whatever else is tried."""
        if now >= self.deadline:
            return None
        obstacle = self._find_obstacle(now)
        if obstacle is not None:
            return obstacle
        may_start = self.may_have_run or now < self.latest_start
        if not may_start or self._progress.delivered:
            return None
        if self._can_finish(now):
            return None
        return "too little time is left for a whole answer"

    def _find_obstacle(self, now: float) -> str | None:
        """Return what keeps the stream from each server, whatever time is left."""
        trait = self._guard.find_blocked_trait()
        if trait is not None:
            return make_crash_reason(trait)
        if not is_field_value(self._progress.position or "0"):
            return "the id of its last event cannot be sent"
        return self._version.find_obstacle(now)

    def _find_exceeded_limit(self, now: float) -> str | None:
        if now >= self.caller_deadline:
            return "the time of the request is over"
        if now >= self.deadline:
            return CLOSING_REASON
        if not self.may_have_run:
            is_late = now >= self.latest_start
            return "no server had room in time" if is_late else self._check_attempts()
        if not self._route.may_retry:
            return self.last_reason
        return self._check_attempts()

    def _check_rest(self, rest_end: float, now: float) -> GiveUpReason | None:
        """Return a reason if all servers rest beyond the target of the first event.

        A stream that has begun waits for them, as long as its caller does.
        """
        waited_s, target_s = self._progress.measure_wait(now)
        latest = now - waited_s + target_s
        if self._progress.delivered:
            latest = self.deadline
        if rest_end <= latest:
            return None
        return GiveUpReason(RESTING_REASON, rest_end - now)

    def _find_server_limit(self, now: float) -> GiveUpReason | None:
        """Return a reason if no server takes a request within the target."""
        rest_end = self._server_selector.find_rest_end(now, self._version.name)
        if rest_end is not None:
            return self._check_rest(rest_end, now)
        limit_end = self._server_selector.find_limit_end(
            self._request.request_id, now, self._version.name
        )
        if limit_end is None:
            return None
        waited_s, target_s = self._progress.measure_wait(now)
        is_in_time = waited_s + limit_end - now <= target_s
        if is_in_time:
            return None
        return GiveUpReason(LIMITED_REASON, retry_after_s=NO_SERVER_RETRY_AFTER_S)

    def _check_attempts(self) -> str | None:
        has_attempts = self._has_attempts() or self.is_undecided()
        if has_attempts and self._tried_servers < MAX_TRIED_SERVERS:
            return None
        return f"too many attempts; last: {self.last_reason}"

    def _can_finish(self, now: float) -> bool:
        """Return whether a stream that starts now can complete before its deadline."""
        return self._durations.can_finish_in_time(
            remaining_s=self.caller_deadline - now,
            events_delivered=self._count_events_delivered(),
            has_copy=self._earlier_run.has_copy,
            has_room=self._server_selector.has_room(now, self._version.name),
        )

    def _will_finish(self, now: float) -> bool:
        """Return whether a stream that starts now ends before this instance does."""
        return self._durations.will_finish_in_time(
            remaining_s=self.deadline - now,
            events_delivered=self._count_events_delivered(),
            has_copy=self._earlier_run.has_copy,
        )

    @property
    def _durations(self) -> StreamDurations:
        return self._context.get_stream_durations(self._route.name)

    def _count_events_delivered(self) -> int:
        return parse_count(self._progress.position or "") or 0
