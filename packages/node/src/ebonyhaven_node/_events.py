"""Server-sent events of a generation: reading engines', writing callers'."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from ebonyhaven_decisions import OFFSET_BEFORE_FIRST_TOKEN, EventId, Outcome

KEEP_ALIVE = b": keep-alive\n\n"
DONE = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 64 * 1024
_SEPARATOR = b"\n\n"
# An event without spaces and escapes, as most are, is read without a JSON parser.
_COMPACT_TEXT = b'"choices":[{"index":0,"text":"'
_COMPACT_END = b'","finish_reason":null}]}'


class Token(NamedTuple):
    """One event of an engine.

    Parameters
    ----------
    offset : int
        Number of the token, counted from 0; for the end, the number of tokens.
    text : str
        Text of the token; empty at the end.
    finish_reason : str or None
        Set on the event that ends the generation.
    """

    offset: int
    text: str
    finish_reason: str | None


class EventParser:
    """Splits an engine's event stream into tokens.

    Bytes are passed in as they arrive; an event that is not complete yet is
    kept until the rest arrives.
    """

    __slots__ = ("_buffer", "done")

    def __init__(self) -> None:
        self._buffer = b""
        self.done = False

    def feed(self, data: bytes) -> list[Token]:
        """Take in bytes and return the tokens that are complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        list of Token

        Raises
        ------
        ValueError
            If an event is malformed or too long.
        """
        blocks = (self._buffer + data).split(_SEPARATOR)
        self._buffer = blocks.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event of an engine is too long")
        tokens = []
        for block in blocks:
            token = self._parse_block(block)
            if token is not None:
                tokens.append(token)
        return tokens

    def _parse_block(self, block: bytes) -> Token | None:
        head, _, rest = block.partition(b"\n")
        if head == b"data: [DONE]":
            self.done = True
            return None
        if not head.startswith(b"id: "):
            return None
        offset = int(head[4:])
        if rest.endswith(_COMPACT_END):
            _, _, literal = rest[: -len(_COMPACT_END)].partition(_COMPACT_TEXT)
            if literal and b"\\" not in literal:
                return Token(offset, literal.decode(), None)
        choice = json.loads(rest.removeprefix(b"data: "))["choices"][0]
        return Token(offset, choice["text"], choice["finish_reason"])


class EventWriter:
    """Writes the events of one run for callers.

    Parameters
    ----------
    run_id : str
        Identity of the run.
    """

    __slots__ = ("_prefix",)

    def __init__(self, run_id: str) -> None:
        self._prefix = (
            f'data: {{"id":"cmpl-{run_id}","object":"text_completion",'
            '"choices":[{"index":0,"text":'
        )

    def write_tokens(
        self, texts: list[str], *, offset: int, generation: str, server: str
    ) -> bytes:
        """Return the events of consecutive tokens.

        Parameters
        ----------
        texts : list of str
            One text a token.
        offset : int
            Offset of the first of them.
        generation, server : str
            Rest of the event ids.

        Returns
        -------
        bytes
        """
        tail = f"-{generation}-{server}\n{self._prefix}"
        encode = json.dumps
        return "".join(
            f'id: {number}{tail}{encode(text)},"finish_reason":null}}]}}\n\n'
            for number, text in enumerate(texts, offset)
        ).encode()

    def write_acceptance(self, *, generation: str, server: str) -> bytes:
        """Return the event that tells the position before the first token.

        It holds an id and no data, so clients remember it and show nothing.

        Parameters
        ----------
        generation, server : str
            Parts of the event id.

        Returns
        -------
        bytes
        """
        return (
            f"id: {EventId(OFFSET_BEFORE_FIRST_TOKEN, generation, server)}\n\n".encode()
        )

    def write_end(
        self, *, offset: int, generation: str, server: str, finish_reason: str
    ) -> bytes:
        """Return the events that end a generation.

        Parameters
        ----------
        offset : int
            Number of tokens of the generation.
        generation, server : str
            Rest of the event id.
        finish_reason : str
            Why the engine ended.

        Returns
        -------
        bytes
        """
        end = (
            f"id: {offset}-{generation}-{server}\n{self._prefix}"
            f'"","finish_reason":{json.dumps(finish_reason)}}}]}}\n\n'
        )
        return end.encode() + DONE


def describe_outcome(outcome: Outcome) -> dict[str, Any]:
    """Return the body that tells a caller of an outcome.

    Parameters
    ----------
    outcome : Outcome

    Returns
    -------
    dict
    """
    error = {
        "outcome": str(outcome.tag),
        "step": outcome.step,
        "peer": outcome.peer,
        "reason": outcome.reason,
    }
    if outcome.retry_after_s is not None:
        error["retry_after_s"] = outcome.retry_after_s
    return {"error": error}


def write_error(outcome: Outcome) -> bytes:
    """Return the event that ends a stream with an outcome.

    Parameters
    ----------
    outcome : Outcome

    Returns
    -------
    bytes
    """
    data = json.dumps(describe_outcome(outcome))
    return f"event: error\ndata: {data}\n\n".encode()
