"""Real processes: an instance is stopped in calm, and callers go on to ask it."""

from __future__ import annotations

import contextlib
import http.client
import threading
import time
from collections import Counter

from nose2.tools import params

from tests.platform_adapter.answering_servers import SlowServer, StreamingEngine
from tests.platform_adapter.node_processes import NodeProcess
from tests.platform_adapter.program_harness import PlatformHarness
from tests.platform_adapter.stop_callers import CALLERS, Answer
from tests.waiting import wait_until

ASKED_S = 3.0  # of the 4 s until the instance is killed; it closes 0.6 s before that
REQUEST_INTERVAL_S = 0.1
STREAM_EVENTS = 60  # 6 s, longer than the grace period
STREAM_PATHS = ("/fixed/x", "/stream/x")
SHORT_STREAM_EVENTS = 5
START_DELAYS_S = (0.0, 0.1, 0.3, 1.0)
WAITING_STREAMS = 32
REFUSED_WITHIN_S = 2.5  # well before the instance closes
# After it, a request that was read must have its answer; a caller may notice late.
LOSS_SLACK_S = 0.2 + 0.5
NO_ANSWER = "no answer"


class Answers:
    """Sends requests in threads of their own, and notes how each ended.

    Attributes
    ----------
    ends : list of (str, object)
        Path, and status of the complete answer or `NO_ANSWER`.
    """

    def __init__(self, harness):
        self._harness = harness
        self._threads = []
        self.ends = []

    def send(self, path, **headers):
        number = len(self._threads)
        request = (path, f"r{number}", headers)
        thread = threading.Thread(target=self._send, args=request, daemon=True)
        self._threads.append(thread)
        thread.start()

    def wait(self):
        for thread in self._threads:
            thread.join(30.0)
        return self.ends

    def _send(self, path, request_id, headers):
        end = NO_ANSWER
        with contextlib.suppress(OSError, http.client.HTTPException):
            response = self._harness.send(path, request_id, **headers).getresponse()
            response.read()
            end = response.status
        self.ends.append((path, end))


@contextlib.contextmanager
def start_streaming_instance(events):
    with contextlib.ExitStack() as stack:
        harness = PlatformHarness(
            stack,
            plain_servers=3,
            build_plain=SlowServer,
            build_engine=lambda name: StreamingEngine(name, events),
        )
        wait_until(lambda: harness.node.find_lines("instance_registered"))
        harness.configure(routes=("once", "stream", "fixed"))
        wait_until(harness.is_ready)
        yield harness


def stop_and_ask(harness, ask):
    """Stop the instance, and ask until shortly before it closes."""
    harness.node.terminate()
    began = time.monotonic()
    harness.node.wait_for_line("instance_leaving")
    while time.monotonic() < began + ASKED_S:
        ask()
        time.sleep(REQUEST_INTERVAL_S)


def test_streams_that_come_after_the_stop_began_are_refused_or_whole():
    # Guards against streams that are taken and passed on after the SIGTERM, and cut
    # without an answer at the end of the grace period.
    with start_streaming_instance(STREAM_EVENTS) as harness:
        answers = Answers(harness)

        def ask():
            for path in STREAM_PATHS:
                answers.send(path, X_Token_Count="80,70")

        stop_and_ask(harness, ask)
        ends = answers.wait()
        assert len(ends) >= ASKED_S / REQUEST_INTERVAL_S
        assert {end for _, end in ends} <= {200, 503}, Counter(ends)


def list_received(harness) -> set[str]:
    """Return the ids of the requests that reached a server."""
    servers = [*harness.plains, *harness.engines.values()]
    return {
        headers["x-attempt-id"] for each in servers for headers in each.received_headers
    }


