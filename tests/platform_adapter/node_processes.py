"""Processes of the real program, with their settings and logs."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from ebonyhaven_standins.cluster import allocate_address
from ebonyhaven_standins.log_lines import read_whole_lines

from tests.waiting import wait_until


class NodeProcess:
    """Process that runs the program with its settings file and log file."""

    def __init__(self, store_address, **changes):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="ebonyhaven-"))
        self.addresses = {
            name: allocate_address()
            for name in ("frontend", "readiness", "controlPlane", "directory")
        }
        self.metrics_address = allocate_address()
        host, _, port = self.metrics_address.rpartition(":")
        settings = {
            "nodeName": "n1",
            "zone": "dc-a",
            "region": "r1",
            "ip": host,
            "listen": self.addresses,
            "internalPorts": [int(port), int(port)],
            "seedNodes": [],
            "bounds": {
                "graceS": 4,
                "retryBudgetRatio": 0.8,
                "budgetWindowS": 10,
                "retrySlack": 150,
                "ttl_max_s": 5,
            },
            "platform": {"address": store_address},
            **changes,
        }
        self.settings_path = self.directory / "node.json"
        self.settings_path.write_text(json.dumps(settings))
        self.log_path = self.directory / "n1.log"
        self._log = self.log_path.open("wb")
        self.process = self._start()

    def _start(self) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-m", "ebonyhaven_adapter"],
            env={**os.environ, "EBONYHAVEN_NODE_FILE": str(self.settings_path)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def read_log(self) -> list[dict]:
        lines = read_whole_lines(self.log_path)
        return [json.loads(line) for line in lines if line.startswith("{")]

    def find_lines(self, event, **fields) -> list[dict]:
        return [
            line
            for line in self.read_log()
            if line.get("event") == event
            and all(line.get(name) == value for name, value in fields.items())
        ]

    def wait_for_line(self, event, **fields) -> dict:
        wait_until(lambda: self.find_lines(event, **fields))
        return self.find_lines(event, **fields)[0]

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(30)
        self._log.close()


TEARDOWN_NOTICE = "the interpreter was torn down"
_NOTING_PROGRAM = f"""
import atexit, runpy
atexit.register(print, {TEARDOWN_NOTICE!r}, flush=True)
runpy.run_module("ebonyhaven_adapter", run_name="__main__", alter_sys=True)
"""


class NotingNodeProcess(NodeProcess):
    """Process that writes to its log when its interpreter is torn down."""

    def _start(self) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-c", _NOTING_PROGRAM],
            env={**os.environ, "EBONYHAVEN_NODE_FILE": str(self.settings_path)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )


class StartingNodeProcess(NodeProcess):
    """Process that reads its settings from a pipe, and waits for them."""

    def _start(self) -> subprocess.Popen:
        self._settings = self.settings_path.read_bytes()
        self.settings_path.unlink()
        os.mkfifo(self.settings_path)
        return super()._start()

    def open_settings(self) -> int:
        """Return the writing end of the pipe once the process waits for it."""
        descriptors = []

        def is_open() -> bool:
            with contextlib.suppress(OSError):
                flags = os.O_WRONLY | os.O_NONBLOCK
                descriptors.append(os.open(self.settings_path, flags))
            return bool(descriptors)

        wait_until(is_open)
        return descriptors[0]

    def write_settings(self, descriptor: int) -> None:
        """Give the process its settings; the same are in the file from then on."""
        replacement = self.settings_path.with_suffix(".new")
        replacement.write_bytes(self._settings)
        replacement.replace(self.settings_path)
        os.write(descriptor, self._settings)
        os.close(descriptor)
