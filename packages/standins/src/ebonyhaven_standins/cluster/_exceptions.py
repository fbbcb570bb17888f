"""Exceptions raised when starting or controlling processes."""

from __future__ import annotations


class ProcessError(Exception):
    """Raised when an operation on a process fails.

    Parameters
    ----------
    step : str
        Operation that failed, such as ``start``.
    peer : str
        Name of the process.
    reason : str
        Cause, with the tail of the log of the process if there is one.
    """

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
