"""Real processes of the platform stand-in for tests."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import urllib.request
from collections.abc import Iterator
from typing import Any

_ports = iter(range(7000, 7999))


def derive_host(last: int = 1) -> str:
    """Return a loopback address that no other running test process uses."""
    number = os.getpid()
    return (
        f"127.{64 + (number >> 14) % 64}.{(number >> 7) % 128}.{(number % 128) + last}"
    )


@contextlib.contextmanager
def run_platform(*options: str) -> Iterator[str]:
    """Run a platform stand-in and yield its address."""
    address = f"{derive_host()}:{next(_ports)}"
    command = [sys.executable, "-m", "ebonyhaven_standins.platform"]
    process = subprocess.Popen(
        [*command, "--address", address, *options],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout.readline() == "ready\n"
        yield address
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def send_json(method: str, address: str, path: str, body: Any) -> Any:
    """Send a JSON body and return the JSON answer."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=json.dumps(body).encode(),
        method=method,
    )
    with urllib.request.urlopen(request) as response:
        return json.load(response)


def set_faults(address: str, **faults: Any) -> None:
    """Change faults of the stand-in."""
    send_json("POST", address, "/faults", faults)
