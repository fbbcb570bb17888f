"""Starts processes with the control part of a node."""

from __future__ import annotations

import json
import sys
import time
import urllib.error
import urllib.request
from typing import Any

from ebonyhaven_standins.cluster import allocate_address
from ebonyhaven_standins.cluster._process_set import ProcessSet

DEADLINE_S = 40.0


class ControlNodes(ProcessSet):
    """Processes that find each other through a few seeds.

    Parameters
    ----------
    count : int
        How many are started.
    """

    def __init__(self, count: int):
        super().__init__()
        self.names = [f"n{index}" for index in range(count)]
        self.callers = {name: allocate_address() for name in self.names}
        self.controls = {name: allocate_address() for name in self.names}
        for index, name in enumerate(self.names):
            self.start(name, data_centre=f"dc-{index % 3}")
        self.wait_until_ready()

    def start(self, name: str, *, data_centre: str = "dc-0", wait: bool = False):
        self.callers.setdefault(name, allocate_address())
        self.controls.setdefault(name, allocate_address())
        settings = {
            "instance": name,
            "caller_address": self.callers[name],
            "control_address": self.controls[name],
            "data_centre": data_centre,
            "seeds": {each: self.controls[each] for each in self.names},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        module = "ebonyhaven_standins.control_node"
        command = [sys.executable, "-m", module, "--settings", str(path)]
        self.launch(name, command, wait=wait)

    def call(self, name: str, path: str, *, method: str = "GET") -> Any:
        url = f"http://{self.callers[name]}{path}"
        request = urllib.request.Request(url, method=method)
        with urllib.request.urlopen(request, timeout=DEADLINE_S) as answer:
            return json.load(answer)

    def offered(self, name: str) -> set[str]:
        """Return whom a process would offer in many answers together."""
        offered = set()
        for _ in range(12):
            entries = self.call(name, "/v1/entries")["entries"]
            offered |= {entry["instance"] for entry in entries}
        return offered

    def live(self, name: str) -> set[str]:
        members = self.call(name, "/members")
        return {record["name"] for record in members if record["state"] == 0}


def wait_until(condition, *, deadline_s: float = DEADLINE_S) -> float:
    """Poll until a condition holds and return the seconds that it took."""
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < deadline_s, "not reached in time"
        time.sleep(0.02)
    return time.monotonic() - started
