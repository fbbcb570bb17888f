"""Choice of the backend server at which a request would be answered first."""

from ebonyhaven_decisions.forwarding.balancing._load_estimates import LoadEstimate
from ebonyhaven_decisions.forwarding.balancing._server_loads import ServerLoad
from ebonyhaven_decisions.forwarding.balancing._service_times import ServiceTimes
from ebonyhaven_decisions.forwarding.balancing._spreading import (
    Prospect,
    choose_prospect,
)

__all__ = [
    "LoadEstimate",
    "Prospect",
    "ServerLoad",
    "ServiceTimes",
    "choose_prospect",
]
