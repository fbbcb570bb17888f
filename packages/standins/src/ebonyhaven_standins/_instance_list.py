"""List of live and leaving instances that lags behind its registrations."""

from __future__ import annotations

from collections import deque
from typing import Any


class LaggingInstanceList:
    """Shows registrations only after a lag.

    Parameters
    ----------
    lag_ms : float
        Age in milliseconds of what a reader sees.
    """

    __slots__ = ("_pending", "_shown", "lag_ms")

    def __init__(self, *, lag_ms: float):
        self.lag_ms = lag_ms
        self._pending: deque[tuple[float, str, dict[str, Any] | None]] = deque()
        self._shown: dict[str, dict[str, Any]] = {}

    def put(self, now: float, name: str, entry: dict[str, Any] | None) -> None:
        """Register or change an entry; None removes it.

        Parameters
        ----------
        now : float
            Present time in seconds.
        name : str
            Name of the instance or backend server.
        entry : dict or None
            The entry as it is to be listed.
        """
        self._pending.append((now, name, entry))

    def read(self, now: float) -> list[dict[str, Any]]:
        """Return the entries as they were one lag ago, by name."""
        horizon = now - self.lag_ms / 1000
        while self._pending and self._pending[0][0] <= horizon:
            _, name, entry = self._pending.popleft()
            if entry is None:
                self._shown.pop(name, None)
            else:
                self._shown[name] = {**entry, "name": name}
        return [self._shown[name] for name in sorted(self._shown)]
