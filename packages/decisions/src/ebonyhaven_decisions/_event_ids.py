"""Event ids: position of a token in a generation and the server that produced it.

A caller resumes a stream by sending the id of the last event that it received. The
id identifies the run and the position, so instances store no state for callers.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from ebonyhaven_decisions.exceptions import MalformedEventId

MAX_EVENT_ID_LENGTH = 96
MAX_OFFSET = 2**31
OFFSET_BEFORE_FIRST_TOKEN = -1
_PATTERN = re.compile(r"(-1|\d{1,10})-([0-9a-f]{8})-([A-Za-z0-9][A-Za-z0-9._-]{0,63})")


class EventId(NamedTuple):
    """Position of one token.

    Parameters
    ----------
    offset : int
        Index of the token, from 0; `OFFSET_BEFORE_FIRST_TOKEN` for a run that an
        engine has accepted but that has produced no token yet.
    generation : str
        Eight hexadecimal digits, the same for all continuations of a run.
    server : str
        Name of the backend server that produced the token.
    """

    offset: int
    generation: str
    server: str

    def __str__(self) -> str:
        return f"{self.offset}-{self.generation}-{self.server}"


def parse_event_id(text: str) -> EventId:
    """Parse the event id that a caller sent.

    Parameters
    ----------
    text : str
        Value of the ``Last-Event-ID`` header.

    Returns
    -------
    EventId

    Raises
    ------
    MalformedEventId
        If the text is no valid event id.
    """
    if len(text) > MAX_EVENT_ID_LENGTH:
        raise MalformedEventId(
            f"event id of {len(text)} characters, at most {MAX_EVENT_ID_LENGTH}"
        )
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise MalformedEventId(f"expected OFFSET-GENERATION-SERVER, got {text!r}")
    offset = int(match[1])
    if offset > MAX_OFFSET:
        raise MalformedEventId(f"offset {offset} is above {MAX_OFFSET}")
    return EventId(offset, match[2], match[3])
