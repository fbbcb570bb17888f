"""History of a caller: one JSON object per request."""

from __future__ import annotations

import hashlib
import json
import pathlib
from typing import NamedTuple, TypedDict

COMPLETED = "completed"
GAVE_UP = "gave_up"
PROMPT_ORIGIN_DIGITS = 6


def derive_prompt_origin(prompt: str) -> str:
    """Return the prompt hash prefix that begins each token text of its answer."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:PROMPT_ORIGIN_DIGITS]


class ReceivedToken(NamedTuple):
    """One token event that a caller received.

    ``time`` is in seconds since the epoch; ``connection`` is an index into the
    connections of the request.
    """

    time: float
    connection: int
    offset: int
    generation: str
    server: str
    text: str


class ConnectionRecord(TypedDict):
    """One connection of a request.

    ``outcome`` is that of `ConnectionResult`. Times are in seconds since the epoch.
    """

    address: str
    sent_at: float
    last_event_id: str | None
    answered_at: float | None
    status: int | None
    ended_at: float | None
    outcome: str
    step: str
    peer: str
    reason: str


class RequestRecord(TypedDict):
    """One request with its connections and received tokens.

    ``position`` is the id of the last event received, including events without a token;
    ``finish_offset`` is the offset of the finish event. ``outcome`` is that of the last
    connection, or ``gave_up`` if it failed without an outcome tag.
    """

    workspace: str
    request_class: str
    key: str
    prompt_origin: str
    prompt_characters: int
    max_tokens: int
    repeatable: bool
    started_at: float
    finished_at: float | None
    finish_offset: int | None
    outcome: str
    connections: list[ConnectionRecord]
    position: str | None
    tokens: list[ReceivedToken]


class HistoryWriter:
    """Appends finished requests to a file of JSON lines.

    Parameters
    ----------
    path : pathlib.Path
        File to append to.
    """

    __slots__ = ("_file",)

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("a")

    def write(self, record: RequestRecord) -> None:
        """Append one record."""
        self._file.write(json.dumps(record) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read_history(path: pathlib.Path) -> list[RequestRecord]:
    """Return the records of a file.

    Parameters
    ----------
    path : pathlib.Path
        File that a `HistoryWriter` wrote.
    """
    records = []
    for line in path.read_text().splitlines():
        record: RequestRecord = json.loads(line)
        record["tokens"] = [ReceivedToken(*token) for token in record["tokens"]]
        records.append(record)
    return records
