"""Forwarding of callers' requests and event streams to backend servers.

The core knows no wire names: a deployment supplies dialects for callers and
backend servers and a source of configuration and servers, see `interfaces`.
"""

from ebonyhaven_node._failures import refuse
from ebonyhaven_node.forwarding._connection_pool import ConnectionPool
from ebonyhaven_node.forwarding._gateway import Gateway, GatewaySettings
from ebonyhaven_node.forwarding._http_client import OutgoingRequest, RequestBytes
from ebonyhaven_node.forwarding._http_server import CallerServer, Exchange
from ebonyhaven_node.forwarding._messages import (
    AnswerHead,
    AttemptPlan,
    CopyPlace,
    ForwardRequest,
    Headers,
    PromptSize,
    RequestHead,
)
from ebonyhaven_node.forwarding._state import ForwardingState

__all__ = [
    "AnswerHead",
    "AttemptPlan",
    "CallerServer",
    "ConnectionPool",
    "CopyPlace",
    "Exchange",
    "ForwardRequest",
    "ForwardingState",
    "Gateway",
    "GatewaySettings",
    "Headers",
    "OutgoingRequest",
    "PromptSize",
    "RequestBytes",
    "RequestHead",
    "refuse",
]
