"""Relaying a run to one caller's connection."""

from __future__ import annotations

import json
import time

from ebonyhaven_decisions import Outcome, qualify_outcome
from twisted.internet.interfaces import IPushProducer, IReactorTime
from twisted.python.failure import Failure
from twisted.web.http import Request
from zope.interface import implementer

from ebonyhaven_node._events import (
    KEEP_ALIVE,
    EventWriter,
    describe_outcome,
    write_error,
)
from ebonyhaven_node._metrics import RelayMetrics
from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._runs import Run, Sink

KEEP_ALIVE_SHARE = 0.25
MAX_TOKENS_A_WRITE = 256


def write_outcome(http_request: Request, outcome: Outcome) -> None:
    """Answer a request with an outcome; its headers must not have been written.

    Parameters
    ----------
    http_request : Request
    outcome : Outcome
    """
    http_request.setResponseCode(outcome.status)
    http_request.setHeader("Content-Type", "application/json")
    if outcome.retry_after_s is not None:
        http_request.setHeader("Retry-After", f"{outcome.retry_after_s:.3f}")
    http_request.write(json.dumps(describe_outcome(outcome)).encode())
    http_request.finish()


@implementer(IPushProducer)
class CallerStream(Sink):
    """Writes the events of a run to a caller.

    The answer starts with the first token or keep-alive comment, so that a run
    which fails soon is still answered by an HTTP status.

    Parameters
    ----------
    http_request : Request
        The caller's request; its headers must not have been written.
    run : Run
    request : GenerationRequest
        What this caller asked; the run may have been started for another one.
    resume_target_s : float
        Resume target of the class, seconds; a silent stream gets a comment
        several times within it, so that a caller can tell a slow engine from a
        dead connection.
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
        self._writer = EventWriter(run.request.run_id)
        self._keep_alive_s = KEEP_ALIVE_SHARE * resume_target_s
        self._reactor = reactor
        self._metrics = metrics
        self._announced = ""
        self._paused = False
        self._closed = False
        self._started = False
        self._timer = None
        self._last_write = time.monotonic()

    def open(self) -> None:
        """Start to relay."""
        self._http_request.notifyFinish().addErrback(self._handle_disconnect)
        self._http_request.registerProducer(self, True)
        self._run.attach(self)
        self._timer = self._reactor.callLater(self._keep_alive_s, self._keep_alive)
        self.take_output()

    def take_output(self) -> None:
        """See `Sink.take_output`; writes nothing while the caller is slow."""
        if self._closed or self._paused:
            return
        if self._run.accepted_by != self._announced and not self._run.texts:
            self._write_acceptance()
        while not self._paused and self._offset < len(self._run.texts):
            self._write_tokens()
        if self._run.ended and not self._paused and not self._closed:
            self._write_end()

    def pauseProducing(self) -> None:  # noqa: N802 name given by Twisted
        """Stop writing until the caller has read some of it."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802 name given by Twisted
        """Write on."""
        self._paused = False
        self.take_output()

    def stopProducing(self) -> None:  # noqa: N802 name given by Twisted
        """Take note that the caller has gone."""
        self._close()

    def _write_tokens(self) -> None:
        run = self._run
        texts = run.texts[self._offset : self._offset + MAX_TOKENS_A_WRITE]
        events = self._writer.write_tokens(
            texts, offset=self._offset, generation=run.generation, server=run.server
        )
        self._offset += len(texts)
        self._metrics.tokens_relayed.inc(len(texts))
        self._write(events)

    def _write_acceptance(self) -> None:
        self._announced = self._run.accepted_by
        self._write(
            self._writer.write_acceptance(
                generation=self._run.generation, server=self._announced
            )
        )

    def _write(self, events: bytes) -> None:
        if not self._started:
            self._started = True
            self._http_request.setHeader("Content-Type", "text/event-stream")
            self._http_request.setHeader("Cache-Control", "no-store")
        self._last_write = time.monotonic()
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
            self._writer.write_end(
                offset=len(run.texts),
                generation=run.generation,
                server=run.server,
                finish_reason=run.finish_reason,
            )
        )
        self._http_request.finish()

    def _write_failure(self, outcome: Outcome) -> None:
        outcome = qualify_outcome(outcome, first_submission=self._first_submission)
        self._metrics.requests.labels(str(outcome.tag), outcome.step).inc()
        if not self._started:
            write_outcome(self._http_request, outcome)
            return
        self._write(write_error(outcome))
        self._http_request.finish()

    def _keep_alive(self) -> None:
        silent_s = time.monotonic() - self._last_write
        if silent_s >= self._keep_alive_s and not self._paused:
            self._write(KEEP_ALIVE)
            silent_s = 0.0
        delay_s = max(0.01, self._keep_alive_s - silent_s)
        self._timer = self._reactor.callLater(delay_s, self._keep_alive)

    def _handle_disconnect(self, reason: Failure) -> None:
        self._close()

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._run.detach(self)
