"""Test fixture: a small deployment of real processes and callers that use it."""

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

TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
WORKSPACE = "studio-a"
OTHER_WORKSPACE = "studio-b"
MODEL = "dossier"
# The lenient class has long latency targets, so that slow engines on a loaded machine
# are not reported as failed.
LENIENT_CLASS, LOW_LATENCY_CLASS = "steady", "prompt"


def make_declaration(*, checks_fence: bool = True) -> dict:
    """Return a declaration with an engine pool and a service pool.

    Parameters
    ----------
    checks_fence : bool
        Whether the engines check fencing numbers.
    """
    return {
        "classes": {
            LENIENT_CLASS: {
                "first_token_ms": 20000,
                "gap_ms": 100,
                "resume_ms": 8000,
                "may_wait_ms": 20000,
                "default": True,
            },
            LOW_LATENCY_CLASS: {
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


class FixedEntryList:
    """Replacement for the entry list of a caller that always chooses one address."""

    def __init__(self, address):
        self._address = address

    async def choose(self):
        return self._address

    def mark_failed(self, address):
        """Ignore the failure; there is no other address."""


@attrs.define(eq=False)
class Stream:
    """One request and the caller that reads its stream."""

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
        """Block until the caller has received a number of tokens."""
        wait_until(lambda: self.count_tokens() >= count, f"{count} tokens")

    def result(self) -> dict:
        """Block until the request has an outcome and return the caller's record."""
        return self.future.result(TIMEOUT_S)

    def _find_record(self):
        if self.future.done():
            return self.future.result()
        for record in self.caller.open_records:
            if record["key"] == self.request.key:
                return record
        return None


def wait_until(condition, description: str, timeout_s: float = TIMEOUT_S) -> None:
    """Poll until a condition is true.

    Parameters
    ----------
    condition : callable
    description : str
        Description of the condition for the failure message.
    timeout_s : float
        Seconds after which the wait fails.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for {description}"
        time.sleep(POLL_INTERVAL_S)


class SystemUnderTest:
    """A running deployment, its callers and the evidence that the checker reads."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.timeline = Timeline()
        self.instances: list[str] = []
        self._streams: list[Stream] = []
        self._history = HistoryWriter(cluster.folder / "history.jsonl")

    def send(
        self,
        prompt: str | None = None,
        *,
        at: str | None = None,
        max_tokens: int = 120,
        total_timeout_s: float = 45.0,
        sends_received: bool = True,
        request_class: str = LENIENT_CLASS,
        **fields,
    ) -> Stream:
        """Create a request and send it from a new caller.

        Parameters
        ----------
        prompt : str, optional
            Defaults to a unique prompt.
        at : str, optional
            Name of an instance or an address that all attempts use. By default, the
            caller chooses from the entry list.
        max_tokens : int
        total_timeout_s : float
            Timeout of the request over all attempts, from the first attempt on.
        sends_received : bool
            Whether reconnects carry the texts received so far.
        request_class : str
        **fields : object
            Further fields of the `CompletionRequest`.

        Returns
        -------
        Stream
        """
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
        """Send an existing request from a new caller; see `send`."""
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
                rng=random.Random(1),
                limits=limits,
                sends_received=sends_received,
            )
            if at is not None:
                caller.entries = FixedEntryList(self.cluster.addresses.get(at, at))
            completing = caller.complete(request)
            completing.addCallbacks(
                future.set_result, lambda failed: future.set_exception(failed.value)
            )
            return caller

        stream = Stream(request, run_in_reactor(start), future)
        self._streams.append(stream)
        return stream

    def call(self, instance: str, *, headers=None, body=None, path="/v1/completions"):
        """Send one POST request and return the status and body of the response."""
        host, _, port = self.cluster.addresses[instance].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        with contextlib.closing(connection):
            data = body if isinstance(body, bytes) else json.dumps(body)
            connection.request("POST", path, data, headers or {})
            response = connection.getresponse()
            return response.status, response.read()

    def kill_engine(self, name: str) -> None:
        """Kill an engine and record the fault in the timeline."""
        self.timeline.add(TimelineKind.ENGINE_KILLED, name)
        self.cluster.kill(name)

    def kill_instance(self, address: str) -> str:
        """Kill the instance at an address, record the fault and return its name."""
        self.timeline.add(TimelineKind.INSTANCE_KILLED, address)
        name = self.find_instance_name(address)
        self.cluster.kill(name)
        return name

    def find_instance_name(self, address: str) -> str:
        names = {self.cluster.addresses[name]: name for name in self.instances}
        return names[address]

    def find_log_lines(self, event: str, stream: Stream | None = None) -> list:
        """Return the execution log lines of an event, optionally of one stream."""
        lines = read_execution_logs(self.cluster.execution_logs.values())
        origin = stream and derive_stream_origin(stream)
        return [
            line
            for line in lines
            if line.event == event and (not origin or line.origin.startswith(origin))
        ]

    def count_decoded_tokens(self, stream: Stream) -> int:
        """Return how many tokens all engines together decoded for a stream."""
        lines = read_execution_logs(self.cluster.execution_logs.values())
        origin = derive_stream_origin(stream)
        return sum(
            line.decoded_tokens for line in lines if line.origin.startswith(origin)
        )

    def wait_and_check(self, *, excluded: Stream | None = None):
        """Wait for all streams and assert that the checker finds no violation.

        Parameters
        ----------
        excluded : Stream, optional
            Stream that is neither awaited nor checked.

        Returns
        -------
        Report
        """
        streams = [stream for stream in self._streams if stream is not excluded]
        records = [stream.result() for stream in streams]
        lines = read_execution_logs(self.cluster.execution_logs.values())
        report = check(Evidence(records, lines, self.timeline.events))
        assert report.passed, report.violations
        return report

    def wait_and_check_completed(self):
        """Run `wait_and_check` and assert that all streams completed."""
        report = self.wait_and_check()
        outcomes = [describe_outcome(stream.result()) for stream in self._streams]
        assert report.completed == report.requests, outcomes
        return report

    def close(self) -> None:
        self._history.close()


def derive_stream_origin(stream: Stream) -> str:
    """Return the origin that the execution logs record for the prompt of a stream."""
    return derive_prompt_origin(stream.request.prompt)


def describe_outcome(record: dict) -> tuple:
    """Return the outcome of a record and how its last connection ended."""
    last = record["connections"][-1]
    return record["outcome"], last["step"], last["peer"], last["reason"]


def make_prompt(prefix_repetitions: int = 4) -> str:
    """Return a unique prompt that starts with the same prefix as all others."""
    sentence = "Inspection note of the corner pitch, with its plan and one complaint. "
    return sentence * prefix_repetitions + f"File {uuid.uuid4().hex}."


@contextlib.contextmanager
def deploy(
    *,
    engines: int = 3,
    instances: int = 2,
    services: int = 0,
    engines_behind_proxy: bool = False,
    platform_behind_proxy: bool = False,
    checks_fence: bool = True,
    service_options: tuple[str, ...] = (),
    engine_options: tuple[str, ...] = (),
):
    """Start a platform, engines, services and instances.

    Parameters
    ----------
    engines : int
        Number of engines, named ``e1``, ``e2`` and so on.
    instances : int
        Number of instances, named ``n1``, ``n2`` and so on.
    services : int
        Number of plain services, named ``w1``, ``w2`` and so on. They are always
        reached through the fault proxy, over ``link-NAME``.
    engines_behind_proxy : bool
        Whether engines are reached through the fault proxy, over ``link-NAME``.
    platform_behind_proxy : bool
        Whether instances reach the platform through the fault proxy, over
        ``platform-NAME``.
    checks_fence : bool
        Whether the engines check fencing numbers.
    service_options, engine_options : tuple of str
        Command line options of the processes.

    Yields
    ------
    SystemUnderTest
    """
    with contextlib.ExitStack() as stack:
        cluster = stack.enter_context(Cluster())
        cluster.start_platform(wait=False)
        cluster.start_fault_proxy(wait=False)
        cluster.wait_until_ready()
        cluster.declare(make_declaration(checks_fence=checks_fence))
        system = SystemUnderTest(cluster)
        stack.callback(system.close)
        for number in range(engines):
            _start_engine(
                cluster,
                f"e{number + 1}",
                engines_behind_proxy,
                checks_fence,
                engine_options,
            )
        for number in range(services):
            name = f"w{number + 1}"
            cluster.start_service(name, *service_options, wait=False, register=False)
            link = cluster.add_link(f"link-{name}", target=cluster.addresses[name])
            cluster.register_server(name, pool="windows", address=link)
        cluster.wait_until_ready()
        for number in range(instances):
            _start_instance(system, f"n{number + 1}", platform_behind_proxy)
        cluster.wait_until_ready()
        yield system


def _start_engine(cluster, name, behind_proxy, checks_fence, options) -> None:
    cluster.start_engine(
        name, *options, checks_fence=checks_fence, register=False, wait=False
    )
    address = cluster.addresses[name]
    if behind_proxy:
        address = cluster.add_link(f"link-{name}", target=address)
    cluster.register_server(name, address=address)


def _start_instance(system, name, platform_behind_proxy) -> None:
    cluster = system.cluster
    platform = cluster.addresses[PLATFORM]
    if platform_behind_proxy:
        platform = cluster.add_link(f"platform-{name}", target=platform)
    system.instances.append(name)
    cluster.start_node(name, platform_address=platform, wait=False)
