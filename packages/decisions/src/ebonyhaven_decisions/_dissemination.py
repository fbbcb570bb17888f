"""Heartbeats to neighbours, with changed member records and load reports."""

from __future__ import annotations

from ebonyhaven_decisions._loads import LoadTable
from ebonyhaven_decisions._members import MemberState, MemberTable
from ebonyhaven_decisions._membership_messages import Envelope, Heartbeat
from ebonyhaven_decisions._rings import Rings
from ebonyhaven_decisions._update_queues import UpdateQueues

HEARTBEAT_INTERVAL_TICKS = 2
MAX_RECORDS_PER_HEARTBEAT = 8
MAX_LOADS_PER_HEARTBEAT = 3


class Disseminator:
    """Builds the heartbeats of one instance.

    Changed member records and load reports are queued for each neighbour and
    piggybacked on the heartbeats sent to it.

    Parameters
    ----------
    name : str
        Name of this instance.
    table : MemberTable
    loads : LoadTable

    Attributes
    ----------
    targets : tuple of str
        Names of the neighbours, which receive heartbeats from this instance.
    """

    __slots__ = (
        "_load_queues",
        "_loads",
        "_name",
        "_rings",
        "_table",
        "_table_version",
        "_update_queues",
        "targets",
    )

    def __init__(self, *, name: str, table: MemberTable, loads: LoadTable):
        self._name = name
        self._table = table
        self._loads = loads
        self._update_queues = UpdateQueues()
        self._load_queues = UpdateQueues()
        self._rings = Rings(())
        self._table_version = -1
        self.targets: tuple[str, ...] = ()

    @property
    def has_pending_updates(self) -> bool:
        """Whether changed records are queued for any neighbour."""
        return bool(self._update_queues.pending_neighbours())

    def queue_record(self, name: str, *, received_from: str = "") -> None:
        """Queue the record of an instance for all neighbours except its sender.

        Parameters
        ----------
        name : str
        received_from : str
            Neighbour that sent it; empty if it originates from this instance.
        """
        self._update_queues.add(name, received_from=received_from)

    def queue_load(self, name: str, *, received_from: str = "") -> None:
        """Queue the load report of an instance for all neighbours except its sender.

        Parameters
        ----------
        name : str
        received_from : str
            Neighbour that sent it; empty if it originates from this instance.
        """
        self._load_queues.add(name, received_from=received_from)

    def update_targets(self) -> bool:
        """Recompute the neighbours if the member table changed.

        Returns
        -------
        bool
            Whether the member table changed since the last call.
        """
        if self._table_version == self._table.version:
            return False
        self._table_version = self._table.version
        self._rings = Rings(self._table)
        self.targets = self._rings.targets(self._name)
        self._update_queues.set_neighbours(self.targets, initial_name=self._name)
        self._load_queues.set_neighbours(self.targets, initial_name=self._name)
        return True

    def sources(self) -> tuple[str, ...]:
        """Return the instances that send heartbeats to this instance."""
        return self._rings.sources(self._name)

    def watchers(self, name: str) -> list[str]:
        """Return the other instances that receive heartbeats from an instance.

        Parameters
        ----------
        name : str

        Returns
        -------
        list of str
        """
        return [each for each in self._rings.targets(name) if each != self._name]

    def build_due_heartbeats(self, tick: int, state: MemberState) -> list[Envelope]:
        """Return the heartbeats that are due at a tick.

        The targets are spread over ``HEARTBEAT_INTERVAL_TICKS`` ticks.

        Parameters
        ----------
        tick : int
            Number of the tick.
        state : MemberState
            State that this instance announces.

        Returns
        -------
        list of Envelope
        """
        first = tick % HEARTBEAT_INTERVAL_TICKS
        return [
            self.build_heartbeat(name, state)
            for name in self.targets[first::HEARTBEAT_INTERVAL_TICKS]
        ]

    def build_update_heartbeats(
        self, state: MemberState, *, all_targets: bool = False
    ) -> list[Envelope]:
        """Return heartbeats for the neighbours that have changed records queued.

        Parameters
        ----------
        state : MemberState
            State that this instance announces.
        all_targets : bool
            Whether to include the neighbours that have nothing queued.

        Returns
        -------
        list of Envelope
        """
        names = (
            self.targets if all_targets else self._update_queues.pending_neighbours()
        )
        return [self.build_heartbeat(name, state) for name in names]

    def build_heartbeat(self, neighbour: str, state: MemberState) -> Envelope:
        """Return a heartbeat with the oldest changes queued for a neighbour.

        Parameters
        ----------
        neighbour : str
        state : MemberState
            State that this instance announces.

        Returns
        -------
        Envelope
        """
        records = map(
            self._table.get,
            self._update_queues.pop(neighbour, MAX_RECORDS_PER_HEARTBEAT),
        )
        reports = map(
            self._loads.get, self._load_queues.pop(neighbour, MAX_LOADS_PER_HEARTBEAT)
        )
        heartbeat = Heartbeat(
            state=state,
            digest=self._table.digest,
            updates=tuple(filter(None, records)),
            loads=tuple(filter(None, reports)),
        )
        address = self._table.get(neighbour).control_address
        return Envelope(neighbour, address, heartbeat)
