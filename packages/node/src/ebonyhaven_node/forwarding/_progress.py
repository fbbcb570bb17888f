"""What a caller has got of a stream so far."""

from __future__ import annotations

import math

import structlog
from ebonyhaven_decisions.forwarding import Route

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._http_server import Exchange
from ebonyhaven_node.forwarding._messages import AnswerHead, ForwardRequest

_log = structlog.get_logger()


class StreamProgress:
    """Delivers the events of a stream once each, and measures them.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    exchange : Exchange
    parts : RelayContext

    Attributes
    ----------
    position : str or None
        Id of the last event that the caller has.
    delivered : int
        Events delivered by this instance.
    is_late : bool
        Whether the stream missed a target.
    is_complete : bool
        Whether the end of the stream was passed on.
    resume_source : str or None
        Set while a resumed stream waits for its next event: what it goes on from.
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        exchange: Exchange,
        parts: RelayContext,
    ):
        self._request = request
        self._route = route
        self._exchange = exchange
        self._context = parts
        self._delivered_at = 0.0
        self.position = request.last_event_id
        self.delivered = 0
        self.is_late = False
        self.is_complete = False
        self.resume_source: str | None = None

    def read_wait(self, now: float) -> tuple[float, float]:
        """Return how long the caller has waited for its next event, and may on time.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        tuple of float
            Both in seconds; the second is infinite without a target.
        """
        if self.delivered:
            waited_s, target_s = now - self._delivered_at, self._route.target_gap_s
        else:
            waited_s = now - self._request.arrived_at
            target_s = self._route.target_latency_s
        return waited_s, target_s or math.inf

    def pick_new(self, blocks: list[bytes]) -> list[bytes]:
        """Return the events that come after what the caller has.

        Parameters
        ----------
        blocks : list of bytes
            Whole events in order.

        Returns
        -------
        list of bytes
        """
        return [block for block in blocks if self._advance(block)]

    def deliver(self, blocks: list[bytes], head: AnswerHead, now: float) -> None:
        """Pass on events; the first ones are preceded by the head.

        Parameters
        ----------
        blocks : list of bytes
        head : AnswerHead
        now : float
            Seconds.
        """
        if not blocks:
            return
        if self._exchange.is_started:
            self._note_pause(now - self._delivered_at)
        else:
            self._exchange.start_stream(head.status, head.headers)
            self._note_first(now - self._request.arrived_at)
        self._exchange.write(b"".join(blocks))
        self.delivered += len(blocks)
        self._delivered_at = now

    def finish(self, head: AnswerHead, rest: bytes) -> None:
        """End the stream as complete.

        Parameters
        ----------
        head : AnswerHead
        rest : bytes
            What follows the last event.
        """
        if not self._exchange.is_started:
            self._exchange.start_stream(head.status, head.headers)
        if rest:
            self._exchange.write(rest)
        self._exchange.finish()
        self.is_complete = True

    def _advance(self, block: bytes) -> bool:
        event_id = self._context.dialect.read_event_id(block)
        if event_id is None:
            return True
        if self.position is not None and not _is_after(event_id, self.position):
            return False
        self.position = event_id
        return True

    def _note_first(self, elapsed_s: float) -> None:
        self._context.metrics.first_event.observe(elapsed_s)
        if elapsed_s > self._route.target_latency_s:
            self._note_late("first_event", elapsed_s)

    def _note_pause(self, pause_s: float) -> None:
        target_s = self._route.target_gap_s
        if target_s and pause_s > target_s:
            self._note_late("pause", pause_s)
        if self.resume_source is None:
            return
        self._context.metrics.resumes.labels(self.resume_source).inc()
        self._context.metrics.resume_pause.observe(pause_s)
        _log.info(
            "stream_resumed",
            request=self._request.request_id,
            source=self.resume_source,
            pause_s=round(pause_s, 3),
            position=self.position,
        )
        self.resume_source = None

    def _note_late(self, what: str, seconds: float) -> None:
        if self.is_late:
            return
        self.is_late = True
        _log.warning(
            "stream_late",
            request=self._request.request_id,
            what=what,
            seconds=round(seconds, 3),
            position=self.position,
        )


def _is_after(event_id: str, position: str) -> bool:
    """Compare event ids, as numbers where they are."""
    if event_id.isdigit() and position.isdigit():
        return int(event_id) > int(position)
    return event_id != position
