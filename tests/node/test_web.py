from __future__ import annotations

import threading
from unittest import mock

from ebonyhaven_node._web import CallerInterface
from prometheus_client import CollectorRegistry
from twisted.web.test.requesthelper import DummyRequest

from tests.reactor_thread import run_in_reactor


class ThreadRecorder:
    """Collector that records the thread in which it is rendered."""

    def __init__(self):
        self.thread = None

    def describe(self):
        return []

    def collect(self):
        self.thread = threading.get_ident()
        return []


async def render_metrics(recorder):
    registry = CollectorRegistry()
    registry.register(recorder)
    interface = CallerInterface(
        chain=mock.Mock(),
        services=mock.Mock(),
        entries=mock.Mock(),
        state=mock.Mock(),
        configuration=mock.Mock(),
        registry=registry,
    )
    await interface.report_metrics(DummyRequest([b"metrics"]))
    return threading.get_ident()


def test_metrics_are_rendered_outside_the_reactor_thread():
    recorder = ThreadRecorder()
    reactor_thread = run_in_reactor(render_metrics, recorder)
    assert recorder.thread is not None
    assert recorder.thread != reactor_thread
