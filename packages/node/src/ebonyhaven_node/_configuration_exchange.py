"""Interface to exchange configuration versions with other instances."""

from __future__ import annotations

import abc

import attrs
from ebonyhaven_decisions import ConfigurationEntry


@attrs.frozen(slots=True, kw_only=True)
class ConfigurationResponse:
    """Response to a configuration request.

    Parameters
    ----------
    version : int
        Active version of the sender, 0 while it is starting.
    highest_version : int
        Highest version that the sender knows.
    request_incarnation : int
        Incarnation in the request.
    entry : ConfigurationEntry or None
        Content of ``version``; None while the sender is starting or if the
        requesting instance already has it.
    """

    version: int
    highest_version: int
    request_incarnation: int
    entry: ConfigurationEntry | None


class ConfigurationPeers(abc.ABC):
    """Sends configuration messages to other instances."""

    @abc.abstractmethod
    def list_names(self) -> list[str]:
        """Return the names of the other known instances."""

    @abc.abstractmethod
    def count_listed_instances(self) -> int:
        """Return the number of listed instances, including this one.

        Returns 0 while the list is incomplete.
        """

    @abc.abstractmethod
    def announce(self) -> None:
        """Announce a new active version ahead of the next regular heartbeat."""

    @abc.abstractmethod
    def send_request(self, name: str, content_version: int, incarnation: int) -> None:
        """Request the active version of an instance, and its content if it is newer.

        Parameters
        ----------
        name : str
            Name of the instance.
        content_version : int
            Highest version of which this instance has the content; the response
            includes the content of a higher version.
        incarnation : int
            Incarnation of this instance, returned in the response.
        """

    @abc.abstractmethod
    def send_response(self, name: str, response: ConfigurationResponse) -> None:
        """Send the response to a configuration request."""
