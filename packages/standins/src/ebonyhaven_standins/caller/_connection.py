"""Result of a connection and the reader of its event stream."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer, protocol
from twisted.python import failure
from twisted.web import client as web_client
from twisted.web import http

from ebonyhaven_standins.caller._events import (
    DONE_DATA,
    EventParser,
    ServerSentEvent,
    TokenEvent,
    parse_token_event,
)

SILENT = "silent"
CUT = "cut"
REFUSED = "refused"


@attrs.define(kw_only=True)
class ConnectionResult:
    """Result of one connection.

    Parameters
    ----------
    outcome : str
        ``completed``; the outcome tag of an error response; ``untagged`` for an
        error response without a valid tag; ``refused`` if there was no response;
        ``silent`` after the idle timeout; ``cut`` if the body ended early.
    step, peer, reason : str
        Failed step, its peer and the reason; empty if the response contains none.
    retry_after_s : float or None
        Time before the next attempt in seconds; None if the response has none.
    """

    outcome: str
    step: str = ""
    peer: str = ""
    reason: str = ""
    retry_after_s: float | None = None


def parse_outcome(content: bytes | str) -> ConnectionResult:
    """Parse the content of an error response or error event.

    The outcome is ``untagged`` if the content is malformed.
    """
    try:
        fields = json.loads(content)["error"]
        return ConnectionResult(
            outcome=fields["outcome"],
            step=fields["step"],
            peer=fields["peer"],
            reason=fields["reason"],
            retry_after_s=fields.get("retry_after_s"),
        )
    except (ValueError, KeyError, TypeError):
        return ConnectionResult(outcome="untagged", reason=repr(content[:200]))


class StreamReader(protocol.Protocol):
    """Parses the body of a streamed response, with an idle timeout.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
        Clock.
    idle_timeout_s : float
        Time without received data after which the connection is closed.
    on_token : callable
        Called with each `TokenEvent` in order of arrival.

    Attributes
    ----------
    result : Deferred of ConnectionResult
        Fires when the stream has ended.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        idle_timeout_s: float,
        on_token: Callable[[TokenEvent], None],
    ) -> None:
        self._reactor = reactor
        self._idle_timeout_s = idle_timeout_s
        self._on_token = on_token
        self._parser = EventParser()
        self._timer: Any = None
        self._has_finish_reason = False
        self.result: defer.Deferred[ConnectionResult] = defer.Deferred()

    @property
    def last_event_id(self) -> str | None:
        """Id of the last event received, including events without data."""
        return self._parser.last_event_id

    def connectionMade(self) -> None:  # noqa: N802 name given by Twisted
        """Start the idle timer."""
        self._timer = self._reactor.callLater(
            self._idle_timeout_s, self._handle_idle_timeout
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Restart the idle timer and process the received events."""
        if self.result.called:
            return
        self._timer.reset(self._idle_timeout_s)
        for event in self._parser.feed(data):
            self._handle_event(event)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Set the result to ``cut`` unless the stream has already ended."""
        kind = getattr(reason, "type", None)
        clean = kind in {web_client.ResponseDone, http.PotentialDataLoss}
        self._finish(ConnectionResult(outcome=CUT, reason=f"clean={clean}"))

    def close(self) -> None:
        """Stop the idle timer and close the connection."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self.transport is not None:
            self.transport.loseConnection()

    def _handle_event(self, event: ServerSentEvent) -> None:
        if event.kind == "error":
            self._finish(parse_outcome(event.data))
        elif event.data == DONE_DATA:
            # `_finish` uses only the first result.
            if not self._has_finish_reason:
                self._finish(ConnectionResult(outcome=CUT, reason="DONE before finish"))
            self._finish(ConnectionResult(outcome="completed"))
        else:
            token = parse_token_event(event)
            self._has_finish_reason = (
                self._has_finish_reason or token.finish_reason is not None
            )
            self._on_token(token)

    def _handle_idle_timeout(self) -> None:
        self._finish(ConnectionResult(outcome=SILENT))

    def _finish(self, result: ConnectionResult) -> None:
        if self.result.called:
            return
        self.result.callback(result)
        self.close()
