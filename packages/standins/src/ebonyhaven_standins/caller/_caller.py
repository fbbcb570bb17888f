"""Caller that retries and resumes requests as a client library does."""

from __future__ import annotations

import json
import random
import time
import uuid
from collections.abc import Sequence
from typing import Any

import attrs
import treq
from treq.client import HTTPClient
from twisted.internet import defer, task
from twisted.web.client import Agent

from ebonyhaven_standins.caller._connection import (
    CUT,
    REFUSED,
    SILENT,
    ConnectionResult,
    StreamReader,
    parse_outcome,
)
from ebonyhaven_standins.caller._entries import TRANSPORT_ERRORS, EntryList
from ebonyhaven_standins.caller._events import TokenEvent
from ebonyhaven_standins.caller._history import (
    COMPLETED,
    GAVE_UP,
    ConnectionRecord,
    HistoryWriter,
    ReceivedToken,
    RequestRecord,
    derive_prompt_origin,
)


@attrs.define(kw_only=True)
class CompletionRequest:
    """Completion request of a caller.

    Parameters
    ----------
    workspace, request_class : str
        Names in the declaration.
    prompt : str
        Text to complete.
    max_tokens : int
        Length of the answer.
    repeatable : bool
        Whether the request may be executed more than once.
    model : str
        Name of the model.
    key : str
        Idempotency key.
    """

    workspace: str
    request_class: str
    prompt: str
    max_tokens: int
    repeatable: bool = True
    model: str = "dossier"
    key: str = attrs.Factory(lambda: uuid.uuid4().hex)


@attrs.define(kw_only=True)
class CallerLimits:
    """Timeouts and backoff of a caller, in seconds.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout for establishing a connection.
    response_timeout_s : float
        Timeout for the response headers.
    idle_timeout_s : float
        Timeout between two chunks of a stream.
    total_timeout_s : float
        Time from the first attempt after which no further attempt starts.
    initial_backoff_s, max_backoff_s : float
        First and longest retry delay, before jitter. The delay doubles with each
        attempt that yields no token. A ``retry_after_s`` in the response takes
        precedence.
    """

    connect_timeout_s: float = 0.5
    response_timeout_s: float = 1.5
    idle_timeout_s: float = 1.5
    total_timeout_s: float = 60.0
    initial_backoff_s: float = 0.02
    max_backoff_s: float = 0.5


