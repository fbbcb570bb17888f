"""Queues of the changes still to be sent to each neighbour."""

from __future__ import annotations

from collections.abc import Iterable


class UpdateQueues:
    """Names of the instances whose newest state has to be sent to each neighbour.

    A name is queued at most once for each neighbour, so the number of instances
    bounds the length of a queue.
    """

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[str, dict[str, None]] = {}

    def set_neighbours(self, names: Iterable[str], *, initial_name: str) -> None:
        """Set the neighbours; the queues of former neighbours are dropped.

        Parameters
        ----------
        names : iterable of str
        initial_name : str
            Name queued for each new neighbour.
        """
        queues = {}
        for name in names:
            queues[name] = self._queues.get(name, {initial_name: None})
        self._queues = queues

    def add(self, name: str, *, received_from: str) -> None:
        """Queue a name for all neighbours except the sender of the change.

        Parameters
        ----------
        name : str
        received_from : str
            Neighbour that sent the change; empty for none.
        """
        for neighbour, queue in self._queues.items():
            if neighbour != received_from:
                queue[name] = None

    def pop(self, neighbour: str, limit: int) -> list[str]:
        """Remove and return the oldest names queued for a neighbour.

        Parameters
        ----------
        neighbour : str
        limit : int
            Maximum number of names.

        Returns
        -------
        list of str
        """
        queue = self._queues[neighbour]
        names = list(queue)[:limit]
        for name in names:
            del queue[name]
        return names

    def pending_neighbours(self) -> list[str]:
        """Return the neighbours whose queues are not empty.

        Returns
        -------
        list of str
        """
        return [neighbour for neighbour, queue in self._queues.items() if queue]
