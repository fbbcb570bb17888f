"""Monitoring of the progress and the silence of stream attempts."""

from __future__ import annotations

import math

from ebonyhaven_decisions.forwarding import (
    EARLY_EVENTS,
    SERVER_PROBE_INTERVAL_S,
    EngineUse,
    Route,
    SilenceLimits,
    compute_first_event_limits,
    compute_gap_limits,
)

from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._context import SERVER_SILENCE_LIMIT_S, RelayContext
from ebonyhaven_node.forwarding._events import EventSplitter
from ebonyhaven_node.forwarding._requests import ResponseHead
from ebonyhaven_node.forwarding._reservations import EngineReservation

# The first events of a stream tell its pace long before it has ended.
PACE_EVENTS = 16
PROBE_INTERVAL_SILENCE_SHARE = 0.5  # of the silence so far, between two probes


class AttemptMonitor:
    """Monitors the response to one attempt at a stream.

    Parameters
    ----------
    attempt : Attempt
    route : Route
    context : RelayContext
    reservation : EngineReservation

    Attributes
    ----------
    head : ResponseHead or None
        None until the head arrived.
    events : int
        Events received in this attempt.
    started_at, first_event_at, last_received_at : float
        Times of the start, the first event and the last data received, seconds.
    probed_at : float
        Time of the last probe of the server, seconds; minus infinity before the first.
    alive_at : float
        Time at which the server last answered a probe, likewise.
    kept_at : float
        Time at which the attempt was last kept although the server was silent for too
        long, likewise.
    longest_gap_s : float
        Longest gap between two events of this attempt.
    splitter : EventSplitter
    error_body : bytearray
        Body received so far if the response is not an event stream.
    """

    __slots__ = (
        "_attempt",
        "_context",
        "_longest_estimate_s",
        "_reservation",
        "_route",
        "alive_at",
        "error_body",
        "events",
        "first_event_at",
        "head",
        "kept_at",
        "last_received_at",
        "longest_gap_s",
        "probed_at",
        "splitter",
        "started_at",
    )

    def __init__(
        self,
        attempt: Attempt,
        route: Route,
        context: RelayContext,
        reservation: EngineReservation,
    ):
        self._attempt = attempt
        self._route = route
        self._context = context
        self._reservation = reservation
        self.head: ResponseHead | None = None
        self.last_received_at = self.started_at = context.clock()
        self.probed_at = self.alive_at = self.kept_at = -math.inf
        self.longest_gap_s = 0.0
        self._longest_estimate_s = 0.0
        self.events = 0
        self.first_event_at = self.started_at
        self.splitter = EventSplitter()
        self.error_body = bytearray()

    @property
    def route_name(self) -> str:
        """Name of the route of the request."""
        return self._route.name

    @property
    def may_resume(self) -> bool:
        """Whether the stream may go on at another server."""
        return self._route.is_resumable

    def record_head(self, head: ResponseHead) -> None:
        """Record the head of the response.

        Parameters
        ----------
        head : ResponseHead
        """
        self.head = head
        self.last_received_at = self._context.clock()

    def is_event_stream(self) -> bool:
        """Return whether the response is treated as an event stream.

        It has status 200, proof of its origin and a request id.
        """
        head = self.head
        return (
            head.status == 200 and head.has_origin_proof and head.request_id is not None
        )

    def record_events(self, now: float, count: int) -> None:
        """Record that events arrived.

        Parameters
        ----------
        now : float
            Seconds.
        count : int
            Number of events.
        """
        if self.events == 0:
            self.first_event_at = now
            tokens = self._reservation.prefill_tokens
            # Other prefills of this instance on the engine would distort the rate.
            if tokens and self._attempt.backend.prefill_tokens == tokens:
                self._context.prefill_rate.record(tokens, now - self.started_at)
            self._reservation.release_prefill()
            self._context.rollouts.record_first_event(
                self._attempt.backend,
                self._route.name,
                time_s=None if self._attempt.plan.copy else now - self.started_at,
            )
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_received_at)
        had_pace = self.events >= PACE_EVENTS
        self.events += count
        self.last_received_at = now
        if self.events >= PACE_EVENTS and not had_pace:
            self._context.rollouts.record_pace(
                self._attempt.backend,
                self._route.name,
                pace_s=(now - self.first_event_at) / self.events,
            )

    def is_far_into_stream(self) -> bool:
        """Return whether a content that crashes servers would have done so by now."""
        return self.events >= EARLY_EVENTS

    def record_stream_completed(self) -> None:
        """Record the durations of a stream that one attempt served completely."""
        self._context.get_stream_durations(self._route.name).record(
            first_event_s=self.first_event_at - self.started_at,
            streaming_s=self._context.clock() - self.first_event_at,
            events=self.events,
        )

    def compute_silence_limits(self, has_copy: bool) -> SilenceLimits:
        """Return how long the server may be silent now.

        Parameters
        ----------
        has_copy : bool
            Whether the run can resume from a copy.

        Returns
        -------
        SilenceLimits
        """
        if self.events:
            return compute_gap_limits(
                target_gap_s=self._route.target_gap_s,
                longest_gap_s=self.longest_gap_s,
                has_copy=has_copy,
            )
        target_s = self._route.target_latency_s or 1.0
        return compute_first_event_limits(
            target_latency_s=target_s, estimate_s=self._estimate_first_event_s()
        )

    def _estimate_first_event_s(self) -> float:
        """Return the expected time to the first event, seconds.

        Prompts that the engine has prefilled meanwhile still count, because this
        one waited for them.
        """
        backend = self._attempt.backend
        peers = self._context.peers.sum_by_server(self._context.clock())
        peer_tokens = peers.get(backend.server_id, EngineUse()).prefill_tokens
        estimate_s = self._context.prefill_rate.estimate_s(
            backend.prefill_tokens + peer_tokens
        )
        self._longest_estimate_s = max(self._longest_estimate_s, estimate_s)
        return self._longest_estimate_s

    def compute_wait_s(self, limits: SilenceLimits, now: float) -> float:
        """Return the time until the next probe or resume if nothing arrives.

        Parameters
        ----------
        limits : SilenceLimits
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds.
        """
        probe_at = max(
            self.last_received_at + limits.probe_after_s,
            self.probed_at + self._compute_probe_interval_s(),
        )
        resume_at = max(
            self.last_received_at + limits.resume_after_s,
            self.kept_at + SERVER_PROBE_INTERVAL_S,
        )
        return max(0.001, min(probe_at, resume_at) - now)

    def is_probe_due(self, now: float) -> bool:
        """Return whether the last probe of the server is long enough ago.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return now - self.probed_at >= self._compute_probe_interval_s()

    def _compute_probe_interval_s(self) -> float:
        silent_s = max(0.0, self.probed_at - self.last_received_at)
        return max(SERVER_PROBE_INTERVAL_S, PROBE_INTERVAL_SILENCE_SHARE * silent_s)

    def is_server_silent(self) -> bool:
        """Return whether the server sent nothing to this instance recently.

        All requests of this instance on the server count, see `SERVER_SILENCE_LIMIT_S`.
        """
        now = self._context.clock()
        backend = self._attempt.backend
        last_received_at = max(backend.last_received_at, self.started_at)
        return now - last_received_at > SERVER_SILENCE_LIMIT_S
