"""When callers are told to come back, and which statuses promise that nothing ran."""

from __future__ import annotations

NOT_READY_RETRY_AFTER_S = 0.5  # about the time that a start or a restart takes
NO_SERVER_RETRY_AFTER_S = 0.5  # a third of the time in which a lost server is replaced
LEAVING_RETRY_AFTER_S = 0.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # callers read "not run"
