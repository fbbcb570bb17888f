"""Splitting of an event stream into complete events, without changing its bytes."""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 64 * 1024
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4


class EventSplitter:
    """Buffers received bytes and returns complete events.

    An event that is truncated by the loss of its server is never returned.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Append received bytes and return the events that they complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        list of bytes
            Each including its terminating blank line.

        Raises
        ------
        ValueError
            If the incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        searched_bytes = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        text = self._buffer + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(text, searched_bytes):
            events.append(text[start : match.end()])
            start = match.end()
        self._buffer = text[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        return events

    @property
    def partial_bytes(self) -> int:
        """Number of bytes received after the last complete event."""
        return len(self._buffer)
