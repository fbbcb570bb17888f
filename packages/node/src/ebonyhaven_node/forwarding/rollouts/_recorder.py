"""Requests and answers of services with a roll-out, as attempts report them."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from ebonyhaven_decisions.forwarding import Backend
from ebonyhaven_decisions.forwarding.rollouts import (
    EvidenceBoard,
    RolloutGate,
    RouteTraffic,
)

from ebonyhaven_node.forwarding._metrics import ForwardingMetrics

LOADED_SHARE = 0.5  # of the slots of a server
# An attempt that had less of its route's time before the deadline proves nothing.
FAIR_TIME_SHARE = 0.5
CRASH_SPAN_S = 2.0  # on the store's clock, so that all instances mean the same crash

_log = structlog.get_logger()


class RolloutRecorder:
    """Keeps requests to the stages of roll-outs, and records their answers.

    Nothing but which routes are used is recorded while no order is open.

    Parameters
    ----------
    gate : RolloutGate
    board : EvidenceBoard
    metrics : ForwardingMetrics
    clock : callable
        Returns seconds.
    on_change : callable
        Called when there is something to tell the other instances.

    Attributes
    ----------
    traffic : RouteTraffic or None
        Which routes callers use; None where operators order no roll-outs.
    """

    __slots__ = ("_board", "_clock", "_gate", "_metrics", "_on_change", "traffic")

    def __init__(
        self,
        *,
        gate: RolloutGate,
        board: EvidenceBoard,
        metrics: ForwardingMetrics,
        clock: Callable[[], float],
        on_change: Callable[[], None],
    ):
        self._gate = gate
        self._board = board
        self._metrics = metrics
        self._clock = clock
        self._on_change = on_change
        self.traffic: RouteTraffic | None = None
        gate.observe(self._follow)

    # -- before an answer --------------------------------------------------

    def acquire(self, backend: Backend, *, is_bound: bool) -> bool:
        """Return whether a request may go to a server; see `RolloutGate.acquire`.

        Parameters
        ----------
        backend : Backend
        is_bound : bool
            Whether a stream goes on that began at the server's version.
        """
        return self._gate.acquire(backend, self._clock(), is_bound=is_bound)

    def refund(self, backend: Backend) -> None:
        """Record that the request for which `acquire` was asked wasn't sent.

        Parameters
        ----------
        backend : Backend
        """
        self._gate.refund(backend)

    def record_sent(self, backend: Backend, *, is_first: bool) -> None:
        """Record that a request was sent.

        Parameters
        ----------
        backend : Backend
        is_first : bool
            Whether it is the first attempt of the request.
        """
        if self._board.is_empty:
            return
        service = backend.entry.service
        if is_first:
            self._gate.record_request(service)
        self._board.record_sent(service, backend.software_version, is_first=is_first)

    # -- answers -----------------------------------------------------------

    def record_answer(
        self,
        backend: Backend,
        route: str,
        *,
        request_id: str,
        sent_at: float,
        is_failure: bool = False,
    ) -> None:
        """Record an answer with a single response.

        Parameters
        ----------
        backend : Backend
        route : str
        request_id : str
        sent_at : float
            Seconds.
        is_failure : bool
            Whether the server answered with an error of its own.
        """
        time_s = None if is_failure else self._clock() - sent_at
        self._record(
            backend,
            route,
            request_id=request_id,
            is_failure=is_failure,
            time_s=time_s,
        )

    def record_overtaken(
        self, backend: Backend, route: str, *, sent_at: float, answered_sent_at: float
    ) -> None:
        """Record an attempt that a later one has overtaken, by its time so far.

        Parameters
        ----------
        backend : Backend
        route : str
        sent_at, answered_sent_at : float
            When it was sent, and the one that was answered, seconds.
        """
        if sent_at < answered_sent_at:
            self._record(backend, route, time_s=self._clock() - sent_at)

    def record_broken(
        self,
        backend: Backend,
        route: str,
        *,
        request_id: str,
        is_answer: bool = True,
        is_connection_lost: bool,
    ) -> None:
        """Record an answer that broke off, came to nothing or was malformed.

        Parameters
        ----------
        backend : Backend
        route : str
        request_id : str
        is_answer : bool
            False for a stream that has begun.
        is_connection_lost : bool
            Whether the server may have crashed. What one process loses at a time then
            counts as few failures.
        """
        lost_process = None
        if is_connection_lost and not self._board.is_empty:
            time_s = self._gate.read_store_time() or 0.0
            lost_process = f"{backend.process_id}@{int(time_s / CRASH_SPAN_S)}"
        self._record(
            backend,
            route,
            request_id=request_id,
            is_failure=True,
            is_answer=is_answer,
            lost_process=lost_process,
        )

    def record_timeout(
        self,
        backend: Backend,
        route: str,
        *,
        request_id: str,
        sent_at: float,
        timeout_s: float,
        is_answer: bool = True,
    ) -> None:
        """Record that an attempt had no answer at the deadline of its request.

        It counts only if it had its fair part of the route's time: the limit may be
        the caller's own, or another attempt may have used it up.

        Parameters
        ----------
        backend : Backend
        route : str
        request_id : str
        sent_at : float
            Seconds.
        timeout_s : float
            Time limit of the route, seconds.
        is_answer : bool
            False for a stream that has begun.
        """
        if self._clock() - sent_at >= FAIR_TIME_SHARE * timeout_s:
            self._record(
                backend,
                route,
                request_id=request_id,
                is_failure=True,
                is_answer=is_answer,
            )

    # -- streams -----------------------------------------------------------

    def record_first_event(
        self, backend: Backend, route: str, *, time_s: float | None
    ) -> None:
        """Record that an attempt at a stream had its first event.

        Parameters
        ----------
        backend : Backend
        route : str
        time_s : float or None
            Time since the attempt started, seconds; None if it went on from a copy.
        """
        self._record(backend, route, time_s=time_s)

    def record_pace(self, backend: Backend, route: str, *, pace_s: float) -> None:
        """Record the time between two of the first events of a stream.

        Parameters
        ----------
        backend : Backend
        route : str
        pace_s : float
            Seconds.
        """
        self._record(backend, route, is_answer=False, pace_s=pace_s)

    def record_stream_end(
        self, backend: Backend, route: str, *, longest_pause_s: float
    ) -> None:
        """Record a stream that a server has ended well.

        Parameters
        ----------
        backend : Backend
        route : str
        longest_pause_s : float
            Seconds.
        """
        self._record(backend, route, is_answer=False, pause_s=longest_pause_s)

    def _record(
        self,
        backend: Backend,
        route: str,
        *,
        request_id: str | None = None,
        is_failure: bool = False,
        is_answer: bool = True,
        **values: object,
    ) -> None:
        service = backend.entry.service
        if is_answer and self.traffic is not None:
            self.traffic.record(service, route, self._clock())
        order = None if self._board.is_empty else self._gate.find_order(service)
        if order is None:
            return
        load = backend.in_flight + backend.load.others
        self._board.record(
            service,
            backend.software_version,
            route,
            is_loaded=load >= LOADED_SHARE * backend.entry.slots,
            is_failure=is_failure,
            is_answer=is_answer,
            **values,
        )
        version = "new" if backend.software_version == order.version else "old"
        if is_answer or is_failure:
            end = "failed" if is_failure else "answered"
            self._metrics.rollout_answers.labels(version, end).inc()
        if is_failure:
            _log.info(
                "rollout_answer_failed",
                request=request_id,
                service=service,
                route=route,
                server=backend.server_id,
                version=backend.software_version,
                is_new=version == "new",
            )
        self._on_change()

    def _follow(self, service: str) -> None:
        """Count answers as long as the order for a service is open."""
        earlier = {}
        if self.traffic is not None:
            earlier = self.traffic.read(service, self._clock())
        self._board.follow(service, self._gate.find_order(service), earlier)
        self._on_change()
