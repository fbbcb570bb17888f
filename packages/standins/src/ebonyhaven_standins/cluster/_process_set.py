"""Named child processes with a common log folder."""

from __future__ import annotations

import contextlib
import pathlib
import sys
import tempfile
import threading
from types import TracebackType
from typing import Self

from ebonyhaven_standins.cluster._processes import READY_TIMEOUT_S, ChildProcess


class ProcessSet:
    """Starts and controls child processes by name.

    As a context manager, it kills all processes on exit and removes a temporary
    folder. If an exception is raised, it first prints the tails of the logs.

    Parameters
    ----------
    persistent_folder : pathlib.Path or None
        Folder for logs that is kept on exit; a temporary one if None.
    """

    def __init__(self, *, persistent_folder: pathlib.Path | None = None) -> None:
        self._stack = contextlib.ExitStack()
        self._children: dict[str, ChildProcess] = {}
        self._lock = threading.Lock()
        if persistent_folder is None:
            persistent_folder = pathlib.Path(
                self._stack.enter_context(
                    tempfile.TemporaryDirectory(prefix="ebonyhaven-")
                )
            )
        self.folder = persistent_folder
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
            print(self.format_log_tails(), file=sys.stderr)
        self.close()

    def close(self) -> None:
        """Kill every process and remove the temporary folder."""
        self._stack.close()

    def launch(self, name: str, command: list[str], *, wait: bool) -> None:
        """Start a named process.

        Parameters
        ----------
        name : str
            Name; a previous process with that name must have exited.
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

    def wait_until_ready(self, *names: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Block until the given processes are ready.

        Parameters
        ----------
        *names : str
            Names of the processes; all if empty.
        timeout_s : float
            Timeout for each process in seconds.

        Raises
        ------
        ProcessError
            If a process exited or was not ready in time.
        """
        for name in names or tuple(self._children):
            self._children[name].wait_until_ready(timeout_s)

    def child(self, name: str) -> ChildProcess:
        """Return the process with a name."""
        return self._children[name]

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        self._children[name].kill()

    def pause(self, name: str) -> None:
        """Suspend a process until `resume`."""
        self._children[name].pause()

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._children[name].resume()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process without waiting for its exit."""
        self._children[name].terminate()

    def restart(self, name: str, *, wait: bool = True) -> None:
        """Kill a process if it runs and start it again with the same command."""
        old = self._children[name]
        old.kill()
        self.launch(name, old.command, wait=wait)

    def format_log_tails(self) -> str:
        """Return the exit codes and log tails of all processes."""
        lines = []
        for name, child in self._children.items():
            if child.log_path.exists():
                lines.append(f"--- {name} (exit {child.exit_code})")
                lines.append(child.read_tail())
        return "\n".join(lines)

    def _kill_all(self) -> None:
        for child in self._children.values():
            child.kill()
