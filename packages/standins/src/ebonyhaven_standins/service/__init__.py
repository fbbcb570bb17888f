"""Stand-in for a plain service."""

from __future__ import annotations

from ebonyhaven_standins.service._http import ServiceHttpApi, ServiceSettings

__all__ = ["ServiceHttpApi", "ServiceSettings"]
