"""Decoding of JSON documents and numbers that other processes wrote.

Whatever is wrong with them is one error, `MalformedDocument`. A decoded document is
bounded in size, depth and the magnitude of its numbers, and can be encoded again.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any

from ebonyhaven_decisions.exceptions import MalformedDocument

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_DOCUMENT_DEPTH = 64
MAX_MAGNITUDE = 2**63 - 1
_MAX_DIGITS = 19  # of `MAX_MAGNITUDE`
_MAX_QUOTED_CHARACTERS = 80
_CONTAINERS = frozenset({list, dict})
_ZERO_FOR_DIGITS = bytes.maketrans(b"123456789", b"000000000")
_MANY_ZEROS = b"0" * _MAX_DIGITS
_TOKEN = re.compile(r"[\x21-\x7e]{1,256}")
_FIELD_VALUE = re.compile(r"[^\x00\t-\r ]([^\x00\n-\r]*[^\x00\t-\r ])?")


def decode_document(
    data: bytes,
    *,
    max_depth: int = MAX_DOCUMENT_DEPTH,
    allows_surrogates: bool = False,
) -> Any:
    """Decode a JSON document.

    Parameters
    ----------
    data : bytes
        In UTF-8.
    max_depth : int
        Maximum number of lists and objects within each other.
    allows_surrogates : bool
        Whether strings may hold unpaired surrogates, which can't be encoded.

    Returns
    -------
    object
        JSON value; its integers are at most `MAX_MAGNITUDE`, its numbers finite.

    Raises
    ------
    MalformedDocument
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise MalformedDocument(f"{len(data)} bytes are too many")
    try:
        text = data.decode()
        value = _choose_decoder(data).decode(text)
        if text.count("[") + text.count("{") > max_depth:
            _check_depth(value, max_depth)
        if "\\u" in text and not allows_surrogates:
            json.dumps(value, ensure_ascii=False).encode()
    except MalformedDocument:
        raise
    except (RecursionError, ValueError) as error:
        raise MalformedDocument(f"not a JSON document: {quote(error)}") from error
    return value


def check_integer(
    value: object, *, minimum: int = -MAX_MAGNITUDE, maximum: int = MAX_MAGNITUDE
) -> int:
    """Return a value that must be an integer.

    Parameters
    ----------
    value : object
    minimum, maximum : int

    Raises
    ------
    MalformedDocument
        If it has another type or is not within the bounds.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedDocument(f"expected an integer, got {quote(value)}")
    if not minimum <= value <= maximum:
        raise MalformedDocument(f"expected {minimum} to {maximum}, got {quote(value)}")
    return value


def check_number(
    value: object, *, minimum: float = -MAX_MAGNITUDE, maximum: float = MAX_MAGNITUDE
) -> float:
    """Return a value that must be a finite number.

    Parameters
    ----------
    value : object
    minimum, maximum : float

    Raises
    ------
    MalformedDocument
        If it has another type or is not within the bounds.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedDocument(f"expected a number, got {quote(value)}")
    if not minimum <= value <= maximum:
        raise MalformedDocument(f"expected {minimum} to {maximum}, got {quote(value)}")
    return value


def check_token(value: object) -> str:
    """Return a value that must be visible ASCII text, as header fields may hold.

    Parameters
    ----------
    value : object

    Raises
    ------
    MalformedDocument
    """
    if not isinstance(value, str) or not _TOKEN.fullmatch(value):
        raise MalformedDocument(f"expected visible ASCII text, got {quote(value)}")
    return value


def is_field_value(text: str) -> bool:
    """Return whether the field of an HTTP header may hold a text.

    See RFC 9110, section 5.5. Control characters that do not change how a header is
    read are allowed, and characters beyond ASCII left to their encoding.

    Parameters
    ----------
    text : str
    """
    return _FIELD_VALUE.fullmatch(text) is not None


def parse_count(text: str | bytes) -> int | None:
    """Return a whole number in ASCII digits; None for other text or a larger number.

    Parameters
    ----------
    text : str or bytes
    """
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > _MAX_DIGITS:
        return None
    count = int(digits)
    return count if count <= MAX_MAGNITUDE else None


def quote(value: object) -> str:
    """Return a short description of a value for messages.

    Parameters
    ----------
    value : object
    """
    if isinstance(value, list | dict):
        return f"{type(value).__name__} of {len(value)}"
    try:
        text = ascii(value)
    except ValueError:
        return "an integer with too many digits"
    is_long = len(text) > _MAX_QUOTED_CHARACTERS
    return text[:_MAX_QUOTED_CHARACTERS] + "..." if is_long else text


def _parse_integer(text: str) -> int:
    number = int(text) if len(text) <= _MAX_DIGITS + 1 else math.inf
    if not abs(number) <= MAX_MAGNITUDE:
        raise MalformedDocument("an integer is too large")
    return number


def _parse_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise MalformedDocument("a number is too large")
    return number


def _reject_constant(text: str) -> float:
    raise MalformedDocument(f"{text} is not a number")


def _check_depth(value: Any, max_depth: int) -> None:
    level = [value]
    for _ in range(max_depth):
        level = [
            child
            for each in level
            for child in (each.values() if type(each) is dict else each)
            if type(child) in _CONTAINERS
        ]
        if not level:
            return
    raise MalformedDocument("too deeply nested")


_decoder = json.JSONDecoder(parse_float=_parse_float, parse_constant=_reject_constant)
_long_integer_decoder = json.JSONDecoder(
    parse_int=_parse_integer, parse_float=_parse_float, parse_constant=_reject_constant
)


def _choose_decoder(data: bytes) -> json.JSONDecoder:
    """Return the decoder that checks integers, which is slow, if one may be long."""
    has_long_integer = _MANY_ZEROS in data.translate(_ZERO_FOR_DIGITS)
    return _long_integer_decoder if has_long_integer else _decoder
