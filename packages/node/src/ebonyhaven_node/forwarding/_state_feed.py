"""Distribution of what a reader reads from the store between instances."""

from __future__ import annotations

import math

import structlog
from ebonyhaven_decisions import MemberRecord, MemberState
from ebonyhaven_decisions.forwarding import find_reader_rank, list_readers
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._configuration_feed import ConfigurationFeed
from ebonyhaven_node.forwarding.interfaces import ReadGroup, StateSource

# In a larger deployment each data centre has a reader of its own, which bounds the
# messages that one instance sends and keeps them within the data centre.
MAX_INSTANCES_OF_ONE_READER = 24
# A reader that has not heard that this instance takes changes hears it again.
TELL_INTERVAL_S = 5.0

_log = structlog.get_logger()


class ServerChangeFeed(ReadGroup):
    """Passes what this instance reads on to its group, if it is one of its readers.

    Parameters
    ----------
    source : StateSource
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    link_bytes_per_s : float or None
        What the link of this instance carries; None if unknown.
    """

    def __init__(
        self,
        *,
        source: StateSource,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        link_bytes_per_s: float | None = None,
    ):
        self._source = source
        self._membership = membership
        self._reactor = reactor
        self._configurations = ConfigurationFeed(
            send=membership.send, reactor=reactor, link_bytes_per_s=link_bytes_per_s
        )
        self._told: dict[tuple[str, int], float] = {}  # times by name and incarnation
        membership.observe_view(self._tell_readers)
        channels.subscribe(FrameKind.TAKES_CHANGES, self._receive_taking)
        channels.subscribe(FrameKind.SERVER_CHANGES, self._receive)
        source.connect_group(self)

    def find_rank(self) -> int:
        """See `ReadGroup.find_rank`."""
        names = [record.name for record in self._list_group()]
        return find_reader_rank(self._membership.own.name, names)

    def count_instances(self) -> int:
        """See `ReadGroup.count_instances`."""
        return len(self._list_live())

    def shares_configuration(self) -> bool:
        """See `ReadGroup.shares_configuration`.

        In a small deployment each instance polls, so that none depends on another.
        """
        return self.count_instances() > MAX_INSTANCES_OF_ONE_READER

    def publish_changes(self, payload: object) -> None:
        """See `ReadGroup.publish_changes`."""
        names = [record.name for record in self._list_others()]
        self._membership.send_to_all(names, FrameKind.SERVER_CHANGES, payload)

    def publish_configuration(
        self, state: object | None, change: object | None
    ) -> None:
        """See `ReadGroup.publish_configuration`."""
        group = {record.name: record.incarnation for record in self._list_others()}
        self._configurations.publish(state, change, group)

    def stop(self) -> None:
        """Send nothing of what waits."""
        self._configurations.stop()

    def _list_live(self) -> list[MemberRecord]:
        return [
            record
            for record in self._membership.members
            if record.state is MemberState.LIVE
        ]

    def _list_others(self) -> list[MemberRecord]:
        own = self._membership.own.name
        return [record for record in self._list_group() if record.name != own]

    def _list_group(self) -> list[MemberRecord]:
        """Return the live instances that share a reader, including this one."""
        live = self._list_live()
        own = self._membership.own
        if len(live) > MAX_INSTANCES_OF_ONE_READER:
            live = [each for each in live if each.data_centre == own.data_centre]
        return live

    def _receive(self, frame: Frame) -> None:
        try:
            self._source.apply_changes(frame.payload)
        except (TypeError, ValueError) as error:
            _log.warning(
                "server_changes_malformed", peer=frame.sender, reason=str(error)
            )
        self._tell_reader(frame.sender, frame.incarnation)

    def _tell_readers(self) -> None:
        """Tell the standbys as well, each of which may become the reader."""
        if not self.shares_configuration():
            return
        others = {record.name: record.incarnation for record in self._list_others()}
        for name in list_readers([*others, self._membership.own.name]):
            if name in others:
                self._tell_reader(name, others[name])

    def _tell_reader(self, name: str, incarnation: int) -> None:
        """Tell an instance that this one takes changes of configurations."""
        now = self._reactor.seconds()
        told_at = self._told.get((name, incarnation), -math.inf)
        if now - told_at < TELL_INTERVAL_S or not self.shares_configuration():
            return
        self._told = {
            each: at for each, at in self._told.items() if now - at < TELL_INTERVAL_S
        }
        self._told[name, incarnation] = now
        self._membership.send(name, FrameKind.TAKES_CHANGES, [])

    def _receive_taking(self, frame: Frame) -> None:
        self._configurations.record_taking(frame.sender, frame.incarnation)
