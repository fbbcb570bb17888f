"""Real processes: an instance is stopped in calm, and callers go on to ask it."""

from __future__ import annotations

import contextlib
import http.client
import threading
import time
from collections import Counter

from tests.platform_adapter.program_harness import PlatformHarness
from tests.platform_adapter.streaming_engines import StreamingEngine
from tests.waiting import wait_until

ASKED_S = 3.0  # of the 4 s until the instance is killed; it closes 0.6 s before that
REQUEST_INTERVAL_S = 0.1
STREAM_EVENTS = 60  # 6 s, longer than the grace period
STREAM_PATHS = ("/fixed/x", "/stream/x")
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
            stack, build_engine=lambda name: StreamingEngine(name, events)
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
