"""Forwarding of callers' requests and event streams to backend servers.

The core contains no names of wire protocols. A deployment supplies dialects for
callers and backend servers and a source of the configuration and the server list,
see `interfaces`.
"""

from ebonyhaven_node._failures import make_not_run_failure
from ebonyhaven_node.forwarding._connection_pool import ConnectionPool
from ebonyhaven_node.forwarding._exchanges import Exchange
from ebonyhaven_node.forwarding._gateway import Gateway
from ebonyhaven_node.forwarding._gateway_builders import GatewayBuilders
from ebonyhaven_node.forwarding._http_client import HttpRequest, ResponseHandler
from ebonyhaven_node.forwarding._http_server import CallerServer
from ebonyhaven_node.forwarding._requests import (
    AttemptPlan,
    CopyReference,
    ForwardRequest,
    GenerationSize,
    Headers,
    RelayOrigin,
    RequestHead,
    ResponseHead,
)
from ebonyhaven_node.forwarding._settings import GatewaySettings
from ebonyhaven_node.forwarding._state import (
    ChangeSource,
    ConfigurationOrigin,
    ForwardingState,
    ListOrigin,
)

__all__ = [
    "AttemptPlan",
    "CallerServer",
    "ChangeSource",
    "ConfigurationOrigin",
    "ConnectionPool",
    "CopyReference",
    "Exchange",
    "ForwardRequest",
    "ForwardingState",
    "Gateway",
    "GatewayBuilders",
    "GatewaySettings",
    "GenerationSize",
    "Headers",
    "HttpRequest",
    "ListOrigin",
    "RelayOrigin",
    "RequestHead",
    "ResponseHandler",
    "ResponseHead",
    "make_not_run_failure",
]
