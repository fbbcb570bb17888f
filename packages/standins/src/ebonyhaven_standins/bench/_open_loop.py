"""Load generator that sends requests at planned times, whatever comes back.

Run as a process of its own, ``python -m ebonyhaven_standins.bench._open_loop PLAN
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
SILENCE_S = 10.0
TAIL_BYTES = 1024
LAG_PERIOD_S = 0.05
COMPLETED = "completed"
ID_MARK = b"id: "
TEXT_MARK = b'"text":"'
EMPTY_TEXT_MARK = b'"text":""'
END_MARK = b"[DONE]"
ERROR_MARK = b"event: error"
_LOST = (error.ConnectError, error.ConnectionLost, error.TimeoutError)


class PlannedRequest(NamedTuple):
    """One request of a plan.

    Parameters
    ----------
    at_s : float
        Time of the first attempt after the start, seconds.
    workspace, class_name, prompt : str
    max_tokens : int
    instance : int
        Index of the address that is used first.
    patience_s : float
        Time after `at_s` until which a refused request is sent again, seconds.
    """

    at_s: float
    workspace: str
    class_name: str
    prompt: str
    max_tokens: int
    instance: int
    patience_s: float


class LoadRecord(TypedDict):
    """What became of one request; times in seconds after the start."""

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
    """Counts the token events of one answer."""

    def __init__(self, reactor: Any, record: LoadRecord, started_at: float) -> None:
        self._reactor = reactor
        self._record = record
        self._started_at = started_at
        self._last_at: float | None = None
        self._tail = b""
        self._silence = reactor.callLater(SILENCE_S, self._give_up)
        self.done: defer.Deferred[tuple[str, float | None]] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._silence.reset(SILENCE_S)
        # The event of a position and the last event carry no token.
        count = data.count(TEXT_MARK) - data.count(EMPTY_TEXT_MARK)
        if count:
            self._note(count)
            if not self._record["server"]:
                self._record["server"] = _find_server(data)
        self._tail = (self._tail + data)[-TAIL_BYTES:]

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self._silence.active():
            self._silence.cancel()
        if self.done.called:
            return
        if ERROR_MARK in self._tail:
            event = self._tail.partition(ERROR_MARK)[2].partition(b"data:")[2]
            self.done.callback(read_refusal(event.partition(b"\n")[0]))
        else:
            self.done.callback((COMPLETED if END_MARK in self._tail else "cut", None))

    def _note(self, count: int) -> None:
        now = self._reactor.seconds() - self._started_at
        record = self._record
        if record["first_token_s"] is None:
            record["first_token_s"] = now
        elif self._last_at is not None:
            record["longest_gap_s"] = max(record["longest_gap_s"], now - self._last_at)
        self._last_at = now
        record["tokens"] += count
        record["token_times"].append((round(now, 3), count))

    def _give_up(self) -> None:
        self.transport.abortConnection()


class OpenLoop:
    """Sends a plan.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    addresses : sequence of str
        ``IP:PORT`` of the instances.
    seed : int
    """

    def __init__(self, reactor: Any, addresses: Sequence[str], seed: int) -> None:
        self._reactor = reactor
        self._addresses = addresses
        self._random = random.Random(seed)
        self._http = HTTPClient(Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S))
        self._started_at = reactor.seconds() + START_DELAY_S

    async def run(self, plan: Sequence[PlannedRequest]) -> list[LoadRecord]:
        """Send all requests and wait for their ends."""
        sent = [
            task.deferLater(self._reactor, START_DELAY_S + each.at_s, self._begin, each)
            for each in plan
        ]
        return await defer.gatherResults(sent, consumeErrors=True)

    def _begin(self, request: PlannedRequest) -> defer.Deferred[LoadRecord]:
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
            if self._now() + retry_after_s > request.at_s + request.patience_s:
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
                return read_refusal(await treq.content(response))
        except (*_LOST, ResponseNeverReceived) as problem:
            return f"lost: {type(problem).__name__}", None
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
            # Only a request that did not run is sent again.
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


def _find_server(data: bytes) -> str:
    event_id = data.partition(ID_MARK)[2].partition(b"\n")[0]
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


def read_refusal(content: bytes) -> tuple[str, float | None]:
    """Return the outcome of a request that failed.

    Parameters
    ----------
    content : bytes
        Body of an answer, or data of an error event.

    Returns
    -------
    tuple of str and float or None
        ``refused`` for a request that did not run, with the seconds after which
        it may be sent again.
    """
    try:
        outcome = json.loads(content)["error"]
    except (ValueError, KeyError, TypeError):
        return "malformed", None
    if outcome["outcome"] != "not_run":
        return outcome["outcome"], None
    return "refused", outcome.get("retry_after_s")


def main(reactor: Any, plan_path: str, out_path: str) -> defer.Deferred[None]:
    """Send the plan of a file and write the records."""
    plan = json.loads(pathlib.Path(plan_path).read_text())
    requests = [PlannedRequest(*each) for each in plan["requests"]]
    loop = OpenLoop(reactor, plan["addresses"], plan["seed"])
    print("ready", flush=True)

    lags: list[float] = []

    def note_lag(due_at: float) -> None:
        now = reactor.seconds()
        lags.append(now - due_at)
        reactor.callLater(LAG_PERIOD_S, note_lag, now + LAG_PERIOD_S)

    note_lag(reactor.seconds())

    async def send() -> None:
        records = await loop.run(requests)
        ordered = sorted(lags)
        lag_s = ordered[int(0.95 * len(ordered))]
        content = {"records": records, "lag_p95_s": round(lag_s, 4)}
        pathlib.Path(out_path).write_text(json.dumps(content))

    return defer.Deferred.fromCoroutine(send())


if __name__ == "__main__":
    task.react(main, sys.argv[1:])
