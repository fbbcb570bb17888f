"""Bodies of HTTP responses that are known to be complete."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.iweb import IResponse


class BodyTooLongError(Exception):
    """Raised for a body that is not kept because others take all the room."""


class _BodyReader(Protocol):
    def __init__(self, keep: Callable[[int], bool]) -> None:
        self.body: Deferred[bytes] = Deferred()
        self._keep = keep
        self._received: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        if self.body.called:
            return
        if self._keep(len(data)):
            self._received.append(data)
            return
        self._received.clear()
        self.body.errback(BodyTooLongError("too much of other bodies is kept"))
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 Twisted API
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._received))
        else:
            self.body.errback(reason)


def read_body(
    response: IResponse, *, keep: Callable[[int], bool] = lambda _: True
) -> Deferred[bytes]:
    """Return the body of a response if a length or chunks marked its end.

    Of a body that ended with its connection, the client cannot tell whether the peer
    closed the connection or lost it. Unlike ``treq.content``, it counts as incomplete.

    Parameters
    ----------
    response : IResponse
    keep : callable
        Called with the size of each part; returns whether there is room for it.

    Returns
    -------
    Deferred of bytes
        Fails with `twisted.web.http.PotentialDataLoss` or
        `twisted.web.client.ResponseFailed` if the body is not known to be complete,
        and with `BodyTooLongError` if there is no room for it.
    """
    reader = _BodyReader(keep)
    response.deliverBody(reader)
    return reader.body
