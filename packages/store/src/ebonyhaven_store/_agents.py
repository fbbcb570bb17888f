"""HTTP agent that connects to IP addresses without resolving names."""

from __future__ import annotations

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


@implementer(IAgentEndpointFactory)
class IPv4EndpointFactory:
    """Makes endpoints for URIs whose host is an IP address.

    The agent's usual endpoint resolves names in a thread and reports a refused
    connection only 0.3 s later, when it has no further address to try.

    Parameters
    ----------
    reactor : IReactorTCP
    connect_timeout_s : float
        Longest time that connecting may take, seconds.
    """

    __slots__ = ("_connect_timeout_s", "_reactor")

    def __init__(self, reactor: Any, connect_timeout_s: float):
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint of a URI.

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
    """Return an agent for URIs whose host is an IP address.

    Parameters
    ----------
    reactor : IReactorTCP
    connect_timeout_s : float
        Longest time that connecting may take, seconds.
    pool : HTTPConnectionPool, optional
        Pool of open connections; without it each request has its own.

    Returns
    -------
    Agent
    """
    factory = IPv4EndpointFactory(reactor, connect_timeout_s)
    return Agent.usingEndpointFactory(reactor, factory, pool=pool)
