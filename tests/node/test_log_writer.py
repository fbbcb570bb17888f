from __future__ import annotations

import json
import os

import structlog
from ebonyhaven_node._log_writer import BoundedLogWriter, RoutineLogLimiter

LINE = "x" * 999 + "\n"


def read_all(descriptor) -> bytes:
    os.set_blocking(descriptor, False)
    chunks = []
    while True:
        try:
            data = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return b"".join(chunks)
        if not data:
            return b"".join(chunks)
        chunks.append(data)


def test_stalled_reader_does_not_block_the_writer():
    reader, descriptor = os.pipe()
    writer = BoundedLogWriter(descriptor, max_bytes=50_000)
    for _ in range(1000):  # a pipe buffers 64 KiB
        writer.write(LINE)
    assert writer.dropped > 800
    dropped = writer.dropped
    first_output = read_all(reader)
    assert first_output.startswith(LINE.encode())
    writer.drain()
    read_all(reader)
    writer.write("after\n")
    last_output = read_all(reader).decode()
    assert f'"count": {dropped}' in last_output
    assert last_output.endswith("after\n")
    os.close(descriptor)
    os.close(reader)


def test_partially_written_lines_are_completed():
    reader, descriptor = os.pipe()
    writer = BoundedLogWriter(descriptor, max_bytes=1 << 20)
    for number in range(300):
        writer.write(f"{number:04d}" + LINE)
    data = read_all(reader)
    while data.count(b"\n") < 300:
        writer.drain()
        data += read_all(reader)
    lines = data.decode().splitlines()
    assert [int(line[:4]) for line in lines] == list(range(300))
    assert {len(line) for line in lines} == {1003}  # four digits and a line of 999


def test_closed_reader_drops_lines_without_an_error():
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = BoundedLogWriter(descriptor)
    writer.write("lost\n")
    writer.write("lost\n")
    assert writer.dropped == 2


def test_routine_lines_are_limited_and_warnings_are_never_dropped():
    now = [10.0]
    limiter = RoutineLogLimiter(5, clock=lambda: now[0])
    logged = []

    def log(method):
        try:
            logged.append((method, limiter(None, method, {"event": "e"})))
        except structlog.DropEvent:
            return

    for _ in range(20):
        log("info")
    for _ in range(20):
        log("warning")
    assert [method for method, _ in logged].count("info") == 5
    assert [method for method, _ in logged].count("warning") == 20
    assert logged[5][1]["routine_lines_dropped"] == 15
    now[0] = 11.0
    log("info")
    assert logged[-1][0] == "info"
    assert limiter.dropped == 15
    json.dumps(logged)
