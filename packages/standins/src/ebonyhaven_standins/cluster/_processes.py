"""Child process with a log file."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import time

from ebonyhaven_standins.cluster._exceptions import ProcessError

READY_LINE = "ready"
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.01
_TAIL_LINES = 40


class ChildProcess:
    """Child process whose output is written to a log file.

    Parameters
    ----------
    name : str
        Name used in error messages.
    command : list of str
        Executable and arguments.
    log_path : pathlib.Path
        File that receives standard output and standard error.
    """

    __slots__ = ("_child", "_paused", "command", "log_path", "name", "started_at")

    def __init__(
        self, *, name: str, command: list[str], log_path: pathlib.Path
    ) -> None:
        self.name = name
        self.command = command
        self.log_path = log_path
        self._paused = False
        self.started_at = time.time()
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        with log_path.open("wb") as log:
            self._child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    @property
    def process_id(self) -> int:
        """Process id."""
        return self._child.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited; true for a suspended process."""
        return self._child.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative signal number, or None if the process is running."""
        return self._child.poll()

    def read_tail(self, lines: int = _TAIL_LINES) -> str:
        """Return the last lines of the log.

        Parameters
        ----------
        lines : int
            Maximum number of lines.

        Returns
        -------
        str
        """
        text = self.log_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def is_ready(self) -> bool:
        """Return whether the process has printed the line ``ready``."""
        text = self.log_path.read_text(errors="replace")
        return READY_LINE in text.splitlines()

    def wait_until_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Block until the process has printed the line ``ready``.

        Parameters
        ----------
        timeout_s : float
            Timeout in seconds.

        Raises
        ------
        ProcessError
            If the process exited or was not ready in time.
        """
        deadline = time.monotonic() + timeout_s
        while not self.is_ready():
            if not self.running:
                reason = f"exited with code {self.exit_code}\n{self.read_tail()}"
                raise ProcessError(step="start", peer=self.name, reason=reason)
            if time.monotonic() > deadline:
                reason = f"not ready after {timeout_s} s\n{self.read_tail()}"
                raise ProcessError(step="start", peer=self.name, reason=reason)
            time.sleep(_POLL_INTERVAL_S)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        if self.running:
            self._child.kill()
        self._child.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP until `resume`."""
        self._child.send_signal(signal.SIGSTOP)
        self._paused = True

    def resume(self) -> None:
        """Resume the process after `pause`."""
        self._child.send_signal(signal.SIGCONT)
        self._paused = False

    def terminate(self) -> None:
        """Send SIGTERM to the process without waiting for its exit."""
        if self.running:
            self._child.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Block until the process has exited.

        Parameters
        ----------
        timeout_s : float
            Timeout in seconds.

        Returns
        -------
        int
            Exit code, or negative signal number.

        Raises
        ------
        ProcessError
            If the process has not exited in time.
        """
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            reason = f"still running after {timeout_s} s\n{self.read_tail()}"
            raise ProcessError(step="stop", peer=self.name, reason=reason) from error
