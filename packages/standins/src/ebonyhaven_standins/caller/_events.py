"""Incremental parser of server-sent events."""

from __future__ import annotations

import json
from typing import NamedTuple

DONE_DATA = "[DONE]"


class ServerSentEvent(NamedTuple):
    """One event of a stream, with undecoded data."""

    event_id: str
    kind: str
    data: str


class EventId(NamedTuple):
    """Fields of the id of a token event."""

    offset: int
    generation: str
    server: str


class TokenEvent(NamedTuple):
    """One token, or the end of the answer if ``finish_reason`` is set."""

    event_id: EventId
    text: str
    finish_reason: str | None


def parse_event_id(text: str) -> EventId:
    """Parse an id of the form ``OFFSET-GENERATION-SERVER``.

    Raises
    ------
    ValueError
        If the id is malformed.
    """
    offset, generation, server = text.split("-", 2)
    return EventId(int(offset), generation, server)


def parse_token_event(event: ServerSentEvent) -> TokenEvent:
    """Parse the token in an event.

    Raises
    ------
    ValueError, KeyError, IndexError
        If the id or the data does not conform to docs/PROTOCOLS.md.
    """
    choice = json.loads(event.data)["choices"][0]
    return TokenEvent(
        parse_event_id(event.event_id), choice["text"], choice["finish_reason"]
    )


class EventParser:
    """Parses received bytes into events.

    Chunks may split lines and events at any byte. Lines end with a line feed,
    optionally preceded by a carriage return.
    """

    __slots__ = ("_data", "_event_id", "_kind", "_partial_line", "last_event_id")

    def __init__(self) -> None:
        self.last_event_id: str | None = None
        self._partial_line = b""
        self._clear()

    def feed(self, chunk: bytes) -> list[ServerSentEvent]:
        """Return the events that are completed by a chunk.

        Parameters
        ----------
        chunk : bytes
            Next bytes of the body.
        """
        lines = (self._partial_line + chunk).split(b"\n")
        self._partial_line = lines.pop()
        events = []
        for line in lines:
            event = self._parse_line(line.rstrip(b"\r").decode())
            if event is not None:
                events.append(event)
        return events

    def _clear(self) -> None:
        self._event_id = ""
        self._kind = "message"
        self._data: list[str] = []

    def _parse_line(self, line: str) -> ServerSentEvent | None:
        if not line:
            return self._dispatch_event()
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "id":
            self._event_id = value
        elif field == "event":
            self._kind = value
        elif field == "data":
            self._data.append(value)
        return None

    def _dispatch_event(self) -> ServerSentEvent | None:
        event = None
        if self._event_id:
            self.last_event_id = self._event_id
        if self._data:
            event = ServerSentEvent(self._event_id, self._kind, "\n".join(self._data))
        self._clear()
        return event
