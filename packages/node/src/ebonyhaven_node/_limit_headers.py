"""Headers in which backend servers name limits, on the product's own interface."""

from __future__ import annotations

import math

from ebonyhaven_decisions import parse_count
from ebonyhaven_decisions.forwarding import ServerLimits
from twisted.web.http_headers import Headers

REQUEST_LIMIT_HEADER = "Backend-Request-Limit"
REFUSAL_LIMIT_HEADER = "Backend-Refusal-Limit"


def read_limits(headers: Headers) -> ServerLimits:
    """Return the limits that an answer names; malformed ones count as none.

    Parameters
    ----------
    headers : Headers
    """
    return ServerLimits(
        _parse_number(headers.getRawHeaders(REQUEST_LIMIT_HEADER, [""])[0]),
        parse_count(headers.getRawHeaders(REFUSAL_LIMIT_HEADER, [""])[0]),
    )


def _parse_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None
