"""Blocking client of the stand-in platform."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.parse
import urllib.request
import uuid
from typing import Any

from ebonyhaven_standins.cluster._exceptions import ProcessError

CALL_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.05
_MAX_WRITE_ATTEMPTS = 20
CURRENT_CONFIGURATION_KEY = "configuration/current"


class PlatformClient:
    """Calls the HTTP interface of the stand-in platform.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the platform.
    """

    __slots__ = ("_address",)

    def __init__(self, address: str) -> None:
        self._address = address

    def call(self, method: str, path: str, body: object = None) -> Any:
        """Send a request and return the decoded response.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query string.
        body : object
            Value to send as JSON; no body if None.

        Returns
        -------
        object
            JSON value; None for an empty response.

        Raises
        ------
        urllib.error.HTTPError
            For a status of 400 or more.
        OSError
            If the platform cannot be reached.
        """
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{self._address}{path}", data=data, method=method
        )
        request.add_header("Content-Type", "application/json")
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as response:
            content = response.read()
        return json.loads(content) if content else None

    def set_faults(self, **faults: object) -> None:
        """Change faults of the platform, such as ``outage=True``."""
        self.call("POST", "/faults", faults)

    def register(self, name: str, entry: dict[str, object]) -> None:
        """Add or replace an entry of the instance list.

        Parameters
        ----------
        name : str
            Name of the instance or backend server.
        entry : dict
            Fields of the entry as in docs/PROTOCOLS.md.
        """
        self.call("PUT", f"/instances/{name}", {"name": name, **entry})

    def unregister(self, name: str) -> None:
        """Remove an entry from the instance list."""
        self.call("DELETE", f"/instances/{name}")

    def read_row(self, key: str) -> dict[str, Any] | None:
        """Return a row with its key, value and version, or None if it is absent."""
        query = urllib.parse.urlencode({"key": key})
        rows = self.call("GET", f"/table/rows?{query}")["rows"]
        return rows[0] if rows else None

    def write_declaration(
        self, declaration: dict[str, Any], *, author: str = "cluster"
    ) -> int:
        """Write a declaration as the current configuration.

        Retries a conflicting or throttled transaction with a fixed delay.

        Parameters
        ----------
        declaration : dict
            The complete declaration.
        author : str
            Author recorded with the change.

        Returns
        -------
        int
            Version of the accepted configuration.

        Raises
        ------
        ProcessError
            If all attempts failed because of conflicts or throttling.
        """
        change_id = uuid.uuid4().hex
        for _ in range(_MAX_WRITE_ATTEMPTS):
            row = self.read_row(CURRENT_CONFIGURATION_KEY)
            if row is not None and row["value"]["change_id"] == change_id:
                return row["value"]["version"]
            version = 1 + (row["value"]["version"] if row else 0)
            content = {
                "version": version,
                "change_id": change_id,
                "author": author,
                "accepted_at": time.time(),
                "declaration": declaration,
            }
            if self._compare_and_set(content, row["version"] if row else 0):
                return version
            time.sleep(RETRY_DELAY_S)
        raise ProcessError(
            step="declare", peer="platform", reason="all write attempts failed"
        )

    def _compare_and_set(self, content: dict[str, Any], row_version: int) -> bool:
        history_key = f"configuration/history/{content['version']:08d}"
        transaction = {
            "transaction_id": uuid.uuid4().hex,
            "conditions": [{"key": CURRENT_CONFIGURATION_KEY, "version": row_version}],
            "writes": [
                {"key": CURRENT_CONFIGURATION_KEY, "value": content},
                {"key": history_key, "value": content},
            ],
        }
        try:
            self.call("POST", "/table/transact", transaction)
        except urllib.error.HTTPError as error:
            if error.code not in {409, 429}:
                raise
            return False
        return True
