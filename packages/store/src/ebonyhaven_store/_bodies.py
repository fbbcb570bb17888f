"""Bodies of HTTP responses that are known to be complete."""

from __future__ import annotations

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.iweb import IResponse


class _BodyReader(Protocol):
    def __init__(self) -> None:
        self.body: Deferred[bytes] = Deferred()
        self._received: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        self._received.append(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 Twisted API
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._received))
        else:
            self.body.errback(reason)


def read_body(response: IResponse) -> Deferred[bytes]:
    """Return the body of a response if a length or chunks marked its end.

    Of a body that ended with its connection, the client cannot tell whether the peer
    closed the connection or lost it. Unlike ``treq.content``, it counts as incomplete.

    Parameters
    ----------
    response : IResponse

    Returns
    -------
    Deferred of bytes
        Fails with `twisted.web.http.PotentialDataLoss` or
        `twisted.web.client.ResponseFailed` if the body is not known to be complete.
    """
    reader = _BodyReader()
    response.deliverBody(reader)
    return reader.body
