"""Shared fixture: a small deployment of real processes, and callers on it."""

from __future__ import annotations

import concurrent.futures
import contextlib
import http.client
import json
import random
import time
import uuid

import attrs
from ebonyhaven_standins.caller import (
    Caller,
    CallerLimits,
    CompletionRequest,
    HistoryWriter,
    derive_prompt_origin,
)
from ebonyhaven_standins.checker import (
    Evidence,
    Timeline,
    TimelineKind,
    check,
    read_execution_logs,
)
from ebonyhaven_standins.cluster import PLATFORM, Cluster
from twisted.internet import reactor

from tests.reactor_thread import run_in_reactor

DEADLINE_S = 60.0
POLL_S = 0.02
WORKSPACE = "studio-a"
OTHER_WORKSPACE = "studio-b"
MODEL = "dossier"
# Loose enough that a busy machine is not taken for a dead engine.
STEADY, PROMPT_CLASS = "steady", "prompt"


def make_declaration(*, checks_fence: bool = True) -> dict:
    return {
        "classes": {
            STEADY: {
                "first_token_ms": 20000,
                "gap_ms": 100,
                "resume_ms": 8000,
                "may_wait_ms": 20000,
                "default": True,
            },
            PROMPT_CLASS: {
                "first_token_ms": 1500,
                "gap_ms": 100,
                "resume_ms": 2000,
                "may_wait_ms": 1500,
            },
        },
        "models": {MODEL: {"adapters": [], "versions": ["1"]}},
        "pools": {
            "drafting": {
                "kind": "engine",
                "models": [MODEL],
                "checks_fence": checks_fence,
            },
            "windows": {
                "kind": "service",
                "service": "listings",
                "checks_fence": False,
            },
        },
        "workspaces": {WORKSPACE: {}, OTHER_WORKSPACE: {}},
    }


class PinnedEntries:
    """Always chooses one address."""

    def __init__(self, address):
        self._address = address

    async def choose(self):
        return self._address

    def mark_failed(self, address):
        """Keep the address all the same."""


@attrs.define(eq=False)
class Stream:
    """One request that a caller is following."""

    request: CompletionRequest
    caller: Caller
    future: concurrent.futures.Future

    def count_tokens(self) -> int:
        record = self._find_record()
        return len(record["tokens"]) if record else 0

    @property
    def server(self) -> str:
        """Backend server of the newest token."""
        return self._find_record()["tokens"][-1].server

    @property
    def address(self) -> str:
        """Address of the newest connection."""
        return self._find_record()["connections"][-1]["address"]

    def wait_for_tokens(self, count: int) -> None:
        wait_until(lambda: self.count_tokens() >= count, f"{count} tokens")

    def result(self) -> dict:
        return self.future.result(DEADLINE_S)

    def _find_record(self):
        if self.future.done():
            return self.future.result()
        for record in self.caller.open_records:
            if record["key"] == self.request.key:
                return record
        return None


def wait_until(condition, what: str, deadline_s: float = DEADLINE_S) -> None:
    end = time.monotonic() + deadline_s
    while not condition():
        assert time.monotonic() < end, f"waited in vain for {what}"
        time.sleep(POLL_S)


