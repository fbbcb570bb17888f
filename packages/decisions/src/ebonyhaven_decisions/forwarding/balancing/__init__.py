"""Choice of the backend server at which a request would be answered first."""

from ebonyhaven_decisions.forwarding.balancing._server_loads import ServerLoad

__all__ = ["ServerLoad"]
