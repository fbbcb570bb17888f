"""Event ids: the position of a token in a generation, and who made it.

The id of the last received event is all that a caller has to return for a run
to be found again. No instance keeps anything for it.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from ebonyhaven_decisions.exceptions import MalformedEventId

MAX_EVENT_ID_LENGTH = 96
MAX_OFFSET = 2**31
BEFORE_FIRST = -1
_PATTERN = re.compile(r"(-1|\d{1,10})-([0-9a-f]{8})-([A-Za-z0-9][A-Za-z0-9._-]{0,63})")


class EventId(NamedTuple):
    """Position of one token.

    Parameters
    ----------
    offset : int
        Number of the token, counted from 0; `BEFORE_FIRST` for the position
        before the first token of a run that an engine has accepted.
    generation : str
        Eight hexadecimal digits, kept by every continuation of a run.
    server : str
        Name of the backend server that made the token.
    """

    offset: int
    generation: str
    server: str

    def __str__(self) -> str:
        return f"{self.offset}-{self.generation}-{self.server}"


def parse_event_id(text: str) -> EventId:
    """Parse the event id that a caller returned.

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
        If no node can have sent this id.
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
