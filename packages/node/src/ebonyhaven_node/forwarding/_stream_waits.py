"""Place of one stream in the line of its service, and the forecast of its wait."""

from __future__ import annotations

import math
from collections.abc import Sequence

import structlog
from ebonyhaven_decisions.forwarding import Backend, Route
from ebonyhaven_decisions.forwarding.waiting import (
    RANKS,
    WaitForecast,
    WaitingStream,
    choose_retry_after_s,
    estimate_freed_tokens_per_s,
    forecast_wait,
    limit_patience_s,
    limit_rank,
)

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._progress import StreamProgress
from ebonyhaven_node.forwarding._requests import ForwardRequest
from ebonyhaven_node.forwarding._stream_limits import GiveUpReason, StreamLimits
from ebonyhaven_node.forwarding._stream_servers import StreamServerSelector

# Under overload, each stream that looks for a server looks at all of them. Those at the
# head of the line do so at each notification, the others now and then, in case they may
# be placed before the first ones.
LINE_HEAD_STREAMS = 4
LINE_TAIL_INTERVAL_S = 0.3
LOGGED_WAIT_S = 0.2
FORECAST_REASON = "room would come too late for this request"

_log = structlog.get_logger()


class StreamWait:
    """Waits of one stream for a server.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    service : str
    priority : int
        Priority of the request; 0 is the most urgent.
    workspace : str or None
    tokens : int
        Engine memory that the stream requires; 0 without a model engine.
    progress : StreamProgress
    limits : StreamLimits
    server_selector : StreamServerSelector
    context : RelayContext
    """

    __slots__ = (
        "_began_at",
        "_context",
        "_forecast",
        "_limits",
        "_looked_at",
        "_progress",
        "_rank",
        "_request",
        "_route",
        "_server_selector",
        "_tokens",
        "_waiting",
        "_workspace",
    )

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        service: str,
        priority: int,
        workspace: str | None,
        tokens: int,
        progress: StreamProgress,
        limits: StreamLimits,
        server_selector: StreamServerSelector,
        context: RelayContext,
    ):
        self._request = request
        self._route = route
        self._rank = limit_rank(priority)
        self._workspace = workspace or ""
        self._tokens = tokens
        self._progress = progress
        self._limits = limits
        self._server_selector = server_selector
        self._context = context
        self._waiting = context.waiting.get(service)
        self._began_at = 0.0
        self._looked_at = -math.inf
        self._forecast: WaitForecast | None = None
        if tokens:
            self._waiting.record_request(
                self._rank, route.target_latency_s or math.inf, request.arrived_at
            )

    @property
    def has_begun(self) -> bool:
        """Whether the caller of the stream has received events."""
        return self._progress.position is not None

    def begin(self, now: float) -> None:
        """Take a place in the line.

        Parameters
        ----------
        now : float
            Seconds.
        """
        waited_s, target_s = self._progress.measure_wait(now)
        self._began_at = now
        self._forecast = None
        stream = WaitingStream(
            self._request.request_id,
            self._rank,
            workspace=self._workspace,
            tokens=self._tokens,
            route_rank=limit_rank(self._route.priority),
            has_begun=self.has_begun,
            on_time_until=now - waited_s + target_s,
        )
        self._waiting.line.join(stream, now)

    def end(self, *, is_served: bool) -> None:
        """Leave the line.

        Parameters
        ----------
        is_served : bool
            Whether the stream got a server.
        """
        self._waiting.line.leave(self._request.request_id, is_served=is_served)
        if is_served:
            self._record_wait(self._context.clock() - self._began_at)

    def read_order(self) -> int:
        """Return how many streams go before this one."""
        now = self._context.clock()
        return self._waiting.line.count_ahead(self._request.request_id, now)

    def is_turn(self, now: float) -> bool:
        """Return whether the stream looks for a server now.

        Parameters
        ----------
        now : float
            Seconds.
        """
        is_at_head = self._waiting.line.is_among_first(
            self._request.request_id, LINE_HEAD_STREAMS, now
        )
        if not is_at_head and now - self._looked_at < LINE_TAIL_INTERVAL_S:
            return False
        self._looked_at = now
        return True

    def may_take_room(self, engines: Sequence[Backend], now: float) -> bool:
        """Return whether the stream may be sent now to an engine that has room.

        If more streams wait, here and elsewhere, than engines have room for, it waits
        for the part of this instance. A stream that has begun takes what there is.

        Parameters
        ----------
        engines : sequence of Backend
            Those that have room for it.
        now : float
            Seconds.
        """
        if not self._tokens or self.has_begun:
            return True
        elsewhere = self._waiting.peers.estimate_waiting(
            self._context.budget.instances, now
        )
        if not elsewhere:
            return True  # the reservations of this instance count at once
        waited_s, target_s = self._progress.measure_wait(now)
        return self._waiting.scarce_room.acquire(
            places=self._server_selector.count_places(
                engines, now, remaining_s=target_s - waited_s
            ),
            waiting_here=len(self._waiting.line),
            waiting_elsewhere=elsewhere,
            now=now,
            rng=self._context.rng,
        )

    def find_refusal(self, now: float) -> GiveUpReason | None:
        """Return a reason if the stream would get room too late for its caller.

        A stream that may have run, or has begun, waits on.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if not self._tokens or self.has_begun or self._limits.may_have_run:
            return None
        forecast = self._forecast_wait(now)
        if forecast is None:
            return None
        if self._forecast is None:
            self._forecast = forecast
            self._context.on_usage_change()  # tells others that this stream waits
        waited_s, target_s = self._progress.measure_wait(now)
        remaining_s = limit_patience_s(
            remaining_s=self._limits.latest_start - now,
            waited_s=waited_s,
            target_s=target_s,
            gap_s=self._route.target_gap_s,
        )
        if not forecast.is_in_vain(remaining_s=remaining_s):
            return None
        return self._refuse(forecast, remaining_s)

    def _forecast_wait(self, now: float) -> WaitForecast | None:
        """Return the forecast, or None if there is plenty of room or no measure."""
        room = self._waiting.read_room(
            now, lambda: self._server_selector.read_room(now)
        )
        if room.is_plenty:
            return None
        durations = self._context.get_stream_durations(self._route.name)
        freed_tokens_per_s = estimate_freed_tokens_per_s(
            run_tokens=room.run_tokens,
            run_s=durations.first_event_s + durations.streaming_s,
        )
        if freed_tokens_per_s is None:
            return None
        line, request_id = self._waiting.line, self._request.request_id
        at_peers = self._waiting.peers.count_waiting(self._rank, now)
        return forecast_wait(
            ahead_tokens=line.sum_tokens_ahead(request_id, now)
            + at_peers * self._tokens,
            tokens=self._tokens,
            freed_tokens_per_s=freed_tokens_per_s,
        )

    def _refuse(self, forecast: WaitForecast, remaining_s: float) -> GiveUpReason:
        retry_after_s = choose_retry_after_s(
            forecast, rank=self._rank, rng=self._context.rng
        )
        self._context.waiting_metrics.refused.labels(str(self._rank)).inc()
        _log.info(
            "stream_refused_by_forecast",
            request=self._request.request_id,
            rank=self._rank,
            workspace=self._workspace,
            forecast_s=round(forecast.wait_s, 3),
            ahead_tokens=forecast.ahead_tokens,
            freed_tokens_per_s=round(forecast.freed_tokens_per_s),
            remaining_s=round(remaining_s, 3),
            retry_after_s=round(retry_after_s, 3),
        )
        return GiveUpReason(FORECAST_REASON, retry_after_s)

    def _record_wait(self, wait_s: float) -> None:
        if not self._tokens:
            return
        metrics = self._context.waiting_metrics
        metrics.wait.labels(str(self._rank)).observe(wait_s)
        forecast_s = None
        if self._forecast is not None:
            forecast_s = round(self._forecast.wait_s, 3)
            metrics.forecast_error.observe(abs(wait_s - self._forecast.wait_s))
        if wait_s < LOGGED_WAIT_S:
            return
        _log.info(
            "stream_waited",
            request=self._request.request_id,
            rank=self._rank,
            route=self._route.name,
            workspace=self._workspace,
            wait_s=round(wait_s, 3),
            forecast_s=forecast_s,
            still_waiting=self._waiting.line.count_by_rank(RANKS),
        )
