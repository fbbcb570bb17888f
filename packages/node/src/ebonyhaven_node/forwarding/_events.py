"""Splitting an event stream into whole events without touching their bytes."""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 1024 * 1024
_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Collects bytes and gives back whole events.

    An event that is cut off by the loss of its server is never given back.
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take in bytes and return the events that are whole now.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        list of bytes
            Each with the blank line that ends it.

        Raises
        ------
        ValueError
            If an event is too long.
        """
        text = self._rest + data
        blocks = []
        start = 0
        for match in _END.finditer(text):
            blocks.append(text[start : match.end()])
            start = match.end()
        self._rest = text[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        return blocks

    def take_rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        rest, self._rest = self._rest, b""
        return rest
