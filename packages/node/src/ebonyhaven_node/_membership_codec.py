"""Membership messages as JSON payloads."""

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
_HEARTBEAT_FIELDS = 5


class HeartbeatPayload(NamedTuple):
    """A decoded heartbeat.

    Parameters
    ----------
    heartbeat : Heartbeat
    digests : dict of str to object
        Payload of each digest by its code.
    """

    heartbeat: Heartbeat
    digests: dict[str, Any]


def encode_heartbeat(heartbeat: Heartbeat, digests: dict[str, Any]) -> list[Any]:
    """Return the payload of a heartbeat; empty trailing fields are left out.

    Parameters
    ----------
    heartbeat : Heartbeat
    digests : dict of str to object
        Payload of each digest by its code.

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
    """Return the heartbeat of a payload.

    Parameters
    ----------
    payload : object

    Returns
    -------
    HeartbeatPayload

    Raises
    ------
    FrameError
        If the payload is no heartbeat.
    """
    try:
        fields = list(payload) + [()] * (_HEARTBEAT_FIELDS - len(payload))
        state, digest, digests, updates, loads = fields
        heartbeat = Heartbeat(
            state=MemberState(state),
            digest=int(digest),
            updates=_decode_records(updates),
            loads=tuple(LoadReport(*report) for report in loads),
        )
        return HeartbeatPayload(heartbeat, dict(digests))
    except (TypeError, ValueError) as error:
        raise FrameError(str(error)) from error


def encode_message(message: MembershipMessage) -> Any:
    """Return the payload of any message but a heartbeat.

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
    raise TypeError(f"no payload for {type(message).__name__}")


def decode_message(kind: FrameKind, payload: Any) -> MembershipMessage:
    """Return the message of a payload, for any kind but a heartbeat.

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
        If the payload does not fit the kind.
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
    raise FrameError(f"{kind.name} is no membership message")


def _decode_record(fields: Sequence[Any]) -> MemberRecord:
    incarnation, state, *texts = fields
    return MemberRecord(int(incarnation), MemberState(state), *map(str, texts))


def _decode_records(payload: Sequence[Any]) -> tuple[MemberRecord, ...]:
    return tuple(_decode_record(fields) for fields in payload)
