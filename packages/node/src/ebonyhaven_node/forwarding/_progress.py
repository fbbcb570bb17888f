"""Delivery of the events of a stream to its caller."""

from __future__ import annotations

import math

import structlog
from ebonyhaven_decisions import parse_count
from ebonyhaven_decisions.forwarding import Backend, Route

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._delivery_lags import DeliveryLag
from ebonyhaven_node.forwarding._exchanges import Exchange
from ebonyhaven_node.forwarding._requests import ForwardRequest, ResponseHead
from ebonyhaven_node.forwarding._stream_versions import StreamVersion

MAX_DELIVERY_LAG_S = 0.2  # of an event, from then on its stream is late

_log = structlog.get_logger()


class StreamProgress:
    """Delivers each event of a stream once and reports missed latency and gap targets.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    exchange : Exchange
    version : StreamVersion
        Bound to the server of the first event.
    context : RelayContext

    Attributes
    ----------
    position : str or None
        Id of the last event delivered to the caller, also by another instance.
    delivered : int
        Events delivered by this instance.
    is_late : bool
        Whether the stream missed a latency or gap target.
    is_complete : bool
        Whether the complete stream was delivered.
    resume_source : str or None
        What the stream was resumed from: a ``copy`` of the run or the ``prompt``.
        None if an event was delivered since, or if there was no resume.
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        exchange: Exchange,
        version: StreamVersion,
        context: RelayContext,
    ):
        self._request = request
        self._route = route
        self._version = version
        self._exchange = exchange
        self._context = context
        self._delivered_at = 0.0
        self._first_event_s = math.nan
        self._delivery_lag = DeliveryLag()
        self._is_delivered_late = False
        self._is_mixed = False
        self.position = request.last_event_id
        self.delivered = 0
        self.is_late = False
        self.is_complete = False
        self.resume_source: str | None = None

    def measure_wait(self, now: float) -> tuple[float, float]:
        """Return how long the caller has waited for its next event, and the target.

        Parameters
        ----------
        now : float
            Time of the context's clock, seconds.

        Returns
        -------
        tuple of float
            Both in seconds; the target is infinite if the route has none.
        """
        if self.delivered:
            waited_s, target_s = now - self._delivered_at, self._route.target_gap_s
        else:
            waited_s = now - self._request.arrived_at
            target_s = self._route.target_latency_s
        return waited_s, target_s or math.inf

    def select_new(self, events: list[bytes]) -> list[bytes]:
        """Return the events that the caller has not received yet.

        Advances `position` past them.

        Parameters
        ----------
        events : list of bytes
            Complete events in order.

        Returns
        -------
        list of bytes
        """
        return [event for event in events if self._advance_position(event)]

    def deliver(
        self, events: list[bytes], head: ResponseHead, server: Backend, now: float
    ) -> None:
        """Send events to the caller, preceded by the response head if not yet sent.

        Parameters
        ----------
        events : list of bytes
        head : ResponseHead
        server : Backend
            Server that generated the events.
        now : float
            Time of the context's clock, seconds.
        """
        if not events:
            return
        if self._exchange.is_started:
            self._record_gap(now - self._delivered_at)
        else:
            self._exchange.start_stream(head.status, head.headers)
            self._record_first_event(now - self._request.arrived_at)
        self._check_version(server)
        self._measure_delivery(now)
        data = b"".join(events)
        self._exchange.write(data)
        self._delivery_lag.record(len(data), now)
        self.delivered += len(events)
        self._delivered_at = now

    def finish(self, head: ResponseHead) -> None:
        """Complete the stream after its last event.

        Parameters
        ----------
        head : ResponseHead
        """
        now = self._context.clock()
        self._measure_delivery(now)
        self._context.metrics.delivery_lag.observe(self._delivery_lag.longest_s)
        if not self._exchange.is_started:
            self._exchange.start_stream(head.status, head.headers)
        self._exchange.finish()
        self.is_complete = True
        _log.info(
            "stream_completed",
            request=self._request.request_id,
            position=self.position,
            delivered=self.delivered,
            first_event_s=round(self._first_event_s, 3),
            elapsed_s=round(now - self._request.arrived_at, 3),
            is_late=self.is_late,
            delivery_lag_s=round(self._delivery_lag.longest_s, 3),
        )

    def _advance_position(self, event: bytes) -> bool:
        event_id = self._context.dialect.read_event_id(event)
        if event_id is None:
            return True
        if self.position is not None and not _is_after(event_id, self.position):
            return False
        self.position = event_id
        return True

    def _record_first_event(self, elapsed_s: float) -> None:
        self._first_event_s = elapsed_s
        self._context.metrics.first_event.observe(elapsed_s)
        if elapsed_s > self._route.target_latency_s:
            self._record_late("first_event", elapsed_s)

    def _record_gap(self, gap_s: float) -> None:
        target_s = self._route.target_gap_s
        if target_s and gap_s > target_s:
            self._record_late("pause", gap_s)
        if self.resume_source is None:
            return
        self._context.metrics.resumes.labels(self.resume_source).inc()
        self._context.metrics.resume_pause.observe(gap_s)
        _log.info(
            "stream_resumed",
            request=self._request.request_id,
            source=self.resume_source,
            pause_s=round(gap_s, 3),
            position=self.position,
        )
        self.resume_source = None

    def _measure_delivery(self, now: float) -> None:
        """Report a stream whose caller does not get what was written.

        It does not count as late otherwise: another server would not mend it.
        """
        lag_s = self._delivery_lag.measure(self._exchange.count_unacknowledged(), now)
        if lag_s > MAX_DELIVERY_LAG_S and not self._is_delivered_late:
            self._is_delivered_late = True
            self._log_late("delivery", lag_s)

    def _check_version(self, server: Backend) -> None:
        """Report a stream that holds events of two software versions."""
        self._version.bind_to_server(server)
        if self._is_mixed or server.software_version == self._version.name:
            return
        self._is_mixed = True
        self._context.metrics.version_changes.inc()
        _log.error(
            "stream_version_changed",
            request=self._request.request_id,
            before=self._version.name,
            version=server.software_version,
            position=self.position,
        )

    def _record_late(self, target: str, delay_s: float) -> None:
        if self.is_late:
            return
        self.is_late = True
        self._log_late(target, delay_s)

    def _log_late(self, target: str, delay_s: float) -> None:
        self._context.metrics.late_streams.labels(target).inc()
        _log.warning(
            "stream_late",
            request=self._request.request_id,
            what=target,
            seconds=round(delay_s, 3),
            position=self.position,
        )


def _is_after(event_id: str, position: str) -> bool:
    """Return whether an event id is later than the position.

    Ids that are not both numeric have no order: any id that differs is later.
    """
    numbers = parse_count(event_id), parse_count(position)
    if None in numbers:
        return event_id != position
    return numbers[0] > numbers[1]
