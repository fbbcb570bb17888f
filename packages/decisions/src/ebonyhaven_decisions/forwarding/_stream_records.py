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


class StreamKey(NamedTuple):
    """Identity of a stream.

    Parameters
    ----------
    content : str
        Digest of what is generated and for which workspace; streams that were asked for
        more than once have it in common.
    request_id : str
        Id of the caller's request that brought the first event.
    """

    content: str
    request_id: str


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
    service : str or None
        Service of the server that began the stream; None if an instance of the release
        before recorded it, which does not tell.
    """

    version: str
    request_id: str
    copy: RunCopyLocation | None
    service: str | None = None

    def make_key(self, content: str) -> StreamKey:
        """Return the identity of the stream.

        Parameters
        ----------
        content : str
            See `StreamKey`.
        """
        return StreamKey(content, self.request_id)

    def complete(self, known: StreamRecord | None) -> StreamRecord:
        """Return the record with the service of an earlier one, unless it has its own.

        Parameters
        ----------
        known : StreamRecord or None
            Earlier record of the same stream.
        """
        if known is None or self.service is not None:
            return self
        return self._replace(service=known.service)


class StreamLookup(NamedTuple):
    """What is known of the stream that a caller takes up.

    Parameters
    ----------
    records : tuple of StreamRecord
        Of the streams that the caller may mean, the newest last.
    is_complete : bool
        Whether all were asked that may have a record. If not, a stream without one may
        be found later.
    """

    records: tuple[StreamRecord, ...]
    is_complete: bool


def encode_stream_record(record: StreamRecord) -> list[str | None]:
    """Return the JSON value of a record, without what its fields have in common.

    The release before reads no further elements, so that the service is told beside it.

    Parameters
    ----------
    record : StreamRecord
    """
    if record.copy is None:
        return [record.version, record.request_id]
    is_first_run = record.copy.handle == record.request_id
    request_id = None if is_first_run else record.request_id
    return [record.version, request_id, *record.copy]


def decode_stream_record(values: Any, service: Any = None) -> StreamRecord:
    """Return a record from its JSON value.

    Parameters
    ----------
    values : object
        Result of `encode_stream_record`.
    service : object
        What is told of the service beside it.

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
    if service is not None and not isinstance(service, str):
        raise ValueError("service must be a string")
    return StreamRecord(version, request_id, copy, service)


def _decode_location(holder_id: Any, address: Any, handle: Any) -> RunCopyLocation:
    if not isinstance(holder_id, str):
        raise ValueError("holder of a copy must be a string")
    address = None if address is None else check_token(address)
    return RunCopyLocation(holder_id, address, check_token(handle))
