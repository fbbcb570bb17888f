"""The processes of one cluster, by name."""

from __future__ import annotations

import contextlib
import pathlib
import sys
import tempfile
import threading
from types import TracebackType
from typing import Self

from ebonyhaven_standins.cluster._processes import READY_DEADLINE_S, ChildProcess


class ProcessSet:
    """Owns child processes and their logs, and steers them by name.

    A context manager: leaving it kills every process and removes the folder;
    leaving it by an exception first prints the ends of the logs.

    Parameters
    ----------
    keep_folder : pathlib.Path or None
        Folder for logs that outlives the processes; a temporary one otherwise.
    """

    def __init__(self, *, keep_folder: pathlib.Path | None = None) -> None:
        self._stack = contextlib.ExitStack()
        self._children: dict[str, ChildProcess] = {}
        self._lock = threading.Lock()
        if keep_folder is None:
            keep_folder = pathlib.Path(
                self._stack.enter_context(
                    tempfile.TemporaryDirectory(prefix="ebonyhaven-")
                )
            )
        self.folder = keep_folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self._stack.callback(self._kill_all)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if error is not None:
            print(self.describe_failure(), file=sys.stderr)
        self.close()

    def close(self) -> None:
        """Kill every process and remove the temporary folder."""
        self._stack.close()

    def launch(self, name: str, command: list[str], *, wait: bool) -> None:
        """Start a process under a name.

        Parameters
        ----------
        name : str
            Name; an earlier process of that name must have ended.
        command : list of str
            Program and arguments.
        wait : bool
            Whether to block until it is ready.
        """
        with self._lock:
            count = sum(1 for _ in self.folder.glob(f"{name}.*.log"))
            log_path = self.folder / f"{name}.{count}.log"
            child = ChildProcess(name=name, command=command, log_path=log_path)
            self._children[name] = child
        if wait:
            child.wait_until_ready()

    def wait_until_ready(
        self, *names: str, deadline_s: float = READY_DEADLINE_S
    ) -> None:
        """Block until the named processes, or all, are ready.

        Parameters
        ----------
        *names : str
            Processes to wait for.
        deadline_s : float
            Longest wait for each in seconds.

        Raises
        ------
        ProcessError
            If one ended or was not ready in time.
        """
        for name in names or tuple(self._children):
            self._children[name].wait_until_ready(deadline_s)

    def child(self, name: str) -> ChildProcess:
        """Return a process by its name."""
        return self._children[name]

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self._children[name].kill()

    def pause(self, name: str) -> None:
        """Stop a process until `resume`."""
        self._children[name].pause()

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self._children[name].resume()

    def terminate(self, name: str) -> None:
        """Ask a process to shut down; does not wait for it."""
        self._children[name].terminate()

    def restart(self, name: str, *, wait: bool = True) -> None:
        """Start a process again with its command, after killing it if it runs."""
        old = self._children[name]
        old.kill()
        self.launch(name, old.command, wait=wait)

    def describe_failure(self) -> str:
        """Return the ends of all logs, for a failing test."""
        parts = []
        for name, child in self._children.items():
            if child.log_path.exists():
                parts.append(f"--- {name} (exit {child.exit_code})")
                parts.append(child.read_tail())
        return "\n".join(parts)

    def _kill_all(self) -> None:
        for child in self._children.values():
            child.kill()
