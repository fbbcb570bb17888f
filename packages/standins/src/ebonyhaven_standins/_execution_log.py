"""Line-buffered execution log of a stand-in backend server."""

from __future__ import annotations

import json
import time
from typing import TextIO


class ExecutionLog:
    """Appends events to a file as JSON lines.

    The file is line-buffered, so written events survive a kill of the process.

    Parameters
    ----------
    path : str
        File to append to.
    server : str
        Name of the backend server, included in every line.
    """

    __slots__ = ("_file", "_server")

    def __init__(self, path: str, server: str):
        self._file: TextIO = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115
        self._server = server

    def write(self, event: str, **fields: object) -> None:
        """Append one event.

        Parameters
        ----------
        event : str
            Event name, such as ``start`` or ``finish``.
        **fields : object
            Additional JSON members of the line.
        """
        record = {"time": time.time(), "server": self._server, "event": event}
        record.update(fields)
        self._file.write(json.dumps(record, separators=(",", ":")) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
