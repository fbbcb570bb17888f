"""Encoding of membership messages as JSON payloads."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from ebonyhaven_decisions import (
    Heartbeat,
    LoadReport,
    MemberRecord,
    MembershipMessage,
    MemberState,
    Probe,
    ProbeAnswer,
    Query,
    QueryAnswer,
    TableAnswer,
    TableRequest,
    check_integer,
)

from ebonyhaven_node._frames import FrameError, FrameKind

KIND_BY_MESSAGE_TYPE: dict[type, FrameKind] = {
    Heartbeat: FrameKind.HEARTBEAT,
    Probe: FrameKind.PROBE,
    ProbeAnswer: FrameKind.PROBE_ANSWER,
    Query: FrameKind.QUERY,
    QueryAnswer: FrameKind.QUERY_ANSWER,
    TableRequest: FrameKind.TABLE_REQUEST,
    TableAnswer: FrameKind.TABLE,
}
_HEARTBEAT_FIELD_COUNT = 5


class HeartbeatPayload(NamedTuple):
    """A decoded heartbeat.

    Parameters
    ----------
    heartbeat : Heartbeat
    digests : dict of str to object
        Payloads by digest code.
    """

    heartbeat: Heartbeat
    digests: dict[str, Any]


def encode_heartbeat(heartbeat: Heartbeat, digests: dict[str, Any]) -> list[Any]:
    """Return the payload of a heartbeat without empty trailing fields.

    Parameters
    ----------
    heartbeat : Heartbeat
    digests : dict of str to object
        Payloads by digest code.

    Returns
    -------
    list
    """
    payload = [
        int(heartbeat.state),
        heartbeat.digest,
        digests,
        heartbeat.updates,
        heartbeat.loads,
    ]
    while not payload[-1] and len(payload) > 2:
        payload.pop()
    return payload


def decode_heartbeat(payload: Any) -> HeartbeatPayload:
    """Decode the payload of a heartbeat.

    Parameters
    ----------
    payload : object

    Returns
    -------
    HeartbeatPayload

    Raises
    ------
    FrameError
        If the payload is not a valid heartbeat.
    """
    try:
        fields = list(payload) + [()] * (_HEARTBEAT_FIELD_COUNT - len(payload))
        state, digest, digests, updates, loads = fields
        heartbeat = Heartbeat(
            state=MemberState(state),
            digest=check_integer(digest),
            updates=_decode_records(updates),
            loads=tuple(_decode_load(*report) for report in loads),
        )
        return HeartbeatPayload(heartbeat, dict(digests))
    except (TypeError, ValueError) as error:
        raise FrameError(str(error)) from error


def encode_message(message: MembershipMessage) -> Any:
    """Return the payload of a message that is not a heartbeat.

    Parameters
    ----------
    message : MembershipMessage

    Returns
    -------
    object
    """
    match message:
        case Probe(record) | ProbeAnswer(record) | TableRequest(record):
            return record
        case TableAnswer(records):
            return records
        case Query(record, subject):
            return [record, subject]
        case QueryAnswer(subject):
            return subject
    raise TypeError(f"unsupported message type {type(message).__name__}")


def decode_message(kind: FrameKind, payload: Any) -> MembershipMessage:
    """Decode the payload of a message that is not a heartbeat.

    Parameters
    ----------
    kind : FrameKind
    payload : object

    Returns
    -------
    MembershipMessage

    Raises
    ------
    FrameError
        If the payload is not valid for the kind.
    """
    try:
        return _decode(kind, payload)
    except (TypeError, ValueError) as error:
        raise FrameError(str(error)) from error


def _decode(kind: FrameKind, payload: Any) -> MembershipMessage:
    match kind:
        case FrameKind.PROBE:
            return Probe(_decode_record(payload))
        case FrameKind.PROBE_ANSWER:
            return ProbeAnswer(_decode_record(payload))
        case FrameKind.TABLE_REQUEST:
            return TableRequest(_decode_record(payload))
        case FrameKind.TABLE:
            return TableAnswer(_decode_records(payload))
        case FrameKind.QUERY:
            record, subject = payload
            return Query(_decode_record(record), str(subject))
        case FrameKind.QUERY_ANSWER:
            return QueryAnswer(str(payload))
    raise FrameError(f"unsupported message kind {kind.name}")


def _decode_record(fields: Sequence[Any]) -> MemberRecord:
    incarnation, state, *texts = fields
    return MemberRecord(
        check_integer(incarnation), MemberState(state), *map(str, texts)
    )


def _decode_load(*fields: Any) -> LoadReport:
    *numbers, name = fields
    return LoadReport(*map(check_integer, numbers), str(name))


def _decode_records(payload: Sequence[Any]) -> tuple[MemberRecord, ...]:
    return tuple(_decode_record(fields) for fields in payload)
