"""Changes that wait to be told to each neighbour."""

from __future__ import annotations

from collections.abc import Iterable


class NewsQueues:
    """Names whose newest record each neighbour has yet to be sent.

    A name waits at most once a neighbour, so the queues are bounded by the
    count of instances.
    """

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[str, dict[str, None]] = {}

    def set_neighbours(self, names: Iterable[str], *, introduce: str) -> None:
        """Set the neighbours.

        Parameters
        ----------
        names : iterable of str
        introduce : str
            Name that is queued for each new neighbour.
        """
        queues = {}
        for name in names:
            queues[name] = self._queues.get(name, {introduce: None})
        self._queues = queues

    def add(self, name: str, *, informant: str) -> None:
        """Queue a name for all neighbours.

        Parameters
        ----------
        name : str
        informant : str
            The neighbour that told it; it is left out.
        """
        for neighbour, queue in self._queues.items():
            if neighbour != informant:
                queue[name] = None

    def take(self, neighbour: str, limit: int) -> list[str]:
        """Remove and return the oldest names that wait for a neighbour.

        Parameters
        ----------
        neighbour : str
        limit : int
            Highest count of names.

        Returns
        -------
        list of str
        """
        queue = self._queues[neighbour]
        names = list(queue)[:limit]
        for name in names:
            del queue[name]
        return names

    def waiting(self) -> list[str]:
        """Return the neighbours for which names wait.

        Returns
        -------
        list of str
        """
        return [neighbour for neighbour, queue in self._queues.items() if queue]
