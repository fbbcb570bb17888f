"""What instances tell each other of streams that callers may take up.

`FrameKind.STREAM_RECORD` and its request and answer are those of the release before. It
knows one stream of each content, and no services of streams. It ignores messages of
other kinds.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ebonyhaven_decisions.forwarding import (
    StreamRecord,
    decode_stream_record,
    encode_stream_record,
)

RECORD_FIELDS = 5  # of a record with a copy, without its service


class StreamTold(NamedTuple):
    """Record of a stream, `FrameKind.STREAM`.

    Parameters
    ----------
    content : str
        See `StreamKey`.
    record : StreamRecord
    age_s : float
        Time since the record was published, if it is sent once more, seconds.
    """

    content: str
    record: StreamRecord
    age_s: float = 0.0


class StreamQuestion(NamedTuple):
    """Question for the streams that a caller may mean, `FrameKind.STREAM_QUESTION`.

    Parameters
    ----------
    content : str
        See `StreamKey`.
    request_id : str or None
        None if the caller does not name the stream.
    """

    content: str
    request_id: str | None


class StreamAnswer(NamedTuple):
    """Answer to a question, `FrameKind.STREAM_ANSWER`.

    Parameters
    ----------
    question : StreamQuestion
    records : tuple of StreamRecord
        All that the instance has, the newest last.
    """

    question: StreamQuestion
    records: tuple[StreamRecord, ...]


def encode_stream(told: StreamTold) -> list[Any]:
    """Return the JSON value of a record.

    Parameters
    ----------
    told : StreamTold
    """
    fields = _encode_record(told.record)
    if told.age_s:
        missing = [0] * (1 + RECORD_FIELDS - len(fields))
        fields = [*fields, *missing, round(told.age_s, 3)]
    return [told.content, *fields]


def decode_stream(payload: Any) -> StreamTold:
    """Return a record from its JSON value.

    Parameters
    ----------
    payload : object

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    content, *fields = _check_list(payload)
    ages = fields[1 + RECORD_FIELDS :]  # the release before sends none
    age_s = float(ages[0]) if ages else 0.0
    if not age_s >= 0.0:
        raise ValueError("age must not be negative")
    return StreamTold(str(content), _decode_record(fields), age_s)


def decode_old_stream(payload: Any) -> StreamTold:
    """Return a record from its JSON value in a message of the release before.

    Parameters
    ----------
    payload : object

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    content, values = payload
    return StreamTold(str(content), decode_stream_record(values))


def encode_question(question: StreamQuestion) -> list[Any]:
    """Return the JSON value of a question.

    Parameters
    ----------
    question : StreamQuestion
    """
    return list(question)


def decode_question(payload: Any) -> StreamQuestion:
    """Return a question from its JSON value.

    Parameters
    ----------
    payload : object

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    content, request_id, *_ = _check_list(payload)
    if not isinstance(content, str) or not isinstance(request_id, str | None):
        raise ValueError("content and request id must be strings")
    return StreamQuestion(content, request_id)


def encode_answer(answer: StreamAnswer) -> list[Any]:
    """Return the JSON value of an answer.

    Parameters
    ----------
    answer : StreamAnswer
    """
    return [*answer.question, *map(_encode_record, answer.records)]


def decode_answer(payload: Any) -> StreamAnswer:
    """Return an answer from its JSON value.

    Parameters
    ----------
    payload : object

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    content, request_id, *records = _check_list(payload)
    question = decode_question([content, request_id])
    return StreamAnswer(question, tuple(map(_decode_record, records)))


def _encode_record(record: StreamRecord) -> list[Any]:
    """Return a flat list; 0 stands for what is missing, in fewer bytes than null."""
    return [each or 0 for each in (record.service, *encode_stream_record(record))]


def _decode_record(fields: Any) -> StreamRecord:
    """Return a record; what a later release adds behind it is left out."""
    fields = _check_list(fields)
    service, *values = [None if each == 0 else each for each in fields]
    has_copy = any(each is not None for each in values[2:RECORD_FIELDS])
    return decode_stream_record(values[: RECORD_FIELDS if has_copy else 2], service)


def _check_list(payload: Any) -> list[Any]:
    if not isinstance(payload, list):
        raise TypeError(f"expected a list, got {type(payload).__name__}")
    return payload
