"""Incremental parsing of server-sent events."""

from __future__ import annotations

import json
from typing import NamedTuple

DONE = "[DONE]"


class ServerSentEvent(NamedTuple):
    """One event of a stream, before its data is read."""

    event_id: str
    kind: str
    data: str


class EventId(NamedTuple):
    """Parts of the id of a token event."""

    offset: int
    generation: str
    server: str


class TokenEvent(NamedTuple):
    """One token, or the end of the answer when ``finish_reason`` is set."""

    event_id: EventId
    text: str
    finish_reason: str | None


def parse_event_id(text: str) -> EventId:
    """Return the parts of ``OFFSET-GENERATION-SERVER``.

    Raises
    ------
    ValueError
        If the text has another form.
    """
    offset, generation, server = text.split("-", 2)
    return EventId(int(offset), generation, server)


def read_token(event: ServerSentEvent) -> TokenEvent:
    """Return the token that an event carries.

    Raises
    ------
    ValueError, KeyError, IndexError
        If the id or the data has another form than docs/PROTOCOLS.md says.
    """
    choice = json.loads(event.data)["choices"][0]
    return TokenEvent(
        parse_event_id(event.event_id), choice["text"], choice["finish_reason"]
    )


class EventParser:
    """Turns received bytes into events.

    The line of an event's end may arrive in any chunk; lines end with a line
    feed, with or without a carriage return before it.
    """

    __slots__ = ("_data", "_event_id", "_kind", "_rest", "last_event_id")

    def __init__(self) -> None:
        self.last_event_id: str | None = None
        self._rest = b""
        self._clear()

    def feed(self, chunk: bytes) -> list[ServerSentEvent]:
        """Return the events that a chunk completes.

        Parameters
        ----------
        chunk : bytes
            Next bytes of the body.
        """
        lines = (self._rest + chunk).split(b"\n")
        self._rest = lines.pop()
        events = []
        for line in lines:
            event = self._take_line(line.rstrip(b"\r").decode())
            if event is not None:
                events.append(event)
        return events

    def _clear(self) -> None:
        self._event_id = ""
        self._kind = "message"
        self._data: list[str] = []

    def _take_line(self, line: str) -> ServerSentEvent | None:
        if not line:
            return self._end_event()
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "id":
            self._event_id = value
        elif field == "event":
            self._kind = value
        elif field == "data":
            self._data.append(value)
        return None

    def _end_event(self) -> ServerSentEvent | None:
        event = None
        if self._event_id:
            self.last_event_id = self._event_id
        if self._data:
            event = ServerSentEvent(self._event_id, self._kind, "\n".join(self._data))
        self._clear()
        return event
