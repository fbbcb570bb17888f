"""What instances tell each other of a stream, for callers that retry it elsewhere."""

from __future__ import annotations

from typing import Any, NamedTuple

from ebonyhaven_decisions._documents import check_token


class RunCopyLocation(NamedTuple):
    """Location of the copy of a run.

    Parameters
    ----------
    holder_id : str
        Id of the server with the copy.
    address : str or None
        For a copy made on request, address of the run's engine; None for one that the
        holder finds itself.
    handle : str
        Name of the copy on that server.
    """

    holder_id: str
    address: str | None
    handle: str


class StreamRecord(NamedTuple):
    """How a stream can go on.

    Parameters
    ----------
    version : str
        Software version of the server that began the stream. Events of two versions do
        not fit together.
    request_id : str
        Id of the caller's request that brought the first event.
    copy : RunCopyLocation or None
        Copy of the stream's run; None if there is none.
    """

    version: str
    request_id: str
    copy: RunCopyLocation | None


def encode_stream_record(record: StreamRecord) -> list[str | None]:
    """Return the JSON value of a record, without what its fields have in common.

    Parameters
    ----------
    record : StreamRecord
    """
    if record.copy is None:
        return [record.version, record.request_id]
    is_first_run = record.copy.handle == record.request_id
    request_id = None if is_first_run else record.request_id
    return [record.version, request_id, *record.copy]


def decode_stream_record(values: Any) -> StreamRecord:
    """Return a record from its JSON value.

    Parameters
    ----------
    values : object
        Result of `encode_stream_record`.

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    version, request_id, *location = values
    copy = _decode_location(*location) if location else None
    if request_id is None and copy is not None:
        request_id = copy.handle
    if not isinstance(version, str) or not isinstance(request_id, str):
        raise ValueError("version and request id must be strings")
    return StreamRecord(version, request_id, copy)


def _decode_location(holder_id: Any, address: Any, handle: Any) -> RunCopyLocation:
    if not isinstance(holder_id, str):
        raise ValueError("holder of a copy must be a string")
    address = None if address is None else check_token(address)
    return RunCopyLocation(holder_id, address, check_token(handle))
