"""HTTP agent that connects to IPv4 addresses without name resolution."""

from __future__ import annotations

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


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
    """

    __slots__ = ("_connect_timeout_s", "_reactor")

    def __init__(self, reactor: Any, connect_timeout_s: float):
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the TCP endpoint of a URI.

        Parameters
        ----------
        uri : URI

        Returns
        -------
        IStreamClientEndpoint
        """
        return TCP4ClientEndpoint(
            self._reactor,
            uri.host.decode(),
            uri.port,
            timeout=self._connect_timeout_s,
        )


def make_agent(
    reactor: Any,
    *,
    connect_timeout_s: float,
    pool: HTTPConnectionPool | None = None,
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

    Returns
    -------
    Agent
    """
    factory = IPv4EndpointFactory(reactor, connect_timeout_s)
    return Agent.usingEndpointFactory(reactor, factory, pool=pool)
