"""Distribution of changes of the server list between instances."""

from __future__ import annotations

import structlog
from ebonyhaven_decisions import MemberRecord, MemberState
from ebonyhaven_decisions.forwarding import choose_reader

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding.interfaces import StateSource

# In a larger deployment each data centre has a reader of its own, which bounds the
# messages that one instance sends and keeps them within the data centre.
MAX_INSTANCES_OF_ONE_READER = 24

_log = structlog.get_logger()


class ServerChangeFeed:
    """Passes changes on to a group of instances if this one is its reader.

    Parameters
    ----------
    source : StateSource
    membership : MembershipController
    channels : Channels
    """

    def __init__(
        self,
        *,
        source: StateSource,
        membership: MembershipController,
        channels: Channels,
    ):
        self._source = source
        self._membership = membership
        channels.subscribe(FrameKind.SERVER_CHANGES, self._receive)
        source.connect_feed(
            is_reader=self.is_reader,
            count_instances=self._count_instances,
            publish=self._publish,
        )

    def is_reader(self) -> bool:
        """Return whether this instance reads the list for its group."""
        return choose_reader(self._list_group()) == self._membership.own.name

    def _list_live(self) -> list[MemberRecord]:
        return [
            record
            for record in self._membership.members
            if record.state is MemberState.LIVE
        ]

    def _list_group(self) -> list[str]:
        """Return the live instances that share a reader, including this one."""
        live = self._list_live()
        own = self._membership.own
        if len(live) > MAX_INSTANCES_OF_ONE_READER:
            live = [each for each in live if each.data_centre == own.data_centre]
        return [each.name for each in live]

    def _count_instances(self) -> int:
        return len(self._list_live())

    def _publish(self, payload: object) -> None:
        for name in self._list_group():
            if name != self._membership.own.name:
                self._membership.send(name, FrameKind.SERVER_CHANGES, payload)

    def _receive(self, frame: Frame) -> None:
        try:
            self._source.apply_changes(frame.payload)
        except (TypeError, ValueError) as error:
            _log.warning(
                "server_changes_malformed", peer=frame.sender, reason=str(error)
            )
