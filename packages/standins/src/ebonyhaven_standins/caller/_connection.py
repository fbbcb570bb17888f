"""One connection that carries a request and its stream of events."""

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
    DONE,
    EventParser,
    ServerSentEvent,
    TokenEvent,
    read_token,
)

SILENT = "silent"
CUT = "cut"
REFUSED = "refused"


@attrs.define(kw_only=True)
class ConnectionEnd:
    """How a connection ended.

    Parameters
    ----------
    outcome : str
        ``completed``, an outcome tag of the answer, ``refused``, ``silent`` or
        ``cut``.
    step, peer, reason : str
        Where and why, as far as the answer said.
    retry_after_s : float or None
        Seconds to wait before the next attempt, when the answer said so.
    """

    outcome: str
    step: str = ""
    peer: str = ""
    reason: str = ""
    retry_after_s: float | None = None


def read_outcome(content: bytes | str) -> ConnectionEnd:
    """Return the tagged outcome in an error body or error event."""
    try:
        fields = json.loads(content)["error"]
        return ConnectionEnd(
            outcome=fields["outcome"],
            step=fields["step"],
            peer=fields["peer"],
            reason=fields["reason"],
            retry_after_s=fields.get("retry_after_s"),
        )
    except (ValueError, KeyError, TypeError):
        return ConnectionEnd(outcome="untagged", reason=repr(content[:200]))


class StreamReader(protocol.Protocol):
    """Reads the body of a streamed answer and watches for silence.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
        Clock.
    silence_s : float
        Seconds without a byte after which the connection is given up.
    on_token : callable
        Called with each `TokenEvent` in order of arrival.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        silence_s: float,
        on_token: Callable[[TokenEvent], None],
    ) -> None:
        self._reactor = reactor
        self._silence_s = silence_s
        self._on_token = on_token
        self._parser = EventParser()
        self._timer: Any = None
        self._finished = False
        self.end: defer.Deferred[ConnectionEnd] = defer.Deferred()

    @property
    def last_event_id(self) -> str | None:
        """Id of the last event received, also of one without data."""
        return self._parser.last_event_id

    def connectionMade(self) -> None:  # noqa: N802 name set by Twisted
        """Start to watch for silence."""
        self._timer = self._reactor.callLater(self._silence_s, self._give_up)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hand on the tokens in the next bytes."""
        if self.end.called:
            return
        self._timer.reset(self._silence_s)
        for event in self._parser.feed(data):
            self._take(event)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Report the end of the body."""
        kind = getattr(reason, "type", None)
        clean = kind in {web_client.ResponseDone, http.PotentialDataLoss}
        self._finish(ConnectionEnd(outcome=CUT, reason=f"clean={clean}"))

    def close(self) -> None:
        """Close the connection."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self.transport is not None:
            self.transport.loseConnection()

    def _take(self, event: ServerSentEvent) -> None:
        if event.kind == "error":
            self._finish(read_outcome(event.data))
        elif event.data == DONE:
            if not self._finished:
                self._finish(ConnectionEnd(outcome=CUT, reason="DONE before finish"))
            self._finish(ConnectionEnd(outcome="completed"))
        else:
            token = read_token(event)
            self._finished = self._finished or token.finish_reason is not None
            self._on_token(token)

    def _give_up(self) -> None:
        self._finish(ConnectionEnd(outcome=SILENT))

    def _finish(self, end: ConnectionEnd) -> None:
        if self.end.called:
            return
        self.end.callback(end)
        self.close()
