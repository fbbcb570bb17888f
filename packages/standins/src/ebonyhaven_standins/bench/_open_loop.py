"""Open-loop load generator: sends requests at planned times, regardless of responses.

Run as a separate process, ``python -m ebonyhaven_standins.bench._open_loop PLAN
OUT``, so that its work does not delay what it measures.
"""

from __future__ import annotations

import json
import pathlib
import random
import sys
from collections.abc import Sequence
from typing import Any, NamedTuple, TypedDict

import treq
from treq.client import HTTPClient
from twisted.internet import defer, error, task
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, ResponseNeverReceived
from twisted.web.http_headers import Headers

START_DELAY_S = 0.5
CONNECT_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 10.0
TAIL_BYTES = 1024  # end of a response, searched for its final event
LAG_SAMPLE_INTERVAL_S = 0.05
COMPLETED = "completed"
ID_MARKER = b"id: "
TEXT_MARKER = b'"text":"'
EMPTY_TEXT_MARKER = b'"text":""'
END_MARKER = b"[DONE]"
ERROR_MARKER = b"event: error"
_CONNECTION_ERRORS = (error.ConnectError, error.ConnectionLost, error.TimeoutError)


class PlannedRequest(NamedTuple):
    """One request of a plan.

    Parameters
    ----------
    at_s : float
        Time of the first attempt after the start, seconds.
    workspace, class_name, prompt : str
    max_tokens : int
    instance : int
        Index of the instance that receives the first attempt; each retry uses the
        next one.
    retry_window_s : float
        Time after `at_s` within which a refused request is retried, seconds.
    """

    at_s: float
    workspace: str
    class_name: str
    prompt: str
    max_tokens: int
    instance: int
    retry_window_s: float


class LoadRecord(TypedDict):
    """Result of one request; times in seconds after the start.

    ``token_times`` holds the time and the number of tokens of each chunk received.
    """

    at_s: float
    workspace: str
    class_name: str
    max_tokens: int
    outcome: str
    attempts: int
    server: str
    first_token_s: float | None
    ended_s: float | None
    tokens: int
    longest_gap_s: float
    token_times: list[tuple[float, int]]


class _TokenCounter(Protocol):
    """Records the number and times of the tokens of one response, and its outcome."""

    def __init__(self, reactor: Any, record: LoadRecord, started_at: float) -> None:
        self._reactor = reactor
        self._record = record
        self._started_at = started_at
        self._last_at: float | None = None
        self._tail = b""
        self._silence_timer = reactor.callLater(SILENCE_TIMEOUT_S, self._abort)
        self.done: defer.Deferred[tuple[str, float | None]] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._silence_timer.reset(SILENCE_TIMEOUT_S)
        # Events with empty text carry no token: the one that reports the position
        # before the first token, and the last one.
        count = data.count(TEXT_MARKER) - data.count(EMPTY_TEXT_MARKER)
        if count:
            self._record_tokens(count)
            if not self._record["server"]:
                self._record["server"] = _parse_server(data)
        self._tail = (self._tail + data)[-TAIL_BYTES:]

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self._silence_timer.active():
            self._silence_timer.cancel()
        if self.done.called:
            return
        if ERROR_MARKER in self._tail:
            event = self._tail.partition(ERROR_MARKER)[2].partition(b"data:")[2]
            self.done.callback(parse_error_outcome(event.partition(b"\n")[0]))
        else:
            self.done.callback((COMPLETED if END_MARKER in self._tail else "cut", None))

    def _record_tokens(self, count: int) -> None:
        now = self._reactor.seconds() - self._started_at
        record = self._record
        if record["first_token_s"] is None:
            record["first_token_s"] = now
        elif self._last_at is not None:
            record["longest_gap_s"] = max(record["longest_gap_s"], now - self._last_at)
        self._last_at = now
        record["tokens"] += count
        record["token_times"].append((round(now, 3), count))

    def _abort(self) -> None:
        self.transport.abortConnection()


