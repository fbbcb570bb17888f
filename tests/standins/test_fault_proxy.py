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

from ebonyhaven_standins.cluster import derive_loopback_prefix

DEADLINE_S = 30.0
SHORT_WAIT_S = 0.3
CONTROL_PORT, TARGET_PORT, LINK_PORT, ENGINE_PORT = 31001, 31002, 31003, 31004
# Past the hosts that a cluster of the same process uses first.
HOST_NUMBER = 254


def find_host():
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
        http.client.HTTPConnection(find_host(), port)
    ) as connection:
        connection.request("POST", path, json.dumps(body))
        answer = connection.getresponse()
        return answer.status, answer.read()


def set_fault(kind, **options):
    status, _ = call(CONTROL_PORT, "/faults", {"link": "link", "kind": kind, **options})
    assert status == 200


def connect(listener):
    """Return both ends of one connection through the link."""
    client = socket.create_connection((find_host(), LINK_PORT), timeout=DEADLINE_S)
    target, _ = listener.accept()
    target.settimeout(DEADLINE_S)
    return client, target


def is_silent(end):
    end.settimeout(SHORT_WAIT_S)
    try:
        end.recv(1)
    except TimeoutError:
        return True
    finally:
        end.settimeout(DEADLINE_S)
    return False


@contextlib.contextmanager
def proxied_listener():
    with contextlib.ExitStack() as stack:
        proxy = launch("fault_proxy", "--control", f"{find_host()}:{CONTROL_PORT}")
        stack.callback(stop, proxy)
        listener = stack.enter_context(socket.create_server((find_host(), TARGET_PORT)))
        listener.settimeout(DEADLINE_S)
        link = {
            "name": "link",
            "listen": f"{find_host()}:{LINK_PORT}",
            "target": f"{find_host()}:{TARGET_PORT}",
            "side_a": "a",
            "side_b": "b",
        }
        assert call(CONTROL_PORT, "/links", link)[0] == 200
        yield stack, listener


def test_silenced_connections_stay_silent_and_new_ones_work():
    with proxied_listener() as (stack, listener):
        old = [stack.enter_context(end) for end in connect(listener)]
        old[0].sendall(b"1")
        assert old[1].recv(1) == b"1"
        set_fault("silence_open")
        new = [stack.enter_context(end) for end in connect(listener)]
        new[0].sendall(b"2")
        assert new[1].recv(1) == b"2"
        set_fault("none")
        old[0].sendall(b"3")
        old[1].sendall(b"4")
        assert is_silent(old[0])
        assert is_silent(old[1])


def test_one_way_loss_holds_bytes_and_the_close_until_it_ends():
    with proxied_listener() as (stack, listener):
        client, target = (stack.enter_context(end) for end in connect(listener))
        set_fault("lose_to_target")
        client.sendall(b"12")
        target.sendall(b"34")
        assert client.recv(2) == b"34"
        client.shutdown(socket.SHUT_RDWR)
        assert is_silent(target)
        set_fault("none")
        assert target.recv(2) == b"12"
        assert target.recv(1) == b""


def test_partition_between_sides_and_its_end():
    with proxied_listener() as (stack, listener):
        client, target = (stack.enter_context(end) for end in connect(listener))
        sides = {"side_a": "b", "side_b": "a"}
        assert call(CONTROL_PORT, "/faults", {**sides, "kind": "partition"})[0] == 200
        client.sendall(b"1")
        target.sendall(b"2")
        assert is_silent(client)
        assert is_silent(target)
        assert call(CONTROL_PORT, "/faults", {**sides, "kind": "none"})[0] == 200
        assert (client.recv(1), target.recv(1)) == (b"2", b"1")


def test_reset_aborts_open_connections_and_new_ones_work():
    with proxied_listener() as (stack, listener):
        client, _ = (stack.enter_context(end) for end in connect(listener))
        set_fault("reset")
        with contextlib.suppress(ConnectionResetError):
            assert client.recv(1) == b""
        again, target = (stack.enter_context(end) for end in connect(listener))
        again.sendall(b"1")
        assert target.recv(1) == b"1"


def test_refuse_closes_the_port_until_it_ends():
    with proxied_listener() as (stack, listener):
        set_fault("refuse")
        with contextlib.suppress(ConnectionRefusedError):
            socket.create_connection(
                (find_host(), LINK_PORT), timeout=DEADLINE_S
            ).close()
            raise AssertionError("the connection was accepted")
        set_fault("none")
        for end in connect(listener):
            stack.enter_context(end)


def test_engine_behind_the_proxy_survives_a_cut_and_crashes_on_the_mark():
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        log = pathlib.Path(folder) / "log"
        options = ("--address", f"{find_host()}:{ENGINE_PORT}", "--log", str(log))
        engine = launch("engine", "--name", "s1", "--model", "m", *options)
        stack.callback(stop, engine)
        start = {"run_id": "r1", "generation": "g", "model": "m", "prompt": "p"}
        cut = http.client.HTTPConnection(find_host(), ENGINE_PORT)
        cut.request("POST", "/v1/completions", json.dumps({**start, "max_tokens": 20}))
        assert cut.getresponse().getheader("Engine-Running") == "1"
        cut.close()
        status, body = call(ENGINE_PORT, "/v1/completions", {**start, "max_tokens": 20})
        assert status == 200
        assert body.count(b"id: ") == 21
        crash = {**start, "run_id": "r2", "prompt": "a [[crash]] b"}
        with contextlib.suppress(http.client.HTTPException, ConnectionError):
            call(ENGINE_PORT, "/v1/completions", crash)
        assert engine.wait(DEADLINE_S) != 0
        events = [json.loads(line)["event"] for line in log.read_text().splitlines()]
        assert events[-1] == "crash"
        assert events.count("start") == 2
