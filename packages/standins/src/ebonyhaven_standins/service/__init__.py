"""Stand-in of a plain service."""

from __future__ import annotations

from ebonyhaven_standins.service._http import ServiceInterface, ServiceSettings

__all__ = ["ServiceInterface", "ServiceSettings"]
