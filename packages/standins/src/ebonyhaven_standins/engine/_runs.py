"""Runs of an engine: their output, readers and place in the batch."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs

from ebonyhaven_standins.engine._tokens import BLOCK_CHARS, CHARS_PER_TOKEN

END_OF_STREAM = b"data: [DONE]\n\n"


class RunState(enum.Enum):
    """Place of a run in its life."""

    WAITING = "waiting"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class Reader(Protocol):
    """Receives the output of a run on one connection."""

    def write(self, data: bytes) -> None:
        """Send bytes of the stream."""

    def end(self) -> None:
        """End the stream."""


@attrs.define(slots=True, kw_only=True, eq=False)
class Run:
    """One run of a request on this engine.

    Parameters
    ----------
    run_id : str
    generation : str
    attempt : int
        Highest attempt number that started or attached to the run.
    digest : str
    prompt : str
    max_tokens : int
        Number of tokens of the whole output, continued ones included.
    priority : int
        0 is served first.
    origin : str
        Identity carried by every token.
    given : tuple of str
        Output tokens that the start carried.
    prefixes : list of str
        Hashes of the prompt's prefixes.
    arrival : int
        Order of arrival at the engine.
    """

    run_id: str
    generation: str
    attempt: int
    digest: str
    prompt: str
    max_tokens: int
    priority: int
    origin: str
    given: tuple[str, ...]
    prefixes: list[str]
    arrival: int
    state: RunState = RunState.WAITING
    prefill_left: float = 0.0
    prefill_planned: int = 0
    unlogged_prefill: int = 0
    unlogged_decoded: int = 0
    unattended_since: float | None = None
    ended_at: float | None = None
    _events: list[bytes] = attrs.field(init=False, factory=list)
    _readers: dict[Reader, int] = attrs.field(init=False, factory=dict)
    _head: bytes = attrs.field(init=False, default=b"")

    def __attrs_post_init__(self) -> None:
        self._head = (
            b'\ndata: {"id":"cmpl-%b","object":"text_completion",'
            b'"choices":[{"index":0,"text":"' % self.run_id.encode()
        )
        for text in self.given:
            self._events.append(self._encode_event(text.encode(), b"null"))

    @property
    def offset(self) -> int:
        """Number of output tokens, given ones included."""
        return len(self._events) - (self.state is RunState.FINISHED)

    @property
    def is_over(self) -> bool:
        """Whether the run has finished or was cancelled."""
        return self.state in (RunState.FINISHED, RunState.CANCELLED)

    @property
    def is_attended(self) -> bool:
        """Whether a connection reads the output."""
        return bool(self._readers)

    def plan_prefill(self, cached_blocks: int) -> None:
        """Enter prefill and set the tokens that must be computed.

        Parameters
        ----------
        cached_blocks : int
            Leading prompt blocks that the cache holds.
        """
        chars = len(self.prompt) - cached_blocks * BLOCK_CHARS
        self.prefill_planned = -(-chars // CHARS_PER_TOKEN) + len(self.given)
        self.prefill_left = float(self.prefill_planned)
        self.state = RunState.PREFILLING

    def decode_token(self) -> None:
        """Make the next token and pass it to the readers."""
        text = f"{self.origin}:{len(self._events)} ".encode()
        self._publish(self._encode_event(text, b"null"))
        self.unlogged_decoded += 1

    def finish(self) -> None:
        """Publish the end of the output and end all readers."""
        self._publish(self._encode_event(b"", b'"length"'))
        self.state = RunState.FINISHED
        for reader in self._take_readers():
            reader.write(END_OF_STREAM)
            reader.end()

    def cancel(self) -> None:
        """Stop the run and end all readers without an end event."""
        self.state = RunState.CANCELLED
        for reader in self._take_readers():
            reader.end()

    def attach(self, reader: Reader, offset: int) -> None:
        """Send the output from an offset on to one more reader.

        Parameters
        ----------
        reader : Reader
        offset : int
            First token to send; it may lie ahead of the output.
        """
        self.unattended_since = None
        backlog = b"".join(self._events[offset:])
        if self.state is RunState.FINISHED:
            reader.write(backlog + END_OF_STREAM)
            reader.end()
            return
        if backlog:
            reader.write(backlog)
        self._readers[reader] = offset

    def detach(self, reader: Reader, now: float) -> None:
        """Forget a reader whose connection is lost.

        Parameters
        ----------
        reader : Reader
        now : float
            Time in seconds.
        """
        self._readers.pop(reader, None)
        if not self._readers:
            self.unattended_since = now

    def take_unlogged(self) -> tuple[int, int]:
        """Return prefilled and decoded tokens since the last call.

        Returns
        -------
        tuple of int and int
        """
        counts = (self.unlogged_prefill, self.unlogged_decoded)
        self.unlogged_prefill = self.unlogged_decoded = 0
        return counts

    def _publish(self, event: bytes) -> None:
        position = len(self._events)
        self._events.append(event)
        for reader, first in self._readers.items():
            if position >= first:
                reader.write(event)

    def _take_readers(self) -> list[Reader]:
        readers = list(self._readers)
        self._readers.clear()
        return readers

    def _encode_event(self, text: bytes, finish_reason: bytes) -> bytes:
        return b'id: %d%b%b","finish_reason":%b}]}\n\n' % (
            len(self._events),
            self._head,
            text,
            finish_reason,
        )
