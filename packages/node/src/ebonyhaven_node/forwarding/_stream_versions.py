"""Software version that the servers of a stream must have."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import Backend, ServiceVersions

from ebonyhaven_node.forwarding._begun_streams import BegunStream


class StreamVersion:
    """Software version that a stream is bound to by its first event.

    Events of two versions do not fit together, and servers do not check that. Until it
    is bound, a stream may begin at any version.

    Parameters
    ----------
    service : str
    versions : ServiceVersions

    Attributes
    ----------
    is_bound : bool
        Whether the caller has events of the stream.
    may_become_known : bool
        Whether the version is unknown only because not all answered that could tell it.
    """

    __slots__ = (
        "_first_server",
        "_service",
        "_version",
        "_versions",
        "is_bound",
        "may_become_known",
    )

    def __init__(self, service: str, versions: ServiceVersions):
        self._service = service
        self._versions = versions
        self._first_server: Backend | None = None
        self._version: str | None = None
        self.is_bound = False
        self.may_become_known = False

    @property
    def name(self) -> str | None:
        """The version; None if the stream is not bound or the version is unknown."""
        if self._first_server is not None:  # the list may name the version later
            return self._first_server.software_version
        return self._version

    def bind_to_server(self, backend: Backend) -> None:
        """Bind the stream to the server of its first event, unless it is bound.

        Parameters
        ----------
        backend : Backend
        """
        if not self.is_bound:
            self.is_bound = True
            self._first_server = backend

    def bind_to_begun(self, begun: BegunStream) -> None:
        """Bind a stream that began in an earlier request.

        Parameters
        ----------
        begun : BegunStream
        """
        self.is_bound = True
        self._version = begun.version
        self.may_become_known = begun.may_become_known

    def find_obstacle(self, now: float) -> str | None:
        """Return why no server can go on with the stream, or None if one may.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if not self.is_bound:
            return None
        version = self.name
        if version is None and self.may_become_known:
            return "what began the stream could not be read yet"
        if version is None:
            return "the software version that began the stream is not known"
        if not self._versions.may_serve(self._service, version, now):
            return f"no server of software version {version} is left"
        return None
