"""Parses the event streams of engines and encodes those for callers."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from ebonyhaven_decisions import (
    OFFSET_BEFORE_FIRST_TOKEN,
    EventId,
    Outcome,
    decode_document,
    parse_count,
)
from ebonyhaven_decisions.exceptions import MalformedDocument

KEEP_ALIVE_COMMENT = b": keep-alive\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 64 * 1024
_SEPARATOR = b"\n\n"
# Most events are compact JSON without escapes; these are parsed without `json`.
_COMPACT_TEXT_PREFIX = b'"choices":[{"index":0,"text":"'
_COMPACT_TEXT_SUFFIX = b'","finish_reason":null}]}'


class Token(NamedTuple):
    """A token event of an engine, or the event that ends the generation.

    Parameters
    ----------
    offset : int
        Index of the token, from 0; in the end event, the number of tokens.
    text : str
        Text of the token; empty in the end event.
    finish_reason : str or None
        Reason for the end; None except in the end event.
    """

    offset: int
    text: str
    finish_reason: str | None


class EventParser:
    """Incremental parser of an engine's event stream.

    An incomplete event is buffered until its remaining bytes arrive.

    Attributes
    ----------
    done : bool
        Whether the ``[DONE]`` event has been parsed.
    """

    __slots__ = ("_buffer", "done")

    def __init__(self) -> None:
        self._buffer = b""
        self.done = False

    def feed(self, data: bytes) -> list[Token]:
        """Parse received bytes and return the tokens whose events are complete.

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
            raise ValueError("engine event exceeds the maximum length")
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
        offset = parse_count(head[4:])
        if offset is None:
            raise MalformedDocument("an event without a valid id")
        if rest.endswith(_COMPACT_TEXT_SUFFIX):
            _, _, literal = rest[: -len(_COMPACT_TEXT_SUFFIX)].partition(
                _COMPACT_TEXT_PREFIX
            )
            if literal and b"\\" not in literal:
                return Token(offset, literal.decode(), None)
        body = decode_document(rest.removeprefix(b"data: "), allows_surrogates=True)
        return _read_token(offset, body)


def _read_token(offset: int, body: Any) -> Token:
    try:
        choice = body["choices"][0]
        text, finish_reason = choice["text"], choice["finish_reason"]
    except (LookupError, TypeError) as error:
        raise MalformedDocument(f"not an event: {error!r}") from error
    if not isinstance(text, str) or not isinstance(finish_reason, str | None):
        raise MalformedDocument("text and finish reason must be strings")
    return Token(offset, text, finish_reason)


class EventEncoder:
    """Encodes the events of one run for callers.

    Parameters
    ----------
    run_id : str
    """

    __slots__ = ("_data_prefix",)

    def __init__(self, run_id: str) -> None:
        self._data_prefix = (
            f'data: {{"id":"cmpl-{run_id}","object":"text_completion",'
            '"choices":[{"index":0,"text":'
        )

    def encode_tokens(
        self, texts: list[str], *, offset: int, generation: str, server: str
    ) -> bytes:
        """Return the events of consecutive tokens.

        Parameters
        ----------
        texts : list of str
            Text of each token.
        offset : int
            Offset of the first token.
        generation, server : str
            Generation and backend server in the event ids.

        Returns
        -------
        bytes
        """
        tail = f"-{generation}-{server}\n{self._data_prefix}"
        encode = json.dumps
        return "".join(
            f'id: {number}{tail}{encode(text)},"finish_reason":null}}]}}\n\n'
            for number, text in enumerate(texts, offset)
        ).encode()

    def encode_acceptance(self, *, generation: str, server: str) -> bytes:
        """Return the event that reports the position before the first token.

        It has an id but no data, so that clients store the id and dispatch no
        event.

        Parameters
        ----------
        generation, server : str
            Generation and backend server in the event id.

        Returns
        -------
        bytes
        """
        return (
            f"id: {EventId(OFFSET_BEFORE_FIRST_TOKEN, generation, server)}\n\n".encode()
        )

    def encode_end(
        self, *, offset: int, generation: str, server: str, finish_reason: str
    ) -> bytes:
        """Return the events that end a generation.

        Parameters
        ----------
        offset : int
            Number of tokens of the generation.
        generation, server : str
            Generation and backend server in the event id.
        finish_reason : str
            Reason for the end, as given by the engine.

        Returns
        -------
        bytes
        """
        end = (
            f"id: {offset}-{generation}-{server}\n{self._data_prefix}"
            f'"","finish_reason":{json.dumps(finish_reason)}}}]}}\n\n'
        )
        return end.encode() + DONE_EVENT


def build_error_body(outcome: Outcome) -> dict[str, Any]:
    """Return the JSON body that reports an outcome to a caller.

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


def encode_error(outcome: Outcome) -> bytes:
    """Return the error event that ends a stream.

    Parameters
    ----------
    outcome : Outcome

    Returns
    -------
    bytes
    """
    data = json.dumps(build_error_body(outcome))
    return f"event: error\ndata: {data}\n\n".encode()
