"""Exchange of configurations in membership messages."""

from __future__ import annotations

from typing import Any

from ebonyhaven_decisions import parse_configuration_entry

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._configuration import ConfigurationController
from ebonyhaven_node._configuration_exchange import (
    ConfigurationPeers,
    ConfigurationResponse,
)
from ebonyhaven_node._digests import Digest
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node._servers import BackendServers

DIGEST_CODE = "c"


class ConfigurationDigest(Digest):
    """Adds the active version to each heartbeat.

    Parameters
    ----------
    controller : ConfigurationController
    """

    code = DIGEST_CODE
    has_priority = True

    def __init__(self, controller: ConfigurationController):
        self._controller = controller

    def collect(self, budget_bytes: int) -> int:
        """See `Digest.collect`."""
        return self._controller.version

    def merge(self, sender: str, payload: Any) -> None:
        """See `Digest.merge`."""
        self._controller.receive_version(sender, int(payload))


class MembershipPeers(ConfigurationPeers):
    """Exchanges configurations with the members of the cluster.

    Parameters
    ----------
    controller : ConfigurationController
    membership : MembershipController
    channels : Channels
    servers : BackendServers
        Provides the instances on the platform's list.
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
        channels.subscribe(FrameKind.CONFIGURATION, self._receive_response)
        channels.subscribe(FrameKind.CONFIGURATION_REQUEST, self._receive_request)

    def list_names(self) -> list[str]:
        """See `ConfigurationPeers.list_names`."""
        own_name = self._membership.own.name
        names = (record.name for record in self._membership.members)
        return [name for name in names if name != own_name]

    def count_listed_instances(self) -> int:
        """See `ConfigurationPeers.count_listed_instances`."""
        if not self._servers.has_complete_list:
            return 0
        listed = {item.name for item in self._servers.instances}
        return len(listed | {self._membership.own.name})

    def announce(self) -> None:
        """See `ConfigurationPeers.announce`."""
        self._membership.schedule_heartbeats()

    def send_request(self, name: str, content_version: int, incarnation: int) -> None:
        """See `ConfigurationPeers.send_request`."""
        payload = [content_version, incarnation]
        self._membership.send(name, FrameKind.CONFIGURATION_REQUEST, payload)

    def send_response(self, name: str, response: ConfigurationResponse) -> None:
        """See `ConfigurationPeers.send_response`."""
        entry = response.entry.serialize() if response.entry is not None else None
        payload = [
            response.version,
            response.highest_version,
            response.request_incarnation,
            entry,
        ]
        self._membership.send(name, FrameKind.CONFIGURATION, payload)

    def _receive_request(self, frame: Frame) -> None:
        content_version, incarnation = frame.payload
        self._controller.receive_request(
            frame.sender, int(incarnation), int(content_version)
        )

    def _receive_response(self, frame: Frame) -> None:
        version, highest_version, request_incarnation, entry = frame.payload
        response = ConfigurationResponse(
            version=int(version),
            highest_version=int(highest_version),
            request_incarnation=int(request_incarnation),
            entry=parse_configuration_entry(entry) if entry is not None else None,
        )
        self._controller.receive_response(frame.sender, response)