class OpenLoopGenerator:
    """Sends the requests of a plan at their planned times.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    addresses : sequence of str
        ``IP:PORT`` of the instances.
    seed : int
        Seed of the idempotency keys.
    """

    def __init__(self, reactor: Any, addresses: Sequence[str], seed: int) -> None:
        self._reactor = reactor
        self._addresses = addresses
        self._random = random.Random(seed)
        self._http = HTTPClient(Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S))
        self._started_at = reactor.seconds() + START_DELAY_S

    async def run(self, plan: Sequence[PlannedRequest]) -> list[LoadRecord]:
        """Send all requests, wait until they end and return their records."""
        sent = [
            task.deferLater(
                self._reactor, START_DELAY_S + each.at_s, self._start_request, each
            )
            for each in plan
        ]
        return await defer.gatherResults(sent, consumeErrors=True)

    def _start_request(self, request: PlannedRequest) -> defer.Deferred[LoadRecord]:
        return defer.Deferred.fromCoroutine(self._send(request))

    async def _send(self, request: PlannedRequest) -> LoadRecord:
        record = _make_record(request)
        key = f"{self._random.getrandbits(96):x}"
        instance = request.instance
        while True:
            record["attempts"] += 1
            address = self._addresses[instance % len(self._addresses)]
            outcome, retry_after_s = await self._attempt(address, request, key, record)
            record["outcome"] = outcome
            if outcome != "refused" or retry_after_s is None or record["tokens"]:
                break
            if self._now() + retry_after_s > request.at_s + request.retry_window_s:
                break
            await task.deferLater(self._reactor, retry_after_s)
            instance += 1
        record["ended_s"] = self._now()
        return record

    async def _attempt(
        self, address: str, request: PlannedRequest, key: str, record: LoadRecord
    ) -> tuple[str, float | None]:
        try:
            response = await self._post(address, request, key)
            if response.code != 200:
                return parse_error_outcome(await treq.content(response))
        except (*_CONNECTION_ERRORS, ResponseNeverReceived) as failure:
            return f"lost: {type(failure).__name__}", None
        counter = _TokenCounter(self._reactor, record, self._started_at)
        response.deliverBody(counter)
        return await counter.done

    def _post(
        self, address: str, request: PlannedRequest, key: str
    ) -> defer.Deferred[Any]:
        body = {
            "model": "dossier",
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "stream": True,
        }
        headers = {
            "Content-Type": "application/json",
            "Ebonyhaven-Workspace": request.workspace,
            "Ebonyhaven-Class": request.class_name,
            "Idempotency-Key": key,
            # Also true for retries: only requests that did not run are retried.
            "Ebonyhaven-First-Submission": "yes",
        }
        return self._http.post(
            f"http://{address}/v1/completions",
            data=json.dumps(body).encode(),
            headers=Headers({name: [value] for name, value in headers.items()}),
            unbuffered=True,
        )

    def _now(self) -> float:
        return self._reactor.seconds() - self._started_at


def _parse_server(data: bytes) -> str:
    event_id = data.partition(ID_MARKER)[2].partition(b"\n")[0]
    return event_id.decode().partition("-")[2].partition("-")[2]


def _make_record(request: PlannedRequest) -> LoadRecord:
    return {
        "at_s": request.at_s,
        "workspace": request.workspace,
        "class_name": request.class_name,
        "max_tokens": request.max_tokens,
        "outcome": "",
        "attempts": 0,
        "server": "",
        "first_token_s": None,
        "ended_s": None,
        "tokens": 0,
        "longest_gap_s": 0.0,
        "token_times": [],
    }


def parse_error_outcome(content: bytes) -> tuple[str, float | None]:
    """Return the outcome of a failed request from its error.

    Parameters
    ----------
    content : bytes
        Body of a response, or data of an error event.

    Returns
    -------
    tuple of str and float or None
        Outcome, and the seconds after which the request may be retried.
        ``refused`` stands for ``not_run``, ``malformed`` for an unreadable error.
        Only ``refused`` has a delay.
    """
    try:
        outcome = json.loads(content)["error"]
    except (ValueError, KeyError, TypeError):
        return "malformed", None
    if outcome["outcome"] != "not_run":
        return outcome["outcome"], None
    return "refused", outcome.get("retry_after_s")


def main(reactor: Any, plan_path: str, out_path: str) -> defer.Deferred[None]:
    """Send the plan of a file and write the records and the timer lag to a file."""
    plan = json.loads(pathlib.Path(plan_path).read_text())
    requests = [PlannedRequest(*each) for each in plan["requests"]]
    generator = OpenLoopGenerator(reactor, plan["addresses"], plan["seed"])
    print("ready", flush=True)

    lags: list[float] = []

    def sample_lag(due_at: float) -> None:
        now = reactor.seconds()
        lags.append(now - due_at)
        reactor.callLater(
            LAG_SAMPLE_INTERVAL_S, sample_lag, now + LAG_SAMPLE_INTERVAL_S
        )

    sample_lag(reactor.seconds())

    async def send() -> None:
        records = await generator.run(requests)
        ordered = sorted(lags)
        lag_s = ordered[int(0.95 * len(ordered))]
        content = {"records": records, "lag_p95_s": round(lag_s, 4)}
        pathlib.Path(out_path).write_text(json.dumps(content))

    return defer.Deferred.fromCoroutine(send())


if __name__ == "__main__":
    task.react(main, sys.argv[1:])
