"""Requests that no header can express, for what others wrote into names and ids."""

from __future__ import annotations

from ebonyhaven_adapter._configuration import decode_configuration
from ebonyhaven_decisions.forwarding import Workspace
from nose2.tools import params

from tests.forwarding.harness import (
    KEY,
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    decode_headers,
    event,
    make_configuration,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS, start_stream
from tests.platform_adapter.odd_documents import CONFIGURATION

ODD_NAMES = ("a\nb", "a\x00b", " a", "a\t", "\r")
ODD_EVENT_IDS = ("1\x002", "1\x0b2", "1\x0c2")
ANSWER_SLACK_S = 0.2


def make_harness(name):
    configuration = make_configuration()
    workspaces = {KEY: Workspace(name, None)}
    return ForwardingHarness(configuration._replace(workspaces=workspaces))


def is_any_server_silent(harness) -> bool:
    now = harness.reactor.seconds()
    return any(each.silence.is_unresponsive(now) for each in harness.state.backends)


@params("\u0441\u0442\u0443\u0434\u0438\u044f", "\u540d\u524d", "caf\u00e9")
def test_workspace_whose_name_is_not_in_ascii_is_served(name):
    # Guards against requests that hang until their time is over, and servers that
    # are taken for silent meanwhile, as a name could not be written into a header.
    harness = make_harness(name)
    caller = harness.open_caller()
    caller.request("/once/x")
    server, head, _ = harness.take_request()
    value = dict(head.headers)[b"x-tenant-name"]
    assert name in (value.decode("latin-1"), value.decode(errors="replace"))
    server.receive(answer("r1"))
    assert caller.read_answer()[0] == 200


@params(*ODD_NAMES)
def test_workspace_whose_name_no_header_can_hold_is_left_out(name):
    tenants = [{"name": name, "apiKeys": ["k1"]}, {"name": "b", "apiKeys": ["k2"]}]
    decoded = decode_configuration({**CONFIGURATION, "tenants": tenants})
    assert set(decoded.workspaces) == {"k2"}


@params("/once/x", "/repeat/x", "/stream/x", "/fixed/x")
def test_request_that_cannot_be_sent_is_refused_at_once(path):
    harness = make_harness("a\nb")
    caller = harness.open_caller()
    caller.request(path, **SIZE_HEADERS)
    harness.advance(ANSWER_SLACK_S)
    assert caller.read_answer()[::3] == (503, True)
    assert not is_any_server_silent(harness)


@params(*ODD_EVENT_IDS)
def test_stream_whose_position_cannot_be_sent_is_ended_when_its_server_is_lost(odd):
    # Guards against a stream that hangs until its time is over, at servers that are
    # taken for silent, as the id of its last event could not be written into a header.
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    server.receive(stream_head("r1"))
    server.receive(chunk(f"id: {odd}\ndata: piece\n\n".encode()))
    harness.advance(0.1)
    server.reset()
    harness.advance(ANSWER_SLACK_S)
    assert caller.transport.aborted
    assert harness.count_waiting() == 0
    assert not is_any_server_silent(harness)


def test_stream_with_an_id_that_cannot_be_sent_is_delivered_whole():
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    odd = b"id: 1\x002\ndata: piece\n\n"
    server.receive(stream_head("r1") + chunk(odd) + chunk(event(2)) + STREAM_END)
    harness.advance(0.01)
    assert caller.read_answer()[2:] == (odd + event(2), True)


def test_header_of_a_latin_name_is_unchanged():
    harness = make_harness("studio-a")
    harness.open_caller().request("/once/x")
    _, head, _ = harness.take_request()
    assert decode_headers(head)["x-tenant-name"] == "studio-a"
