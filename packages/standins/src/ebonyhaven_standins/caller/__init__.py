"""Stand-in for a caller that retries and resumes, and records a history."""

from __future__ import annotations

from ebonyhaven_standins.caller._caller import Caller, CallerLimits, CompletionRequest
from ebonyhaven_standins.caller._entries import EntryList
from ebonyhaven_standins.caller._events import (
    EventId,
    EventParser,
    ServerSentEvent,
    TokenEvent,
    parse_event_id,
    parse_token_event,
)
from ebonyhaven_standins.caller._history import (
    COMPLETED,
    GAVE_UP,
    ConnectionRecord,
    HistoryWriter,
    ReceivedToken,
    RequestRecord,
    derive_prompt_origin,
    read_history,
)

__all__ = [
    "COMPLETED",
    "GAVE_UP",
    "Caller",
    "CallerLimits",
    "CompletionRequest",
    "ConnectionRecord",
    "EntryList",
    "EventId",
    "EventParser",
    "HistoryWriter",
    "ReceivedToken",
    "RequestRecord",
    "ServerSentEvent",
    "TokenEvent",
    "derive_prompt_origin",
    "parse_event_id",
    "parse_token_event",
    "read_history",
]
