from __future__ import annotations

import json

from ebonyhaven_adapter._copying import EngineRunCopier
from ebonyhaven_adapter._inspection import ReportInspector, _decode_report
from ebonyhaven_node.exceptions import ServerResting
from ebonyhaven_node.forwarding import ConnectionPool
from twisted.internet import reactor
from twisted.web import resource

from tests.platform_adapter.stand_ins import listen
from tests.reactor_thread import run_in_reactor

TIMEOUT_S = 10.0

REPORT = {"models": [{"name": "m", "version": 1}], "kvTotal": 88000, "active": 3}


def test_report_says_whether_the_engine_leaves():
    for state, is_leaving in (("draining", True), ("ready", False), ([], False)):
        assert _decode_report({**REPORT, "state": state}).is_leaving is is_leaving
    assert not _decode_report(REPORT).is_leaving


class LeavingServer(resource.Resource):
    """Says in the header of each answer that it leaves."""

    isLeaf = True  # noqa: N815 defined by Twisted

    def render(self, request):
        request.setHeader("Server-Leaving", "1")
        request.setResponseCode(503 if request.path == b"/health" else 200)
        return json.dumps(REPORT).encode()


async def ask(address):
    pool = ConnectionPool(reactor)
    inspector = ReportInspector(pool, reactor)
    answers = [
        await inspector.inspect(address),
        await inspector.check_health(address, path="/health", timeout_s=TIMEOUT_S),
    ]
    pool.close()
    return answers


def test_report_and_health_say_in_their_headers_that_a_server_leaves():
    listening = listen(LeavingServer())
    try:
        answers = run_in_reactor(ask, listening.address)
    finally:
        listening.stop()
    assert [each.is_leaving for each in answers] == [True, True]


class RestingServer(resource.Resource):
    """Turns each call away and says for how long it wants none."""

    isLeaf = True  # noqa: N815 defined by Twisted

    def render(self, request):
        request.setHeader("Retry-After", "2.5")
        request.setResponseCode(503)
        return b"{}"


async def read_rests(address):
    pool = ConnectionPool(reactor)
    copier = EngineRunCopier(pool, reactor)
    rests = [each.rest_s for each in await ask(address)]
    for call in (
        copier.copy_run(source=address, request_id="r1", target=address),
        copier.delete_copy(source=address, handle="h1"),
    ):
        try:
            await call
        except ServerResting as error:
            rests.append(error.rest_s)
    pool.close()
    return rests


def test_rest_that_answers_to_own_calls_name_is_not_read():
    listening = listen(RestingServer())
    try:
        rests = run_in_reactor(read_rests, listening.address)
    finally:
        listening.stop()
    assert rests == [2.5] * 4
