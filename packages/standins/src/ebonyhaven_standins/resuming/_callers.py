"""Callers of streams, which send a new request when their connection is aborted."""

from __future__ import annotations

import h11
from ebonyhaven_node.forwarding import Gateway

from ebonyhaven_standins.memory_connections import MemoryTransport
from ebonyhaven_standins.resuming._dialect import HOST

FIRST_EVENT_TARGET_S = 4.5
EVENT_GAP_TARGET_S = 0.7
OUTPUT_TOKENS = 780
PATH = "/stream/"


class SimulatedStream:
    """Caller of one stream; sends a new request when the connection is aborted.

    Parameters
    ----------
    gateway : Gateway
    request_id : str
    prompt_tokens : int
    now : float
        Simulated time, seconds.

    Attributes
    ----------
    sent_at : float
        Time of the first request, simulated seconds.
    first_event_s : float or None
        Time from the first request to the first event.
    max_gap_s : float
        Longest time between two events.
    is_complete : bool
        Whether the whole stream arrived.
    restarts : int
        Requests sent after the first one.
    """

    def __init__(
        self, gateway: Gateway, request_id: str, prompt_tokens: int, now: float
    ):
        self.request_id = request_id
        self.sent_at = now
        self.first_event_s: float | None = None
        self.max_gap_s = 0.0
        self.is_complete = False
        self.restarts = 0
        self._is_rejected = False
        self._prompt_tokens = prompt_tokens
        self._gateway = gateway
        self._last_at = now
        self._send()

    @property
    def is_finished(self) -> bool:
        """Whether the stream completed or was rejected."""
        return self.is_complete or self._is_rejected

    @property
    def meets_targets(self) -> bool:
        """Whether the stream completed without a restart and met both targets."""
        return (
            self.is_complete
            and not self.restarts
            and self.first_event_s <= FIRST_EVENT_TARGET_S
            and self.max_gap_s <= EVENT_GAP_TARGET_S
        )

    def poll(self, now: float) -> None:
        """Read new events and restart the stream if its connection was aborted.

        Parameters
        ----------
        now : float
            Simulated time in seconds.
        """
        if self.is_finished:
            return
        self._read(now)
        if self._transport.aborted and not self.is_complete:
            self.restarts += 1
            self._send()

    def _send(self) -> None:
        self._codec = h11.Connection(h11.CLIENT)
        self._codec.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        self._codec.send(h11.EndOfMessage())
        self._read_offset = 0
        self._transport = MemoryTransport()
        protocol = self._gateway.server.buildProtocol(None)
        protocol.makeConnection(self._transport)
        attempt = f"{self.request_id}.{self.restarts}"
        head = (
            f"POST {PATH} HTTP/1.1\r\nhost: {HOST}\r\nid: {attempt}\r\n"
            f"size: {self._prompt_tokens}/{OUTPUT_TOKENS}\r\n"
            f"content-length: {len(attempt)}\r\n\r\n{attempt}"
        )
        protocol.dataReceived(head.encode())

    def _read(self, now: float) -> None:
        data = self._transport.value()[self._read_offset :]
        if not data:
            return
        self._read_offset += len(data)
        self._codec.receive_data(data)
        while True:
            event = self._codec.next_event()
            if isinstance(event, h11.Response):
                self._is_rejected = event.status_code != 200
            elif isinstance(event, h11.Data) and not self._is_rejected:
                self._record_event(now)
            elif isinstance(event, h11.EndOfMessage):
                self.is_complete = not self._is_rejected
                return
            elif event is h11.NEED_DATA or event is h11.PAUSED:
                return

    def _record_event(self, now: float) -> None:
        if self.first_event_s is None:
            self.first_event_s = now - self.sent_at
        else:
            self.max_gap_s = max(self.max_gap_s, now - self._last_at)
        self._last_at = now
