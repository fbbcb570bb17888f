"""Control nodes as child processes, see `ebonyhaven_standins.control_node`."""

from __future__ import annotations

import json
import sys
import urllib.request
from typing import Any

from ebonyhaven_standins.cluster import ProcessSet, allocate_address

CALL_TIMEOUT_S = 40.0
DATA_CENTRE_COUNT = 3


class ControlNodeProcesses(ProcessSet):
    """Control nodes that are configured with each other as seeds.

    Parameters
    ----------
    count : int
        Number of control nodes; they are named ``n0``, ``n1`` and so on.
    **settings : object
        Additional `ControlNodeSettings` of all control nodes.
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
        """Start or restart a control node; a previous process must have exited.

        Parameters
        ----------
        name : str
        wait : bool
            Whether to block until it is ready.
        **settings : object
            Settings that override the common ones.
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
        """Send an HTTP request to a control node and return the response body.

        Parameters
        ----------
        name, path, method : str
        """
        url = f"http://{self.caller_addresses[name]}{path}"
        request = urllib.request.Request(url, method=method)
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as response:
            return response.read()

    def list_live(self, name: str) -> set[str]:
        """Return the names of the instances that a control node considers live.

        Parameters
        ----------
        name : str
        """
        members: list[dict[str, Any]] = json.loads(self.call(name, "/members"))
        return {record["name"] for record in members if record["state"] == 0}

    def list_entry_instances(self, name: str, *, requests: int = 12) -> set[str]:
        """Return the instances in several entry lists of a control node.

        Each list is a random selection, so a single one may omit an instance.

        Parameters
        ----------
        name : str
        requests : int
            Number of entry lists to request.
        """
        instances = set()
        for _ in range(requests):
            entries = json.loads(self.call(name, "/v1/entries"))["entries"]
            instances |= {entry["instance"] for entry in entries}
        return instances

    def has_converged(self) -> bool:
        """Return whether every control node considers all control nodes live."""
        expected = set(self.names)
        return all(self.list_live(name) == expected for name in self.names)
