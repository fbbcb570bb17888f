from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile

from ebonyhaven_standins.cluster import allocate_address, derive_loopback_prefix
from ebonyhaven_standins.fault_proxy import FaultKind, Link, LinkFaults
from ebonyhaven_standins.fault_proxy._forwarding import ForwardingDirection
from twisted.internet import reactor, task

from tests.reactor_thread import run_in_reactor

TIMEOUT_S = 30.0
SILENCE_TIMEOUT_S = 0.3
CONTROL_PORT, TARGET_PORT, LINK_PORT, ENGINE_PORT = 31001, 31002, 31003, 31004
# Last octet. Clusters in the same process allocate it from 1 upwards, so 254 is free.
HOST_NUMBER = 254


def derive_host():
    return f"{derive_loopback_prefix(os.getpid())}.{HOST_NUMBER}"


def launch(module, *options):
    process = subprocess.Popen(
        [sys.executable, "-m", f"ebonyhaven_standins.{module}", *options],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout.readline() == "ready\n"
    return process


def stop(process):
    process.kill()
    process.wait()
    process.stdout.close()


def call(port, path, body):
    with contextlib.closing(
        http.client.HTTPConnection(derive_host(), port)
    ) as connection:
        connection.request("POST", path, json.dumps(body))
        response = connection.getresponse()
        return response.status, response.read()


def set_fault(kind, **options):
    status, _ = call(CONTROL_PORT, "/faults", {"link": "link", "kind": kind, **options})
    assert status == 200


def connect(listener):
    """Open a connection through the link; return its client and target sockets."""
    client = socket.create_connection((derive_host(), LINK_PORT), timeout=TIMEOUT_S)
    target, _ = listener.accept()
    target.settimeout(TIMEOUT_S)
    return client, target


def is_silent(sock):
    sock.settimeout(SILENCE_TIMEOUT_S)
    try:
        sock.recv(1)
    except TimeoutError:
        return True
    finally:
        sock.settimeout(TIMEOUT_S)
    return False


@contextlib.contextmanager
def open_proxied_listener():
    with contextlib.ExitStack() as stack:
        proxy = launch("fault_proxy", "--control", f"{derive_host()}:{CONTROL_PORT}")
        stack.callback(stop, proxy)
        listener = stack.enter_context(
            socket.create_server((derive_host(), TARGET_PORT))
        )
        listener.settimeout(TIMEOUT_S)
        link = {
            "name": "link",
            "listen": f"{derive_host()}:{LINK_PORT}",
            "target": f"{derive_host()}:{TARGET_PORT}",
            "side_a": "a",
            "side_b": "b",
        }
        assert call(CONTROL_PORT, "/links", link)[0] == 200
        yield stack, listener


def test_silence_open_is_permanent_for_existing_connections_only():
    with open_proxied_listener() as (stack, listener):
        old = [stack.enter_context(sock) for sock in connect(listener)]
        old[0].sendall(b"1")
        assert old[1].recv(1) == b"1"
        set_fault("silence_open")
        new = [stack.enter_context(sock) for sock in connect(listener)]
        new[0].sendall(b"2")
        assert new[1].recv(1) == b"2"
        set_fault("none")
        old[0].sendall(b"3")
        old[1].sendall(b"4")
        assert is_silent(old[0])
        assert is_silent(old[1])


def test_one_way_loss_delays_data_and_close_until_cleared():
    with open_proxied_listener() as (stack, listener):
        client, target = (stack.enter_context(sock) for sock in connect(listener))
        set_fault("lose_to_target")
        client.sendall(b"12")
        target.sendall(b"34")
        assert client.recv(2) == b"34"
        client.shutdown(socket.SHUT_RDWR)
        assert is_silent(target)
        set_fault("none")
        assert target.recv(2) == b"12"
        assert target.recv(1) == b""


def test_partition_blocks_both_directions_until_cleared():
    with open_proxied_listener() as (stack, listener):
        client, target = (stack.enter_context(sock) for sock in connect(listener))
        sides = {"side_a": "b", "side_b": "a"}
        assert call(CONTROL_PORT, "/faults", {**sides, "kind": "partition"})[0] == 200
        client.sendall(b"1")
        target.sendall(b"2")
        assert is_silent(client)
        assert is_silent(target)
        assert call(CONTROL_PORT, "/faults", {**sides, "kind": "none"})[0] == 200
        assert (client.recv(1), target.recv(1)) == (b"2", b"1")


def test_reset_aborts_open_connections_but_not_new_ones():
    with open_proxied_listener() as (stack, listener):
        client, _ = (stack.enter_context(sock) for sock in connect(listener))
        set_fault("reset")
        with contextlib.suppress(ConnectionResetError):
            assert client.recv(1) == b""
        new_client, target = (stack.enter_context(sock) for sock in connect(listener))
        new_client.sendall(b"1")
        assert target.recv(1) == b"1"


def test_data_is_delivered_in_order_when_a_delay_ends():
    # Guards against later data that overtakes what is still delayed.
    delivered = []

    async def forward():
        faults = LinkFaults(delay_s=0.05)
        direction = ForwardingDirection(lambda: False, faults)
        for number in range(3):
            direction.forward(lambda number=number: delivered.append(number))
        faults.delay_s = 0.0
        direction.forward(lambda: delivered.append(3))
        await task.deferLater(reactor, 0.1)
        direction.forward(lambda: delivered.append(4))

    run_in_reactor(forward)
    assert delivered == [0, 1, 2, 3, 4]


def test_refuse_rejects_connections_until_cleared():
    with open_proxied_listener() as (stack, listener):
        set_fault("refuse")
        with contextlib.suppress(ConnectionRefusedError):
            socket.create_connection(
                (derive_host(), LINK_PORT), timeout=TIMEOUT_S
            ).close()
            raise AssertionError("the connection was accepted")
        set_fault("none")
        for sock in connect(listener):
            stack.enter_context(sock)


def test_engine_survives_client_disconnect_and_crashes_on_marker():
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        log = pathlib.Path(folder) / "log"
        options = ("--address", f"{derive_host()}:{ENGINE_PORT}", "--log", str(log))
        engine = launch("engine", "--name", "s1", "--model", "m", *options)
        stack.callback(stop, engine)
        start = {"run_id": "r1", "generation": "g", "model": "m", "prompt": "p"}
        first_connection = http.client.HTTPConnection(derive_host(), ENGINE_PORT)
        first_connection.request(
            "POST", "/v1/completions", json.dumps({**start, "max_tokens": 20})
        )
        assert first_connection.getresponse().getheader("Engine-Running") == "1"
        first_connection.close()
        status, body = call(ENGINE_PORT, "/v1/completions", {**start, "max_tokens": 20})
        assert status == 200
        assert body.count(b"id: ") == 21
        crash = {**start, "run_id": "r2", "prompt": "a [[crash]] b"}
        with contextlib.suppress(http.client.HTTPException, ConnectionError):
            call(ENGINE_PORT, "/v1/completions", crash)
        assert engine.wait(TIMEOUT_S) != 0
        events = [json.loads(line)["event"] for line in log.read_text().splitlines()]
        assert events[-1] == "crash"
        assert events.count("start") == 2


async def clear_faults_while_closing() -> bool:
    target = allocate_address()
    link = Link(
        name="a-b", listen=allocate_address(), target=target, sides=frozenset("ab")
    )
    closing = link.stop_listening()
    await link.set_fault(FaultKind.NONE, 0.0)
    await closing
    is_listening = link.is_listening
    await link.stop_listening()
    return is_listening


def test_link_listens_again_while_its_port_is_being_closed():
    assert run_in_reactor(clear_faults_while_closing)