class Trial:
    """A deployment under test and everything that its callers saw."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.timeline = Timeline()
        self.instances: list[str] = []
        self._streams: list[Stream] = []
        self._history = HistoryWriter(cluster.folder / "history.jsonl")

    # Callers

    def send(
        self,
        prompt: str | None = None,
        *,
        at: str | None = None,
        max_tokens: int = 120,
        total_timeout_s: float = 45.0,
        sends_received: bool = True,
        request_class: str = STEADY,
        **fields,
    ) -> Stream:
        """Send a request, by the entry list or always at one address."""
        request = CompletionRequest(
            workspace=fields.pop("workspace", WORKSPACE),
            request_class=request_class,
            prompt=prompt or make_prompt(),
            max_tokens=max_tokens,
            **fields,
        )
        return self.resend(
            request,
            at=at,
            total_timeout_s=total_timeout_s,
            sends_received=sends_received,
        )

    def resend(
        self,
        request: CompletionRequest,
        *,
        at: str | None = None,
        total_timeout_s: float = 45.0,
        sends_received: bool = True,
    ) -> Stream:
        """Send a request from a caller of its own."""
        future: concurrent.futures.Future = concurrent.futures.Future()
        limits = CallerLimits(
            total_timeout_s=total_timeout_s,
            idle_timeout_s=10.0,
            response_timeout_s=10.0,
        )

        async def start():
            caller = Caller(
                reactor=reactor,
                bootstrap_addresses=[self.cluster.addresses[n] for n in self.instances],
                history=self._history,
                generator=random.Random(1),
                limits=limits,
                sends_received=sends_received,
            )
            if at is not None:
                caller.entries = PinnedEntries(self.cluster.addresses.get(at, at))
            completing = caller.complete(request)
            completing.addCallbacks(
                future.set_result, lambda failed: future.set_exception(failed.value)
            )
            return caller

        stream = Stream(request, run_in_reactor(start), future)
        self._streams.append(stream)
        return stream

    def call(self, instance: str, *, headers=None, body=None, path="/v1/completions"):
        """Make one plain HTTP call and return status and content."""
        host, _, port = self.cluster.addresses[instance].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_S)
        with contextlib.closing(connection):
            data = body if isinstance(body, bytes) else json.dumps(body)
            connection.request("POST", path, data, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read()

    # Faults

    def kill_engine(self, name: str) -> None:
        self.timeline.add(TimelineKind.ENGINE_KILLED, name)
        self.cluster.kill(name)

    def kill_instance(self, address: str) -> str:
        self.timeline.add(TimelineKind.INSTANCE_KILLED, address)
        name = self.name_instance(address)
        self.cluster.kill(name)
        return name

    def name_instance(self, address: str) -> str:
        names = {self.cluster.addresses[name]: name for name in self.instances}
        return names[address]

    # Evidence

    def lines(self, event: str, stream: Stream | None = None) -> list:
        """Return the lines of the execution logs of one kind."""
        lines = read_execution_logs(self.cluster.execution_logs.values())
        origin = stream and stream_origin(stream)
        return [
            line
            for line in lines
            if line.event == event and (not origin or line.origin.startswith(origin))
        ]

    def count_decoded(self, stream: Stream) -> int:
        lines = read_execution_logs(self.cluster.execution_logs.values())
        origin = stream_origin(stream)
        return sum(
            line.decoded_tokens for line in lines if line.origin.startswith(origin)
        )

    def finish(self, *, apart_from: Stream | None = None):
        """Wait for all streams and return the report of the checker."""
        streams = [stream for stream in self._streams if stream is not apart_from]
        records = [stream.result() for stream in streams]
        lines = read_execution_logs(self.cluster.execution_logs.values())
        report = check(Evidence(records, lines, self.timeline.events))
        assert report.passed, report.violations
        return report

    def finish_completed(self):
        """Wait for all streams, all of which must complete."""
        report = self.finish()
        outcomes = [describe_end(stream.result()) for stream in self._streams]
        assert report.completed == report.requests, outcomes
        return report

    def close(self) -> None:
        self._history.close()


def stream_origin(stream: Stream) -> str:
    return derive_prompt_origin(stream.request.prompt)


def describe_end(record: dict) -> tuple:
    last = record["connections"][-1]
    return record["outcome"], last["step"], last["peer"], last["reason"]


def make_prompt(pages: int = 4) -> str:
    page = "Inspection note of the corner pitch, with its plan and one complaint. "
    return page * pages + f"File {uuid.uuid4().hex}."


@contextlib.contextmanager
def deploy(
    *,
    engines: int = 3,
    instances: int = 2,
    services: int = 0,
    link_engines: bool = False,
    link_platform: bool = False,
    checks_fence: bool = True,
    service_options: tuple[str, ...] = (),
    engine_options: tuple[str, ...] = (),
):
    """Start a platform, engines e1…, services w1… and instances n1…"""
    with contextlib.ExitStack() as stack:
        cluster = stack.enter_context(Cluster())
        cluster.start_platform(wait=False)
        cluster.start_fault_proxy(wait=False)
        cluster.wait_until_ready()
        cluster.declare(make_declaration(checks_fence=checks_fence))
        trial = Trial(cluster)
        stack.callback(trial.close)
        for number in range(engines):
            _start_engine(
                cluster, f"e{number + 1}", link_engines, checks_fence, engine_options
            )
        for number in range(services):
            name = f"w{number + 1}"
            cluster.start_service(name, *service_options, wait=False, register=False)
            link = cluster.add_link(f"link-{name}", target=cluster.addresses[name])
            cluster.register_server(name, pool="windows", address=link)
        cluster.wait_until_ready()
        for number in range(instances):
            _start_instance(trial, f"n{number + 1}", link_platform)
        cluster.wait_until_ready()
        yield trial


def _start_engine(cluster, name, link, checks_fence, options) -> None:
    cluster.start_engine(
        name, *options, checks_fence=checks_fence, register=False, wait=False
    )
    address = cluster.addresses[name]
    if link:
        address = cluster.add_link(f"link-{name}", target=address)
    cluster.register_server(name, address=address)


def _start_instance(trial, name, link_platform) -> None:
    cluster = trial.cluster
    platform = cluster.addresses[PLATFORM]
    if link_platform:
        platform = cluster.add_link(f"platform-{name}", target=platform)
    trial.instances.append(name)
    cluster.start_node(name, platform_address=platform, wait=False)
