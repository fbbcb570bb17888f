"""Retry-After values, and the statuses that callers read as not run."""

from __future__ import annotations

NOT_READY_RETRY_AFTER_S = 0.5  # about the time that an instance takes to start
NO_SERVER_RETRY_AFTER_S = 0.5  # a third of the time to replace a lost server
LEAVING_RETRY_AFTER_S = 0.0
CRASHING_CONTENT_REASON = "servers crashed each time they began this content"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
