"""HTTP agent for IPv4 addresses that bounds the bytes of each response."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IProtocolFactory, IStreamClientEndpoint
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

DEFAULT_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"


class _LimitedConnection(ProtocolWrapper):
    """Closes the connection if a response to what was written last is too long."""

    max_response_bytes = DEFAULT_MAX_RESPONSE_BYTES
    _received_bytes = 0
    _head_tail = b""
    _has_head = False

    def write(self, data: bytes) -> None:
        """Send a part of a request."""
        self._start_response()
        super().write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802 Twisted API
        """Send parts of a request."""
        self._start_response()
        super().writeSequence(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        """Pass a part of a response on."""
        self._received_bytes += len(data)
        if not self._has_head:
            text = self._head_tail + data
            self._has_head = HEAD_END in text
            self._head_tail = text[-len(HEAD_END) + 1 :]
        limit = self.max_response_bytes if self._has_head else MAX_HEAD_BYTES
        if self._received_bytes > limit:
            self.abortConnection()
        else:
            super().dataReceived(data)

    def _start_response(self) -> None:
        self._received_bytes = 0
        self._head_tail = b""
        self._has_head = False


@implementer(IStreamClientEndpoint)
class _LimitedEndpoint:
    """Endpoint whose connections bound the bytes of each response."""

    __slots__ = ("_endpoint", "_max_response_bytes")

    def __init__(self, endpoint: IStreamClientEndpoint, max_response_bytes: int):
        self._endpoint = endpoint
        self._max_response_bytes = max_response_bytes

    def connect(self, factory: IProtocolFactory) -> Deferred:
        """Connect, and return the protocol of the factory."""
        wrapper = WrappingFactory(factory)
        wrapper.noisy = False
        wrapper.protocol = self._make_connection
        connecting = self._endpoint.connect(wrapper)
        return connecting.addCallback(lambda connection: connection.wrappedProtocol)

    def _make_connection(self, *arguments: Any) -> _LimitedConnection:
        connection = _LimitedConnection(*arguments)
        connection.max_response_bytes = self._max_response_bytes
        return connection


@implementer(IAgentEndpointFactory)
class IPv4EndpointFactory:
    """Creates TCP endpoints for URIs whose host is an IPv4 address.

    The default endpoint of ``Agent`` resolves names in a thread and reports a
    refused connection only after 0.3 s, the delay before it tries the next address.

    Parameters
    ----------
    reactor : IReactorTCP
    connect_timeout_s : float
        Connect timeout in seconds.
    max_response_bytes : int
        Size of a response from which its connection is closed.
    """

    __slots__ = ("_connect_timeout_s", "_max_response_bytes", "_reactor")

    def __init__(self, reactor: Any, connect_timeout_s: float, max_response_bytes: int):
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._max_response_bytes = max_response_bytes

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the TCP endpoint of a URI.

        Parameters
        ----------
        uri : URI

        Returns
        -------
        IStreamClientEndpoint
        """
        endpoint = TCP4ClientEndpoint(
            self._reactor,
            uri.host.decode(),
            uri.port,
            timeout=self._connect_timeout_s,
        )
        return _LimitedEndpoint(endpoint, self._max_response_bytes)


def make_agent(
    reactor: Any,
    *,
    connect_timeout_s: float,
    pool: HTTPConnectionPool | None = None,
    max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
) -> Agent:
    """Return an agent for URIs whose host is an IPv4 address.

    Parameters
    ----------
    reactor : IReactorTCP
    connect_timeout_s : float
        Connect timeout in seconds.
    pool : HTTPConnectionPool, optional
        Pool of persistent connections; without it each request opens a new
        connection.
    max_response_bytes : int
        Size of a response from which its connection is closed.

    Returns
    -------
    Agent
    """
    factory = IPv4EndpointFactory(reactor, connect_timeout_s, max_response_bytes)
    return Agent.usingEndpointFactory(reactor, factory, pool=pool)
