"""Messages about backend servers and copies that relays receive in their inboxes."""

from __future__ import annotations

from typing import NamedTuple

from ebonyhaven_decisions.forwarding import Backend


class CapacityChanged(NamedTuple):
    """Capacity may have become available on the backend servers."""


class BackendSuspected(NamedTuple):
    """A backend server is suspected to be lost or unresponsive.

    Parameters
    ----------
    server_key : tuple of (str, int)
    data_centre : str
    """

    server_key: tuple[str, int]
    data_centre: str


class TraitsDecided(NamedTuple):
    """Requests may have been blocked, or cleared, because of what they share."""


class BackendProbed(NamedTuple):
    """A probe of a backend server has finished.

    Parameters
    ----------
    server_key : tuple of (str, int)
    is_alive : bool
        Whether the server accepts connections.
    """

    server_key: tuple[str, int]
    is_alive: bool


class CopyRequestCompleted(NamedTuple):
    """A request to an engine to copy a run has finished.

    Parameters
    ----------
    holder : Backend
        Engine that stores the copy.
    handle : str or None
        Name of the copy; None if copying failed.
    """

    holder: Backend
    handle: str | None
