"""Progress and silence of one attempt at a stream."""

from __future__ import annotations

import math

from ebonyhaven_decisions.forwarding import (
    SERVER_PROBE_INTERVAL_S,
    EngineUse,
    Route,
    SilenceLimits,
    compute_first_event_limits,
    compute_gap_limits,
)

from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._context import SILENT_SERVER_S, RelayContext
from ebonyhaven_node.forwarding._events import EventSplitter
from ebonyhaven_node.forwarding._messages import AnswerHead
from ebonyhaven_node.forwarding._reservations import EngineReservation


class AttemptMonitor:
    """What one attempt at a stream has shown so far.

    Parameters
    ----------
    attempt : Attempt
    route : Route
    parts : RelayContext
    claim : EngineReservation
    """

    __slots__ = (
        "_attempt",
        "_claim",
        "_longest_estimate_s",
        "_context",
        "_route",
        "checked_at",
        "error_body",
        "events",
        "first_at",
        "head",
        "heard_at",
        "longest_gap_s",
        "splitter",
        "started_at",
    )

    def __init__(
        self,
        attempt: Attempt,
        route: Route,
        parts: RelayContext,
        claim: EngineReservation,
    ):
        self._attempt = attempt
        self._route = route
        self._context = parts
        self._claim = claim
        self.head: AnswerHead | None = None
        self.heard_at = self.started_at = parts.clock()
        self.checked_at = -math.inf
        self.longest_gap_s = 0.0
        self._longest_estimate_s = 0.0
        self.events = 0
        self.first_at = self.started_at
        self.splitter = EventSplitter()
        self.error_body: list[bytes] = []

    def take_head(self, head: AnswerHead) -> None:
        """Take note of the head of the answer."""
        self.head = head
        self.heard_at = self._context.clock()

    def is_stream(self) -> bool:
        """Tell whether the answer is the server's own stream."""
        head = self.head
        return head.status == 200 and head.has_proof and head.request_id is not None

    def record_events(self, now: float, count: int) -> None:
        """Take note of events that arrived."""
        if self.events == 0:
            self.first_at = now
            tokens = self._claim.prefill_tokens
            if tokens and self._attempt.backend.prefill_tokens == tokens:
                self._context.prefill.record(tokens, now - self.started_at)
            self._claim.end_prefill()
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.heard_at)
        self.events += count
        self.heard_at = now

    def record_whole_answer(self) -> None:
        """Take note of how long an answer took that this server gave alone."""
        self._context.get_stream_durations(self._route.name).record(
            first_event_s=self.first_at - self.started_at,
            streaming_s=self._context.clock() - self.first_at,
            events=self.events,
        )

    def read_limits(self, has_copy: bool) -> SilenceLimits:
        """Return how long the server may be silent now."""
        if self.events:
            return compute_gap_limits(
                target_gap_s=self._route.target_gap_s,
                longest_gap_s=self.longest_gap_s,
                has_copy=has_copy,
            )
        target_s = self._route.target_latency_s or 1.0
        return compute_first_event_limits(
            target_latency_s=target_s, estimate_s=self._estimate_first_event()
        )

    def _estimate_first_event(self) -> float:
        """Return how long reading the prompts on the engine takes, seconds.

        Those that were read meanwhile still count, as this one waited for them.
        """
        backend = self._attempt.backend
        peers = self._context.peers.sum_by_server(self._context.clock())
        others = peers.get(backend.server_id, EngineUse()).prefill_tokens
        estimate_s = self._context.prefill.estimate_s(backend.prefill_tokens + others)
        self._longest_estimate_s = max(self._longest_estimate_s, estimate_s)
        return self._longest_estimate_s

    def read_wait(self, limits: SilenceLimits, now: float) -> float:
        """Return the time until something is due if nothing arrives, seconds."""
        check_at = max(
            self.heard_at + limits.probe_after_s,
            self.checked_at + SERVER_PROBE_INTERVAL_S,
        )
        give_up_at = self.heard_at + limits.resume_after_s
        return max(0.001, min(check_at, give_up_at) - now)

    def is_doubtful(self) -> bool:
        """Tell whether the server said nothing to anybody for a while."""
        now = self._context.clock()
        backend = self._attempt.backend
        heard_at = max(backend.last_received_at, self.started_at)
        return now - heard_at > SILENT_SERVER_S
