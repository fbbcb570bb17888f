"""Relays a run to a caller's connection."""

from __future__ import annotations

import json
import time

from ebonyhaven_decisions import Outcome, downgrade_unproved_outcome
from twisted.internet.interfaces import IPushProducer, IReactorTime
from twisted.python.failure import Failure
from twisted.web.http import Request
from zope.interface import implementer

from ebonyhaven_node._events import (
    KEEP_ALIVE_COMMENT,
    EventEncoder,
    build_error_body,
    encode_error,
)
from ebonyhaven_node._metrics import RelayMetrics
from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._runs import Run, Sink

KEEP_ALIVE_RESUME_TARGET_SHARE = 0.25
MAX_TOKENS_PER_WRITE = 256


def write_outcome(http_request: Request, outcome: Outcome) -> None:
    """Send an outcome as the response, before any response headers are written.

    Parameters
    ----------
    http_request : Request
    outcome : Outcome
    """
    http_request.setResponseCode(outcome.status)
    http_request.setHeader("Content-Type", "application/json")
    if outcome.retry_after_s is not None:
        http_request.setHeader("Retry-After", f"{outcome.retry_after_s:.3f}")
    http_request.write(json.dumps(build_error_body(outcome)).encode())
    http_request.finish()


@implementer(IPushProducer)
class CallerStream(Sink):
    """Writes the events of a run to a caller.

    The response headers are written with the first event or keep-alive comment, so
    that a run which fails earlier is reported with an HTTP status.

    Parameters
    ----------
    http_request : Request
        The caller's request; its response headers must not have been written yet.
    run : Run
    request : GenerationRequest
        Request of this caller; another request may have started the run.
    resume_target_s : float
        Resume target of the class, in seconds. An idle stream gets several
        keep-alive comments within it, so that a caller can distinguish a slow
        engine from a dead connection.
    reactor : IReactorTime
    metrics : RelayMetrics
    """

    def __init__(
        self,
        *,
        http_request: Request,
        run: Run,
        request: GenerationRequest,
        resume_target_s: float,
        reactor: IReactorTime,
        metrics: RelayMetrics,
    ):
        self._http_request = http_request
        self._run = run
        self._offset = request.first_offset
        self._first_submission = request.first_submission
        self._encoder = EventEncoder(run.request.run_id)
        self._keep_alive_interval_s = KEEP_ALIVE_RESUME_TARGET_SHARE * resume_target_s
        self._reactor = reactor
        self._metrics = metrics
        self._announced_server = ""
        self._is_paused = False
        self._is_closed = False
        self._is_started = False
        self._keep_alive_timer = None
        self._last_write_at = time.monotonic()

    def open(self) -> None:
        """Attach to the run and start writing its events."""
        self._http_request.notifyFinish().addErrback(self._handle_disconnect)
        self._http_request.registerProducer(self, True)
        self._run.attach(self)
        self._keep_alive_timer = self._reactor.callLater(
            self._keep_alive_interval_s, self._send_keep_alive
        )
        self.handle_output()

    def handle_output(self) -> None:
        """See `Sink.handle_output`; writes nothing while the connection is paused."""
        if self._is_closed or self._is_paused:
            return
        if self._run.accepted_by != self._announced_server and not self._run.texts:
            self._write_acceptance()
        while not self._is_paused and self._offset < len(self._run.texts):
            self._write_tokens()
        if self._run.ended and not self._is_paused and not self._is_closed:
            self._write_end()

    def pauseProducing(self) -> None:  # noqa: N802 name given by Twisted
        """Stop writing until the send buffer has drained."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802 name given by Twisted
        """Resume writing."""
        self._is_paused = False
        self.handle_output()

    def stopProducing(self) -> None:  # noqa: N802 name given by Twisted
        """Stop relaying, since the connection is closed."""
        self._close()

    def _write_tokens(self) -> None:
        run = self._run
        texts = run.texts[self._offset : self._offset + MAX_TOKENS_PER_WRITE]
        events = self._encoder.encode_tokens(
            texts, offset=self._offset, generation=run.generation, server=run.server
        )
        self._offset += len(texts)
        self._metrics.tokens_relayed.inc(len(texts))
        self._write(events)

    def _write_acceptance(self) -> None:
        self._announced_server = self._run.accepted_by
        self._write(
            self._encoder.encode_acceptance(
                generation=self._run.generation, server=self._announced_server
            )
        )

    def _write(self, events: bytes) -> None:
        if not self._is_started:
            self._is_started = True
            self._http_request.setHeader("Content-Type", "text/event-stream")
            self._http_request.setHeader("Cache-Control", "no-store")
        self._last_write_at = time.monotonic()
        self._http_request.write(events)

    def _write_end(self) -> None:
        self._close()
        self._http_request.unregisterProducer()
        if self._run.outcome is not None:
            self._write_failure(self._run.outcome)
            return
        run = self._run
        self._metrics.requests.labels("completed", "relay").inc()
        self._write(
            self._encoder.encode_end(
                offset=len(run.texts),
                generation=run.generation,
                server=run.server,
                finish_reason=run.finish_reason,
            )
        )
        self._http_request.finish()

    def _write_failure(self, outcome: Outcome) -> None:
        outcome = downgrade_unproved_outcome(
            outcome, first_submission=self._first_submission
        )
        self._metrics.requests.labels(str(outcome.tag), outcome.step).inc()
        if not self._is_started:
            write_outcome(self._http_request, outcome)
            return
        self._write(encode_error(outcome))
        self._http_request.finish()

    def _send_keep_alive(self) -> None:
        idle_s = time.monotonic() - self._last_write_at
        if idle_s >= self._keep_alive_interval_s and not self._is_paused:
            self._write(KEEP_ALIVE_COMMENT)
            idle_s = 0.0
        delay_s = max(0.01, self._keep_alive_interval_s - idle_s)
        self._keep_alive_timer = self._reactor.callLater(delay_s, self._send_keep_alive)

    def _handle_disconnect(self, reason: Failure) -> None:
        self._close()

    def _close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self._keep_alive_timer is not None and self._keep_alive_timer.active():
            self._keep_alive_timer.cancel()
        self._run.detach(self)
