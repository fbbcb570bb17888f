"""Sets of processes that run the control part of a node."""

from __future__ import annotations

import json
import sys
import urllib.request
from typing import Any

from ebonyhaven_standins.cluster import ProcessSet, allocate_address

CALL_TIMEOUT_S = 40.0
DATA_CENTRE_COUNT = 3


class ControlNodeProcesses(ProcessSet):
    """Processes that find each other through a list of all of them.

    Parameters
    ----------
    count : int
        How many are started; they are named ``n0``, ``n1`` and so on.
    **settings : object
        Further `ControlNodeSettings` of each.
    """

    def __init__(self, count: int, **settings: object):
        super().__init__()
        self._settings = settings
        self.names = [f"n{index}" for index in range(count)]
        self.caller_addresses: dict[str, str] = {}
        self.control_addresses: dict[str, str] = {}
        for name in self.names:
            self.caller_addresses[name] = allocate_address()
            self.control_addresses[name] = allocate_address()
        for name in self.names:
            self.start(name)
        self.wait_until_ready()

    def start(self, name: str, *, wait: bool = False, **settings: object) -> None:
        """Start one of the named processes, again if it has ended.

        Parameters
        ----------
        name : str
        wait : bool
            Whether to block until it is ready.
        **settings : object
            Settings that differ from those of the others.
        """
        content = {
            "instance": name,
            "caller_address": self.caller_addresses[name],
            "control_address": self.control_addresses[name],
            "data_centre": f"dc-{self.names.index(name) % DATA_CENTRE_COUNT}",
            "seeds": self.control_addresses,
            **self._settings,
            **settings,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        module = "ebonyhaven_standins.control_node"
        command = [sys.executable, "-m", module, "--settings", str(path)]
        self.launch(name, command, wait=wait)

    def call(self, name: str, path: str, *, method: str = "GET") -> bytes:
        """Return the body of an HTTP answer of a process.

        Parameters
        ----------
        name, path, method : str
        """
        url = f"http://{self.caller_addresses[name]}{path}"
        request = urllib.request.Request(url, method=method)
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
            return answer.read()

    def list_live(self, name: str) -> set[str]:
        """Return the names that a process regards as live.

        Parameters
        ----------
        name : str
        """
        members: list[dict[str, Any]] = json.loads(self.call(name, "/members"))
        return {record["name"] for record in members if record["state"] == 0}

    def list_entry_instances(self, name: str, *, answers: int = 12) -> set[str]:
        """Return whom a process offers in several answers together.

        Parameters
        ----------
        name : str
        answers : int
        """
        offered = set()
        for _ in range(answers):
            entries = json.loads(self.call(name, "/v1/entries"))["entries"]
            offered |= {entry["instance"] for entry in entries}
        return offered

    def has_converged(self) -> bool:
        """Return whether each process regards all of them as live."""
        everybody = set(self.names)
        return all(self.list_live(name) == everybody for name in self.names)