class Caller:
    """Sends requests, resumes them at other instances and records the history.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    bootstrap_addresses : sequence of str
        ``IP:PORT`` of instances from which to fetch the entry list.
    history : HistoryWriter
        Stores one record per request.
    rng : random.Random
        Source of the jitter of the backoff.
    limits : CallerLimits
        Timeouts and backoff; by default those of `CallerLimits`.
    sends_received : bool
        Whether a resuming request carries the token texts received so far.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        bootstrap_addresses: Sequence[str],
        history: HistoryWriter,
        rng: random.Random,
        limits: CallerLimits | None = None,
        sends_received: bool = True,
    ) -> None:
        self._reactor = reactor
        self._limits = limits or CallerLimits()
        agent = Agent(reactor, connectTimeout=self._limits.connect_timeout_s)
        self._http = HTTPClient(agent)
        self.entries = EntryList(
            reactor=reactor, http=self._http, bootstrap_addresses=bootstrap_addresses
        )
        self._history = history
        self._rng = rng
        self._sends_received = sends_received
        self.open_records: list[RequestRecord] = []

    def complete(self, request: CompletionRequest) -> defer.Deferred[RequestRecord]:
        """Send a request and retry it until it has a final outcome.

        Parameters
        ----------
        request : CompletionRequest

        Returns
        -------
        Deferred of RequestRecord
            Fires when the request has completed, failed with an outcome that must not
            be retried, or exceeded ``total_timeout_s``.
        """
        return defer.Deferred.fromCoroutine(self._complete(request))

    async def _complete(self, request: CompletionRequest) -> RequestRecord:
        record = _make_record(request)
        self.open_records.append(record)
        deadline = self._reactor.seconds() + self._limits.total_timeout_s
        backoff_s = self._limits.initial_backoff_s
        while True:
            tokens_before = len(record["tokens"])
            result = await self._attempt(request, record)
            if len(record["tokens"]) > tokens_before:
                backoff_s = self._limits.initial_backoff_s
            if _is_final(result):
                return self._finish_record(record, result.outcome)
            wait_s = backoff_s * (0.5 + self._rng.random())
            if result.retry_after_s is not None:
                wait_s = result.retry_after_s
            if self._reactor.seconds() + wait_s > deadline:
                outcome = result.outcome if result.step else GAVE_UP
                return self._finish_record(record, outcome)
            await task.deferLater(self._reactor, wait_s)
            backoff_s = min(2 * backoff_s, self._limits.max_backoff_s)

    async def _attempt(
        self, request: CompletionRequest, record: RequestRecord
    ) -> ConnectionResult:
        address = await self.entries.choose()
        connection = _make_connection_record(address, record)
        record["connections"].append(connection)
        try:
            response = await self._send(address, request, record)
        except TRANSPORT_ERRORS as error:
            result = ConnectionResult(outcome=REFUSED, reason=type(error).__name__)
        else:
            connection["answered_at"] = time.time()
            connection["status"] = response.code
            result = await self._read_response(response, record)
        if result.outcome in {REFUSED, SILENT, CUT}:
            self.entries.mark_failed(address)
        connection["ended_at"] = time.time()
        connection["outcome"] = result.outcome
        connection["step"], connection["peer"] = result.step, result.peer
        connection["reason"] = result.reason
        return result

    def _send(
        self, address: str, request: CompletionRequest, record: RequestRecord
    ) -> defer.Deferred[Any]:
        body: dict[str, object] = {
            "model": request.model,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "stream": True,
        }
        headers = {
            "Content-Type": "application/json",
            "Ebonyhaven-Workspace": request.workspace,
            "Ebonyhaven-Class": request.request_class,
            "Ebonyhaven-Repeatable": "yes" if request.repeatable else "no",
            "Idempotency-Key": request.key,
        }
        earlier = record["connections"][:-1]
        first = all(connection["outcome"] == "not_run" for connection in earlier)
        headers["Ebonyhaven-First-Submission"] = "yes" if first else "no"
        last_event_id = record["connections"][-1]["last_event_id"]
        if last_event_id is not None:
            headers["Last-Event-ID"] = last_event_id
            if self._sends_received:
                body["received"] = [token.text for token in record["tokens"]]
        sent = self._http.post(
            f"http://{address}/v1/completions",
            data=json.dumps(body).encode(),
            headers=headers,
            unbuffered=True,
        )
        return sent.addTimeout(self._limits.response_timeout_s, self._reactor)

    async def _read_response(
        self, response: Any, record: RequestRecord
    ) -> ConnectionResult:
        if response.code != 200:
            try:
                content = await treq.content(response)
            except TRANSPORT_ERRORS:
                return ConnectionResult(outcome=CUT)
            return parse_outcome(content)

        def record_token(token: TokenEvent) -> None:
            _add_token(record, token)

        reader = StreamReader(
            reactor=self._reactor,
            idle_timeout_s=self._limits.idle_timeout_s,
            on_token=record_token,
        )
        response.deliverBody(reader)
        result = await reader.result
        record["position"] = reader.last_event_id or record["position"]
        return result

    def _finish_record(self, record: RequestRecord, outcome: str) -> RequestRecord:
        record["finished_at"] = time.time()
        record["outcome"] = outcome
        self.open_records.remove(record)
        self._history.write(record)
        return record


def _is_final(result: ConnectionResult) -> bool:
    if result.outcome == COMPLETED:
        return True
    return bool(result.step) and result.retry_after_s is None


def _make_record(request: CompletionRequest) -> RequestRecord:
    return {
        "workspace": request.workspace,
        "request_class": request.request_class,
        "key": request.key,
        "prompt_origin": derive_prompt_origin(request.prompt),
        "prompt_characters": len(request.prompt),
        "max_tokens": request.max_tokens,
        "repeatable": request.repeatable,
        "started_at": time.time(),
        "finished_at": None,
        "finish_offset": None,
        "outcome": "",
        "connections": [],
        "position": None,
        "tokens": [],
    }


def _make_connection_record(address: str, record: RequestRecord) -> ConnectionRecord:
    last_event_id = record["position"]
    if record["tokens"]:
        token = record["tokens"][-1]
        last_event_id = f"{token.offset}-{token.generation}-{token.server}"
    return {
        "address": address,
        "sent_at": time.time(),
        "last_event_id": last_event_id,
        "answered_at": None,
        "status": None,
        "ended_at": None,
        "outcome": "",
        "step": "",
        "peer": "",
        "reason": "",
    }


def _add_token(record: RequestRecord, token: TokenEvent) -> None:
    if token.finish_reason is not None:
        record["finish_offset"] = token.event_id.offset
        return
    received = ReceivedToken(
        time.time(), len(record["connections"]) - 1, *token.event_id, token.text
    )
    record["tokens"].append(received)
