from __future__ import annotations

from ebonyhaven_adapter._headers import PlatformBackendDialect
from ebonyhaven_adapter._inspection import ReportInspector
from ebonyhaven_adapter._server_loads import read_server_load
from ebonyhaven_decisions.forwarding import ServerLoad
from ebonyhaven_node.forwarding import ConnectionPool
from twisted.internet import reactor
from twisted.web import resource

from tests.platform_adapter.stand_ins import listen
from tests.reactor_thread import run_in_reactor

TIMEOUT_S = 10.0


def test_load_of_three_figures_tells_no_pace():
    assert read_server_load(b"3,1,8").load == ServerLoad(3, 1, 8, None)


def test_fourth_figure_is_the_pace():
    assert read_server_load(b"3, 1, 8, 150").load == ServerLoad(3, 1, 8, 1.5)
    assert read_server_load(b"3,1,8,87.5").load.pace == 0.875


def test_load_holds_without_a_pace_that_can_be_used():
    for pace in (b"", b"x", b"-4", b"0", b"nan", b"inf", b"9" * 400):
        assert read_server_load(b"3,1,8," + pace) == (ServerLoad(3, 1, 8, None), None)


def test_other_forms_are_handed_on_as_unread():
    for value in (b"", b"3,1", b"3,1,8,100,7", b"-3,1,8", b"a,b,c,1"):
        assert read_server_load(value) == (None, value.decode())


def test_long_unknown_header_is_cut():
    assert len(read_server_load(b"x" * 5000).unread) < 100


def test_refusals_state_the_load():
    headers = ((b"x-server-load", b"8,9,8,400"), (b"x-not-executed", b"1"))
    head = PlatformBackendDialect().read_head(503, headers)
    assert head.load == ServerLoad(8, 9, 8, 4.0)


class LoadedServer(resource.Resource):
    """States its load on the health path."""

    isLeaf = True  # noqa: N815 defined by Twisted

    def render(self, request):
        request.setHeader("X-Server-Load", "5,0,8,120")
        return b""


async def ask_for_health(address):
    pool = ConnectionPool(reactor)
    inspector = ReportInspector(pool, reactor)
    server = await inspector.check_health(address, path="/health", timeout_s=TIMEOUT_S)
    pool.close()
    return server


def test_health_answers_state_the_load():
    listening = listen(LoadedServer())
    try:
        server = run_in_reactor(ask_for_health, listening.address)
    finally:
        listening.stop()
    assert server.server_load == ServerLoad(5, 0, 8, 1.2)
