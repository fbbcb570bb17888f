"""Interfaces of the source of configuration and server list."""

from __future__ import annotations

import abc
from typing import NamedTuple

from ebonyhaven_decisions.forwarding import ServerListVersion


class StateVersion(NamedTuple):
    """Versions of the state of an instance; 0 for none.

    Parameters
    ----------
    configuration : int
    era, servers : int
        See `ServerListVersion`.
    """

    configuration: int
    era: int
    servers: int

    @property
    def server_list(self) -> ServerListVersion:
        """Version of the server list."""
        return ServerListVersion(self.era, self.servers)

    @property
    def is_complete(self) -> bool:
        """Whether there are both a configuration and a server list."""
        return self.configuration > 0 and self.servers > 0


NO_STATE = StateVersion(0, 0, 0)


class ReadGroup(abc.ABC):
    """Instances that share what they read from the source of the state."""

    @abc.abstractmethod
    def find_rank(self) -> int:
        """Return the place of this instance among the readers, `find_reader_rank`."""

    @abc.abstractmethod
    def count_instances(self) -> int:
        """Return the number of instances that follow the source, in all groups."""

    @abc.abstractmethod
    def shares_configuration(self) -> bool:
        """Return whether only readers poll the configuration."""

    @abc.abstractmethod
    def publish_changes(self, payload: object) -> None:
        """Pass changes of the server list on to the group.

        Parameters
        ----------
        payload : object
            JSON value for `StateSource.apply_changes`.
        """

    @abc.abstractmethod
    def publish_configuration(
        self, state: object | None, change: object | None
    ) -> None:
        """Pass a new configuration on to the group.

        Parameters
        ----------
        state : object or None
            JSON value for `StateSource.merge`; None if it is too large.
        change : object or None
            JSON value for `StateSource.merge_change`, for instances that are sent each
            configuration; None if it is too large.
        """


class StateSource(abc.ABC):
    """Source of the configuration and the list of backend servers.

    It updates the `ForwardingState` that it was built with on each change and never
    replaces a newer version by an older one.
    """

    @abc.abstractmethod
    def start(self) -> None:
        """Start reading the source and its changes."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop reading the source."""

    @abc.abstractmethod
    def read_version(self) -> StateVersion:
        """Return the versions of configuration and server list."""

    @abc.abstractmethod
    def is_unresponsive(self) -> bool:
        """Return whether reads of the source fail or time out."""

    @abc.abstractmethod
    def measure_configuration_age_s(self) -> float:
        """Return the time since the configuration was last known to be current.

        Returns
        -------
        float
            Seconds since the store answered this instance or its reader, or since the
            source was built.
        """

    @abc.abstractmethod
    def measure_list_age_s(self) -> float:
        """Return the time since the server list was last known to be current.

        Returns
        -------
        float
            Seconds since a poll of this instance or of its reader; infinite before the
            first.
        """

    @abc.abstractmethod
    async def read_server_changes(self) -> bool:
        """Read the changes of the server list at once, and apply them.

        Returns
        -------
        bool
            Whether the list holds all changes made before the call.
        """

    @abc.abstractmethod
    def connect_group(self, group: ReadGroup) -> None:
        """Share reads with other instances.

        Parameters
        ----------
        group : ReadGroup
        """

    @abc.abstractmethod
    def apply_changes(self, payload: object) -> None:
        """Apply changes that the reader of this instance published.

        Parameters
        ----------
        payload : object
            JSON value.

        Raises
        ------
        TypeError, ValueError
            If the payload is malformed.
        """

    @abc.abstractmethod
    def refresh_configuration(self) -> None:
        """Read the configuration at once, because a peer has a newer one."""

    @abc.abstractmethod
    def export(self, known: StateVersion = NO_STATE) -> object:
        """Return what a peer lacks of configuration and server list.

        Parameters
        ----------
        known : StateVersion
            Of the peer.

        Returns
        -------
        object
            JSON value.
        """

    @abc.abstractmethod
    def merge_change(self, payload: object) -> int | None:
        """Apply the change from one configuration to the next.

        Parameters
        ----------
        payload : object
            JSON value.

        Returns
        -------
        int or None
            Version after the change if this instance has to read it from the source;
            None if it has it now, or a newer one.

        Raises
        ------
        TypeError, ValueError
            If the payload is malformed.
        """

    @abc.abstractmethod
    def merge(self, payload: object) -> None:
        """Apply what is newer in the export of a peer.

        Parameters
        ----------
        payload : object
            JSON value.

        Raises
        ------
        TypeError, ValueError, KeyError
            If the payload is malformed.
        """
