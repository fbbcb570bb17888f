from __future__ import annotations

from tests.forwarding.harness import (
    HOST,
    KEY,
    World,
    headers_of,
    make_configuration,
    make_route,
)


def ask(world, path="/once/x", **options):
    caller = world.open_caller()
    caller.request(path, **options)
    return caller


def test_instance_without_a_configuration_refuses_as_not_run():
    world = World(configuration=False)
    status, headers, _, _ = ask(world).read_answer()
    assert status == 503
    assert float(headers["retry-after"]) > 0


def test_unknown_route_and_unknown_key_are_told_apart():
    world = World()
    assert ask(world, "/nothing/x").read_answer()[0] == 404
    assert ask(world, Authorization="Bearer wrong").read_answer()[0] == 401
    assert ask(world, Authorization=None).read_answer()[0] == 401
    assert world.count_waiting() == 0


def test_open_route_needs_no_key_and_tells_no_forged_workspace():
    world = World()
    ask(world, "/open/x", Authorization=None, X_Tenant_Name="forged")
    _, head, _ = world.take_request()
    assert "x-tenant-name" not in headers_of(head)


def test_longest_prefix_wins():
    plain = make_configuration().routes[HOST][0]
    routes = [
        make_route("outer", plain.kind, path_prefix="/a/"),
        make_route("inner", plain.kind, path_prefix="/a/b/"),
    ]
    configuration = make_configuration(routes=routes)
    assert configuration.find_route(HOST.upper(), "/a/b/c").name == "inner"
    assert configuration.find_route(HOST, "/a/bc").name == "outer"
    assert configuration.find_route("other", "/a/b/c") is None


def test_older_configuration_never_replaces_a_newer_one():
    world = World()
    world.state.take_configuration(make_configuration(version=5))
    world.state.take_configuration(make_configuration(version=4))
    assert world.state.configuration.version == 5


def test_request_with_two_framings_is_rejected():
    world = World()
    caller = world.open_caller()
    caller.send(
        f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r1\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\nGET /open/ HTTP/1.1\r\n\r\n".encode()
    )
    assert caller.read_answer()[0] == 400
    assert world.count_waiting() == 0
    world.advance(1.0)
    assert caller.transport.is_closed


def test_limits_on_header_and_body():
    world = World()
    limits = world.state.limits
    caller = world.open_caller()
    caller.send(b"GET / HTTP/1.1\r\nX: " + b"a" * (limits.header_bytes + 100))
    assert caller.read_answer()[0] == 431
    caller = world.open_caller()
    length = limits.body_bytes + 1
    head = f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}\r\n\r\n"
    caller.send(head.encode() + b"a" * length)
    assert caller.read_answer()[0] == 413


def test_request_without_an_id_is_malformed():
    world = World()
    assert ask(world, X_Attempt_Id=None).read_answer()[0] == 400
    assert world.count_waiting() == 0


def test_idle_connection_is_kept_for_the_whole_idle_time():
    world = World()
    caller = world.open_caller()
    world.advance(0.9 * world.state.limits.idle_timeout_s)
    assert not caller.transport.is_closed
    world.advance(0.2 * world.state.limits.idle_timeout_s)
    assert caller.transport.is_closed


def test_leaving_instance_closes_connections_after_their_answers():
    world = World()
    world.gateway._leaving_since = world.reactor.seconds()
    caller = ask(world, "/nothing/x")
    _, headers, _, _ = caller.read_answer()
    assert headers["connection"] == "close"
    assert caller.transport.is_closed


def test_leaving_instance_takes_streams_only_while_they_can_end():
    world = World()
    world.gateway._leaving_since = world.reactor.seconds()
    ask(world, "/stream/x")
    assert world.count_waiting() == 1
    world.advance(2.5)  # a quarter of the grace of 8 s is over
    status, headers, _, _ = ask(world, "/stream/x", request_id="r2").read_answer()
    assert status == 503
    assert float(headers["retry-after"]) == 0


def test_leaving_instance_takes_short_requests_only_while_they_can_end():
    # A request that came 7.65 s after the signal was cut when the process ended.
    world = World()
    world.gateway._leaving_since = world.reactor.seconds()
    world.advance(6.5)
    ask(world)  # its route takes 0.8 s at most; the instance ends 7.4 s after
    assert world.count_waiting() == 1
    world.advance(0.2)
    status, headers, _, _ = ask(world, request_id="r2").read_answer()
    assert status == 503
    assert float(headers["retry-after"]) == 0
