"""Headers in which backend servers name limits and rests, on the own interface."""

from __future__ import annotations

import math

from ebonyhaven_decisions import parse_count
from ebonyhaven_decisions.forwarding import ServerLimits
from twisted.web.http_headers import Headers

REQUEST_LIMIT_HEADER = "Backend-Request-Limit"
REFUSAL_LIMIT_HEADER = "Backend-Refusal-Limit"
RETRY_AFTER_HEADER = "Retry-After"
UNAVAILABLE_STATUS = 503


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


def read_rest_s(status: int, headers: Headers) -> float | None:
    """Return for how long a server wants no requests, if its answer says so.

    Parameters
    ----------
    status : int
    headers : Headers

    Returns
    -------
    float or None
        Seconds, more than 0.
    """
    if status != UNAVAILABLE_STATUS:
        return None
    return _parse_number(headers.getRawHeaders(RETRY_AFTER_HEADER, [""])[0]) or None


def _parse_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None
