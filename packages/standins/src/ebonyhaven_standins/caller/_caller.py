"""A caller that behaves as a good client library does."""

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
    ConnectionEnd,
    StreamReader,
    read_outcome,
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
    """What is asked for.

    Parameters
    ----------
    workspace, request_class : str
        Names of the declaration.
    prompt : str
        Text to continue.
    max_tokens : int
        Length of the answer.
    repeatable : bool
        Whether the request may run more than once.
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
    """How long a caller waits, in seconds.

    Parameters
    ----------
    connect_s : float
        For a connection.
    answer_s : float
        For the head of an answer.
    silence_s : float
        Between two pieces of a stream.
    patience_s : float
        From the first attempt to giving up.
    first_pause_s, longest_pause_s : float
        Between two attempts when the answer names no time.
    """

    connect_s: float = 0.5
    answer_s: float = 1.5
    silence_s: float = 1.5
    patience_s: float = 60.0
    first_pause_s: float = 0.02
    longest_pause_s: float = 0.5


class Caller:
    """Sends requests, reconnects elsewhere and records what it saw.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    known_addresses : sequence of str
        ``IP:PORT`` of instances to ask for the entry list.
    history : HistoryWriter
        Receives one record a request.
    generator : random.Random
        Source of the jitter of pauses.
    limits : CallerLimits
        How long to wait.
    sends_received : bool
        Whether reconnects carry the texts received so far.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        known_addresses: Sequence[str],
        history: HistoryWriter,
        generator: random.Random,
        limits: CallerLimits | None = None,
        sends_received: bool = True,
    ) -> None:
        self._reactor = reactor
        self._limits = limits or CallerLimits()
        agent = Agent(reactor, connectTimeout=self._limits.connect_s)
        self._http = HTTPClient(agent)
        self.entries = EntryList(
            reactor=reactor, http=self._http, known_addresses=known_addresses
        )
        self._history = history
        self._generator = generator
        self._sends_received = sends_received
        self.open_records: list[RequestRecord] = []

    def complete(self, request: CompletionRequest) -> defer.Deferred[RequestRecord]:
        """Send a request and follow it to its outcome.

        Parameters
        ----------
        request : CompletionRequest
            What is asked for.

        Returns
        -------
        Deferred of RequestRecord
            Fires when the request has completed, was refused for good, or the
            caller's patience ended.
        """
        return defer.Deferred.fromCoroutine(self._complete(request))

    async def _complete(self, request: CompletionRequest) -> RequestRecord:
        record = _begin_record(request)
        self.open_records.append(record)
        deadline = self._reactor.seconds() + self._limits.patience_s
        pause_s = self._limits.first_pause_s
        while True:
            tokens_before = len(record["tokens"])
            end = await self._attempt(request, record)
            if len(record["tokens"]) > tokens_before:
                pause_s = self._limits.first_pause_s
            if _is_final(end):
                return self._end_record(record, end.outcome)
            wait_s = pause_s * (0.5 + self._generator.random())
            if end.retry_after_s is not None:
                wait_s = end.retry_after_s
            if self._reactor.seconds() + wait_s > deadline:
                outcome = end.outcome if end.step else GAVE_UP
                return self._end_record(record, outcome)
            await task.deferLater(self._reactor, wait_s)
            pause_s = min(2 * pause_s, self._limits.longest_pause_s)

    async def _attempt(
        self, request: CompletionRequest, record: RequestRecord
    ) -> ConnectionEnd:
        address = await self.entries.choose()
        connection = _begin_connection(address, record)
        record["connections"].append(connection)
        try:
            response = await self._send(address, request, record)
        except TRANSPORT_ERRORS as error:
            end = ConnectionEnd(outcome=REFUSED, reason=type(error).__name__)
        else:
            connection["answered_at"] = time.time()
            connection["status"] = response.code
            end = await self._read(response, record)
        if end.outcome in {REFUSED, SILENT, CUT}:
            self.entries.mark_failed(address)
        connection["ended_at"] = time.time()
        connection["outcome"] = end.outcome
        connection["step"], connection["peer"] = end.step, end.peer
        connection["reason"] = end.reason
        return end

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
        return sent.addTimeout(self._limits.answer_s, self._reactor)

    async def _read(self, response: Any, record: RequestRecord) -> ConnectionEnd:
        if response.code != 200:
            try:
                content = await treq.content(response)
            except TRANSPORT_ERRORS:
                return ConnectionEnd(outcome=CUT)
            return read_outcome(content)

        def take(token: TokenEvent) -> None:
            _add_token(record, token)

        reader = StreamReader(
            reactor=self._reactor, silence_s=self._limits.silence_s, on_token=take
        )
        response.deliverBody(reader)
        end = await reader.end
        record["position"] = reader.last_event_id or record["position"]
        return end

    def _end_record(self, record: RequestRecord, outcome: str) -> RequestRecord:
        record["finished_at"] = time.time()
        record["outcome"] = outcome
        self.open_records.remove(record)
        self._history.write(record)
        return record


def _is_final(end: ConnectionEnd) -> bool:
    if end.outcome == COMPLETED:
        return True
    return bool(end.step) and end.retry_after_s is None


def _begin_record(request: CompletionRequest) -> RequestRecord:
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


def _begin_connection(address: str, record: RequestRecord) -> ConnectionRecord:
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
