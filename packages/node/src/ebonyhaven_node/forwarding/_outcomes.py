"""Reasons and Retry-After values of rejections, and statuses that mean not run."""

from __future__ import annotations

NOT_READY_RETRY_AFTER_S = 0.5  # about the time that an instance takes to start
NO_SERVER_RETRY_AFTER_S = 0.5  # a third of the time to replace a lost server
LEAVING_RETRY_AFTER_S = 0.0
LIMITED_REASON = "the servers limit their requests"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def make_crash_reason(trait: str) -> str:
    """Return why a request with a trait is not sent to servers.

    Parameters
    ----------
    trait : str
        See `CrashHistory`.
    """
    return f"servers crashed each time they began a request with {trait}"
