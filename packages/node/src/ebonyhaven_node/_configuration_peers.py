"""Configurations between instances over the membership's messages."""

from __future__ import annotations

from typing import Any

from ebonyhaven_decisions import parse_configuration_entry

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._configuration import ConfigurationController
from ebonyhaven_node._configuration_exchange import (
    ConfigurationMessage,
    ConfigurationPeers,
)
from ebonyhaven_node._digests import Digest
from ebonyhaven_node._frames import Frame, Kind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node._servers import BackendServers

DIGEST_CODE = "c"


class ConfigurationDigest(Digest):
    """Tells the version in force with each heartbeat.

    Parameters
    ----------
    controller : ConfigurationController
    """

    code = DIGEST_CODE
    first = True

    def __init__(self, controller: ConfigurationController):
        self._controller = controller

    def collect(self, budget_bytes: int) -> int:
        """See `Digest.collect`."""
        return self._controller.version

    def merge(self, sender: str, payload: Any) -> None:
        """See `Digest.merge`."""
        self._controller.receive_version(sender, int(payload))


class MembershipPeers(ConfigurationPeers):
    """Exchanges configurations with the instances that membership knows.

    Parameters
    ----------
    controller : ConfigurationController
    membership : MembershipController
    channels : Channels
    servers : BackendServers
        Holds the instances on the platform's list.
    """

    def __init__(
        self,
        *,
        controller: ConfigurationController,
        membership: MembershipController,
        channels: Channels,
        servers: BackendServers,
    ):
        self._controller = controller
        self._membership = membership
        self._servers = servers
        membership.add_digest(ConfigurationDigest(controller))
        channels.subscribe(Kind.CONFIGURATION, self._receive_answer)
        channels.subscribe(Kind.CONFIGURATION_REQUEST, self._receive_question)

    def list_names(self) -> list[str]:
        """See `ConfigurationPeers.list_names`."""
        own = self._membership.own.name
        known = (record.name for record in self._membership.members)
        return [name for name in known if name != own]

    def count_listed(self) -> int:
        """See `ConfigurationPeers.count_listed`."""
        if not self._servers.has_whole_list:
            return 0
        listed = {item.name for item in self._servers.instances}
        return len(listed | {self._membership.own.name})

    def announce(self) -> None:
        """See `ConfigurationPeers.announce`."""
        self._membership.hasten()

    def ask(self, name: str, held_version: int, incarnation: int) -> None:
        """See `ConfigurationPeers.ask`."""
        payload = [held_version, incarnation]
        self._membership.send(name, Kind.CONFIGURATION_REQUEST, payload)

    def answer(self, name: str, message: ConfigurationMessage) -> None:
        """See `ConfigurationPeers.answer`."""
        entry = message.entry.serialize() if message.entry is not None else None
        payload = [message.version, message.highest_version, message.answers, entry]
        self._membership.send(name, Kind.CONFIGURATION, payload)

    def _receive_question(self, frame: Frame) -> None:
        held_version, incarnation = frame.payload
        self._controller.receive_question(
            frame.sender, int(incarnation), int(held_version)
        )

    def _receive_answer(self, frame: Frame) -> None:
        version, highest_version, answers, entry = frame.payload
        message = ConfigurationMessage(
            version=int(version),
            highest_version=int(highest_version),
            answers=int(answers),
            entry=parse_configuration_entry(entry) if entry is not None else None,
        )
        self._controller.receive_answer(frame.sender, message)
