"""Simulated engines with prefill, event streams, run copies and crashes."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from ebonyhaven_decisions.forwarding import BackendEntry, BackendState
from ebonyhaven_node.forwarding.interfaces import RunCopier
from twisted.internet.task import Clock

from ebonyhaven_standins.memory_connections import MemoryServerConnection

PREFILL_TOKENS_PER_S = 8000.0
FIRST_EVENT_DELAY_S = 0.1  # from the end of the prefill
EVENT_INTERVAL_S = 0.026  # six tokens at 4.4 ms each
PREFILL_SLOWDOWN_FACTOR = 4.0  # of the event interval during a prefill
COPY_INTERVAL_S = 0.25
COPY_RESUME_DELAY_S = 0.02  # from the request to the first event; no prefill
TOKENS_PER_EVENT = 6
LISTING_DELAY_S = 0.3  # from a restart until the engine is listed


@attrs.define(slots=True, eq=False)
class _Run:
    request_id: str
    prompt_tokens: int
    total_events: int
    generated_events: int
    connection: MemoryServerConnection
    copy_to: str | None
    last_copy_at: float = 0.0
    timers: list = attrs.field(factory=list)


class SimulatedEngine:
    """An engine that loses its runs and copies in a crash.

    Parameters
    ----------
    name, data_centre, address : str
    fleet : EngineFleet
        Fleet that contains the engine.

    Attributes
    ----------
    slowness : float
        Factor on the time of each step.
    copies : dict of str to int
        Number of events that each stored copy of a run covers, by request ID.
    """

    def __init__(self, name: str, data_centre: str, address: str, fleet: EngineFleet):
        self.name = name
        self.data_centre = data_centre
        self.address = address
        self.started_ms = 1
        self.is_down = False
        self.slowness = 1.0
        self.copies: dict[str, int] = {}
        self.runs: dict[str, _Run] = {}
        self._fleet = fleet
        self._prefill_ends_at = 0.0
        self._connections: list[MemoryServerConnection] = []

    def make_entry(self) -> BackendEntry:
        """Return the entry of the engine in the list of backend servers."""
        return BackendEntry(
            server_id=self.name,
            started_ms=self.started_ms,
            service="engines",
            address=self.address,
            data_centre=self.data_centre,
            slots=64,
            state=BackendState.READY,
            software_version="1",
        )

    def accept(self, connection: MemoryServerConnection) -> None:
        """Accept a new connection."""
        self._connections.append(connection)

    def process_requests(self) -> None:
        """Start runs for new requests and stop the runs of closed connections."""
        for connection in self._connections:
            if connection.has_request() and not connection.is_closed:
                self._start_run(connection)
        self._connections = [
            connection for connection in self._connections if not connection.is_closed
        ]
        for run in list(self.runs.values()):
            if run.connection.is_closed:
                self._stop_run(run)

    def crash(self) -> None:
        """Drop all runs, copies and connections, and refuse new connections."""
        self.is_down = True
        self.copies.clear()
        for run in list(self.runs.values()):
            self._stop_run(run)
        connections, self._connections = self._connections, []
        for connection in connections:
            if not connection.is_closed:
                connection.reset()

    def restart(self) -> None:
        """Restart without state; the list shows it after `LISTING_DELAY_S`."""
        self.is_down = False
        self._prefill_ends_at = 0.0
        self.started_ms += 1
        self._fleet.clock.callLater(
            LISTING_DELAY_S, self._fleet.on_listed, self.make_entry()
        )

    def copy_run(self, request_id: str, target: SimulatedEngine) -> bool:
        """Copy the key-value cache of a run to another engine.

        Only the tokens that the target's copy lacks are transferred.

        Parameters
        ----------
        request_id : str
        target : SimulatedEngine

        Returns
        -------
        bool
            False if the run has no events yet or does not exist here, or if the target
            is down.
        """
        run = self.runs.get(request_id)
        if run is None or target.is_down or run.generated_events == 0:
            return False
        copied_events = target.copies.get(request_id)
        tokens = TOKENS_PER_EVENT * (run.generated_events - (copied_events or 0))
        self._fleet.copied_tokens += tokens + (
            run.prompt_tokens if copied_events is None else 0
        )
        target.copies[request_id] = run.generated_events
        return True

    def _start_run(self, connection: MemoryServerConnection) -> None:
        head, _ = connection.read_request()
        fields = {name.decode(): value.decode() for name, value in head.headers}
        request_id = fields["id"]
        copy = fields.get("copy")
        if copy is not None and copy not in self.copies:
            connection.receive(_encode_refusal(request_id))
            return
        prompt, _, output = fields["size"].partition("/")
        run = _Run(
            request_id=request_id,
            prompt_tokens=int(prompt),
            total_events=int(output) // TOKENS_PER_EVENT,
            generated_events=int(fields.get("after", 0)),
            connection=connection,
            copy_to=fields.get("copy-to"),
        )
        self.runs[request_id] = run
        self._schedule_first_event(
            run, self._schedule_prefill(run, copy, "after" in fields)
        )

    def _schedule_prefill(self, run: _Run, copy: str | None, is_resumed: bool) -> float:
        """Return the delay until the first event in seconds."""
        if copy is not None:
            self.copies.pop(copy, None)
            return COPY_RESUME_DELAY_S
        now = self._fleet.clock.seconds()
        if is_resumed:
            self._fleet.repeated_prefill_tokens += run.prompt_tokens
        start = max(now, self._prefill_ends_at)
        prefill_s = self.slowness * run.prompt_tokens / PREFILL_TOKENS_PER_S
        self._prefill_ends_at = start + prefill_s
        return self._prefill_ends_at - now + FIRST_EVENT_DELAY_S

    def _schedule_first_event(self, run: _Run, delay_s: float) -> None:
        run.timers = [self._fleet.clock.callLater(delay_s, self._emit_event, run, True)]

    def _emit_event(self, run: _Run, is_first: bool) -> None:
        if is_first:
            run.connection.receive(_encode_stream_head(run.request_id))
        run.generated_events += 1
        run.connection.receive(
            _encode_chunk(f"id: {run.generated_events}\ndata: x\n\n".encode())
        )
        self._copy_if_due(run)
        if run.generated_events >= run.total_events:
            self._stop_run(run)
            run.connection.receive(b"0\r\n\r\n")
            return
        now = self._fleet.clock.seconds()
        slowdown = PREFILL_SLOWDOWN_FACTOR if now < self._prefill_ends_at else 1.0
        slowdown *= self.slowness
        run.timers = [
            self._fleet.clock.callLater(
                EVENT_INTERVAL_S * slowdown, self._emit_event, run, False
            )
        ]

    def _copy_if_due(self, run: _Run) -> None:
        now = self._fleet.clock.seconds()
        if run.copy_to is None or now - run.last_copy_at < COPY_INTERVAL_S:
            return
        run.last_copy_at = now
        self.copy_run(run.request_id, self._fleet.by_address[run.copy_to])

    def _stop_run(self, run: _Run) -> None:
        for timer in run.timers:
            if timer.active():
                timer.cancel()
        self.runs.pop(run.request_id, None)


class EngineFleet(RunCopier):
    """All engines, with counters of copied tokens and of repeated prefill tokens.

    Parameters
    ----------
    clock : Clock
    data_centres : int
    engines : int
        Number of engines in each data centre.
    on_listed : callable
        Called with the entry of a restarted engine when it is listed.

    Attributes
    ----------
    copied_tokens : int
        Tokens whose key-value cache was copied between engines.
    repeated_prefill_tokens : int
        Prompt tokens of resumed runs that were prefilled again.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        data_centres: int,
        engines: int,
        on_listed: Callable[[BackendEntry], None],
    ):
        self.clock = clock
        self.on_listed = on_listed
        self.copied_tokens = 0
        self.repeated_prefill_tokens = 0
        self.engines = [
            SimulatedEngine(
                f"e{index}{number}", f"dc-{index}", f"10.0.{index}.{number}:80", self
            )
            for index in range(data_centres)
            for number in range(engines)
        ]
        self.by_address = {engine.address: engine for engine in self.engines}

    def crash_data_centre(self, data_centre: str, downtime_s: float) -> None:
        """Crash all engines of a data centre and restart them later.

        Parameters
        ----------
        data_centre : str
        downtime_s : float
            Seconds until the restart.
        """
        for engine in self.engines:
            if engine.data_centre == data_centre:
                engine.crash()
                self.clock.callLater(downtime_s, engine.restart)

    async def copy_run(
        self, *, source: str, request_id: str, target: str
    ) -> str | None:
        """See `RunCopier.copy_run`."""
        source_engine, target_engine = self.by_address[source], self.by_address[target]
        return request_id if source_engine.copy_run(request_id, target_engine) else None

    async def delete_copy(self, *, source: str, handle: str) -> None:
        """See `RunCopier.delete_copy`."""
        for engine in self.engines:
            engine.copies.pop(handle, None)


def _encode_refusal(request_id: str) -> bytes:
    lines = ("HTTP/1.1 503 Refused", f"id: {request_id}", "not-run: 1")
    return "\r\n".join((*lines, "content-length: 0", "", "")).encode()


def _encode_stream_head(request_id: str) -> bytes:
    lines = ("HTTP/1.1 200 OK", f"id: {request_id}", "transfer-encoding: chunked")
    return "\r\n".join((*lines, "", "")).encode()


def _encode_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
