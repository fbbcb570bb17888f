"""Eventually consistent list of registered instances and backend servers."""

from __future__ import annotations

from collections import deque
from typing import Any


class LaggingInstanceList:
    """Instance list whose reads lag behind its writes.

    Parameters
    ----------
    lag_ms : float
        Delay in milliseconds until a change becomes visible to readers.
    """

    __slots__ = ("_pending", "_visible", "lag_ms")

    def __init__(self, *, lag_ms: float):
        self.lag_ms = lag_ms
        self._pending: deque[tuple[float, str, dict[str, Any] | None]] = deque()
        self._visible: dict[str, dict[str, Any]] = {}

    def put(self, now: float, name: str, entry: dict[str, Any] | None) -> None:
        """Register, change or remove an entry.

        Parameters
        ----------
        now : float
            Current time in seconds.
        name : str
            Name of the instance or backend server.
        entry : dict or None
            New entry; None removes the entry with this name.
        """
        self._pending.append((now, name, entry))

    def read(self, now: float) -> list[dict[str, Any]]:
        """Return the entries visible at ``now``, sorted by name.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list of dict
        """
        visible_until = now - self.lag_ms / 1000
        while self._pending and self._pending[0][0] <= visible_until:
            _, name, entry = self._pending.popleft()
            if entry is None:
                self._visible.pop(name, None)
            else:
                self._visible[name] = {**entry, "name": name}
        return [self._visible[name] for name in sorted(self._visible)]
