"""Heartbeats to the neighbours and the news that they carry."""

from __future__ import annotations

from ebonyhaven_decisions._loads import LoadTable
from ebonyhaven_decisions._members import MemberState, MemberTable
from ebonyhaven_decisions._membership_messages import Envelope, Heartbeat
from ebonyhaven_decisions._news import NewsQueues
from ebonyhaven_decisions._rings import Rings

HEARTBEAT_TICKS = 2
MAX_UPDATES = 8
MAX_LOADS = 3


class Announcements:
    """Heartbeats of one instance.

    Parameters
    ----------
    name : str
        Name of this instance.
    table : MemberTable
    loads : LoadTable
    """

    __slots__ = (
        "_load_news",
        "_loads",
        "_name",
        "_news",
        "_rings",
        "_table",
        "_table_version",
        "targets",
    )

    def __init__(self, *, name: str, table: MemberTable, loads: LoadTable):
        self._name = name
        self._table = table
        self._loads = loads
        self._news = NewsQueues()
        self._load_news = NewsQueues()
        self._rings = Rings(())
        self._table_version = -1
        self.targets: tuple[str, ...] = ()

    @property
    def has_news(self) -> bool:
        """Whether changed records wait to be sent."""
        return bool(self._news.waiting())

    def add_record(self, name: str, *, informant: str = "") -> None:
        """Queue the record of an instance for all neighbours but one.

        Parameters
        ----------
        name : str
        informant : str
        """
        self._news.add(name, informant=informant)

    def add_load(self, name: str, *, informant: str = "") -> None:
        """Queue the load report of an instance for all neighbours but one.

        Parameters
        ----------
        name : str
        informant : str
        """
        self._load_news.add(name, informant=informant)

    def arrange(self) -> bool:
        """Choose the neighbours anew if the member table changed.

        Returns
        -------
        bool
            Whether it had changed.
        """
        if self._table_version == self._table.version:
            return False
        self._table_version = self._table.version
        self._rings = Rings(self._table)
        self.targets = self._rings.targets(self._name)
        self._news.set_neighbours(self.targets, introduce=self._name)
        self._load_news.set_neighbours(self.targets, introduce=self._name)
        return True

    def sources(self) -> tuple[str, ...]:
        """Return the instances whose heartbeats this instance expects."""
        return self._rings.sources(self._name)

    def watchers(self, name: str) -> list[str]:
        """Return the other instances that hear an instance's heartbeats.

        Parameters
        ----------
        name : str

        Returns
        -------
        list of str
        """
        return [each for each in self._rings.targets(name) if each != self._name]

    def make_turn(self, turn: int, state: MemberState) -> list[Envelope]:
        """Return the heartbeats that are due in one of the staggered turns.

        Parameters
        ----------
        turn : int
            Count of the ticks.
        state : MemberState
            Announced state of this instance.

        Returns
        -------
        list of Envelope
        """
        first = turn % HEARTBEAT_TICKS
        return [self.make(name, state) for name in self.targets[first::HEARTBEAT_TICKS]]

    def make_news(
        self, state: MemberState, *, everyone: bool = False
    ) -> list[Envelope]:
        """Return heartbeats for the neighbours that changed records wait for.

        Parameters
        ----------
        state : MemberState
            Announced state of this instance.
        everyone : bool
            Whether to send to the other neighbours as well.

        Returns
        -------
        list of Envelope
        """
        names = self.targets if everyone else self._news.waiting()
        return [self.make(name, state) for name in names]

    def make(self, neighbour: str, state: MemberState) -> Envelope:
        """Return a heartbeat with the news that wait for a neighbour.

        Parameters
        ----------
        neighbour : str
        state : MemberState
            Announced state of this instance.

        Returns
        -------
        Envelope
        """
        records = map(self._table.get, self._news.take(neighbour, MAX_UPDATES))
        reports = map(self._loads.get, self._load_news.take(neighbour, MAX_LOADS))
        heartbeat = Heartbeat(
            state=state,
            digest=self._table.digest,
            updates=tuple(filter(None, records)),
            loads=tuple(filter(None, reports)),
        )
        address = self._table.get(neighbour).control_address
        return Envelope(neighbour, address, heartbeat)
