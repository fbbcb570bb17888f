"""Encoding of the messages between instances."""

from __future__ import annotations

import enum
import json
from typing import Any, NamedTuple

from ebonyhaven_decisions import MAX_DOCUMENT_DEPTH, check_integer, decode_document

# A payload may hold a document of the greatest depth.
MAX_FRAME_DEPTH = MAX_DOCUMENT_DEPTH + 8
NNG_HEADER_BYTES = 8


class FrameKind(enum.StrEnum):
    """Kind of a message; the value is its code on the wire."""

    HEARTBEAT = "h"
    PROBE = "p"
    PROBE_ANSWER = "a"
    QUERY = "q"
    QUERY_ANSWER = "r"
    TABLE_REQUEST = "s"
    TABLE = "t"
    CONFIGURATION = "c"
    CONFIGURATION_REQUEST = "d"
    LISTING_REQUEST = "e"
    LISTING = "l"
    USAGE = "u"
    LOAD_DIGEST = "o"
    ENGINE_USE = "g"
    STATE_REQUEST = "w"
    STATE = "x"
    CONFIGURATION_CHANGE = "xc"
    TAKES_CHANGES = "xk"
    SERVER_CHANGES = "y"
    STREAM_RECORD = "k"
    STREAM_RECORD_REQUEST = "m"
    STREAM_RECORD_ANSWER = "n"
    STREAM = "z"
    STREAM_QUESTION = "zq"
    STREAM_ANSWER = "za"
    SERVER_LOSSES = "b"
    CRASHES = "f"
    SERVER_LIMITS = "i"
    SERVER_CONTACT = "j"
    SERVER_PERMITS = "v"


class Frame(NamedTuple):
    """One message between instances.

    Parameters
    ----------
    kind : FrameKind
    sender : str
        Name of the sending instance.
    incarnation : int
        Incarnation of the sending instance.
    payload : object
        JSON value.
    """

    kind: FrameKind
    sender: str
    incarnation: int
    payload: Any


class FrameError(ValueError):
    """Raised for bytes or a payload that cannot be decoded."""


def encode_json(value: Any) -> bytes:
    """Return the compact JSON text of a value, encoded as UTF-8.

    Parameters
    ----------
    value : object

    Returns
    -------
    bytes
    """
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode()


def encode_frame(frame: Frame) -> bytes:
    """Encode a message.

    Parameters
    ----------
    frame : Frame

    Returns
    -------
    bytes
    """
    return encode_json(frame)


def decode_frame(data: bytes) -> Frame:
    """Decode a message.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    Frame

    Raises
    ------
    FrameError
        If the bytes are not a message of a known kind.
    """
    try:
        fields = decode_document(data, max_depth=MAX_FRAME_DEPTH)
        kind, sender, incarnation, payload = fields
        frame = Frame(FrameKind(kind), sender, check_integer(incarnation), payload)
    except (TypeError, ValueError) as error:
        raise FrameError(str(error)) from error
    if not isinstance(sender, str):
        raise FrameError("sender is not a string")
    return frame