def list_lost(harness, callers) -> list[Answer]:
    """Return the requests without an answer that were passed on, or read long ago."""
    received = list_received(harness)
    return [
        answer
        for caller in callers
        for answer in caller.answers
        if answer.status is None
        and (
            answer.request_id in received
            or answer.was_read
            or answer.ended_at - answer.sent_at > LOSS_SLACK_S
        )
    ]


@params(1, 2)
def test_stop_cuts_no_request_whichever_way_it_came(signals):
    # Guards against requests that are read and get no answer: on kept connections,
    # sent ahead, with bodies that end late, streams, and after a second SIGTERM.
    with start_streaming_instance(SHORT_STREAM_EVENTS) as harness:
        address = harness.node.addresses["frontend"]
        callers = [
            build(f"{kind}-{number}", address)
            for kind, build in CALLERS.items()
            for number in range(4)
        ]
        for caller in callers:
            caller.start()
        wait_until(lambda: all(len(each.answers) > 2 for each in callers))
        for _ in range(signals):
            harness.node.terminate()
            harness.node.wait_for_line("instance_leaving")
        assert harness.node.process.wait(30.0) == 0
        for caller in callers:
            caller.stop()
        for caller in callers:
            caller.wait()
        statuses = Counter(each.status for caller in callers for each in caller.answers)
        assert statuses[200] > len(callers)
        assert set(statuses) <= {200, 503, None}, statuses
        assert not list_lost(harness, callers), statuses


def start_callers(name, address):
    callers = [build(f"{name}-{kind}", address) for kind, build in CALLERS.items()]
    for caller in callers:
        caller.start()
    return callers


def stop_after_start(node, delay_s):
    """Stop an instance shortly after it began to listen."""
    node.wait_for_line("instance_started")
    time.sleep(delay_s)
    node.terminate()


def count_active_streams(harness) -> int:
    """Return the streams in progress, from the metrics of the instance."""
    _, body = harness.call("metrics", "/metrics")
    name = b'ebonyhaven_forwarded_active{kind="stream"} '
    values = [line for line in body.splitlines() if line.startswith(name)]
    return int(float(values[0].removeprefix(name))) if values else 0


def test_streams_that_wait_for_room_are_refused_when_their_instance_stops():
    # Guards against streams that wait in a stopped instance and get no answer, though
    # nothing of them has run and another instance could take them.
    with start_streaming_instance(STREAM_EVENTS) as harness:
        answers = Answers(harness)
        for _ in range(WAITING_STREAMS):
            answers.send("/fixed/x", X_Token_Count="8200,780")
        wait_until(lambda: count_active_streams(harness) == WAITING_STREAMS)
        assert not answers.ends
        harness.node.terminate()
        harness.node.wait_for_line("instance_leaving")
        wait_until(
            lambda: len(answers.ends) + len(list_received(harness)) == WAITING_STREAMS,
            timeout_s=REFUSED_WITHIN_S,
        )
        assert len(answers.ends) > WAITING_STREAMS / 4
        assert {end for _, end in answers.ends} == {503}


def test_stop_in_the_first_seconds_of_an_instance_cuts_no_request():
    # Guards against requests that were read and get no answer, as their instance is
    # stopped before it has read its first state, or while it joins the others.
    with start_streaming_instance(SHORT_STREAM_EVENTS) as harness:
        store = harness.store_listener.address
        with contextlib.ExitStack() as stack:
            callers, threads = [], []
            for number, delay_s in enumerate(START_DELAYS_S):
                node = NodeProcess(store, nodeName=f"s{number}")
                stack.callback(node.stop)
                callers += start_callers(f"s{number}", node.addresses["frontend"])
                thread = threading.Thread(target=stop_after_start, args=(node, delay_s))
                thread.start()
                threads.append((thread, node))
            for thread, node in threads:
                thread.join(30.0)
                assert node.process.wait(30.0) == 0
        for caller in callers:
            caller.stop()
        for caller in callers:
            caller.wait()
        assert all(each.answers for each in callers)
        assert not list_lost(harness, callers)
