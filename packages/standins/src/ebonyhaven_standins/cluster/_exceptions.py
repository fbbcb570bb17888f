"""Errors of starting and steering processes."""

from __future__ import annotations


class ProcessError(Exception):
    """A process did not do what was asked of it.

    Parameters
    ----------
    step : str
        What was being done, such as ``start``.
    peer : str
        Name of the process.
    reason : str
        What was seen; the tail of the process's log where there is one.
    """

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
