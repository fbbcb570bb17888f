from __future__ import annotations

from ebonyhaven_node import start_loop
from structlog.testing import capture_logs
from twisted.internet.task import Clock


def test_loop_goes_on_after_an_error():
    clock = Clock()
    calls = []

    def fail_once():
        calls.append(clock.seconds())
        if len(calls) == 1:
            raise RecursionError

    with capture_logs() as lines:
        loop = start_loop(fail_once, interval_s=1.0, reactor=clock)
        clock.pump([1.0, 1.0, 1.0])
        loop.stop()
        clock.advance(1.0)
    assert calls == [1.0, 2.0, 3.0]
    assert [line["event"] for line in lines] == ["loop_failed"]
