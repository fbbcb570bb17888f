"""Named links of the proxy and their faults."""

from __future__ import annotations

from collections.abc import Iterable

from twisted.internet import defer, reactor, task

from ebonyhaven_standins.fault_proxy._faults import FaultKind, LinkFaults
from ebonyhaven_standins.fault_proxy._forwarding import LinkFactory
from ebonyhaven_standins.fault_proxy._full_listener import FullListener


class Link:
    """Listening address that forwards connections to a target.

    Parameters
    ----------
    name : str
    listen : str
        ``IP:PORT`` to listen on.
    target : str
        ``IP:PORT`` to forward connections to.
    sides : frozenset of str
        Names of the two sides of the network that the link connects.

    Attributes
    ----------
    target : str
    """

    def __init__(self, *, name: str, listen: str, target: str, sides: frozenset[str]):
        self.name = name
        self.sides = sides
        self._listen = listen
        self.target = target
        self._faults = LinkFaults()
        host, _, port = target.rpartition(":")
        self._factory = LinkFactory(host, int(port), self._faults)
        self._port = None
        self._closing_ports = 0
        self._full_listener: FullListener | None = None
        self.start_listening()

    @property
    def address(self) -> str:
        """``IP:PORT`` that the link listens on."""
        return self._listen

    @property
    def is_listening(self) -> bool:
        """Whether the link accepts new connections."""
        return self._port is not None

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._factory.open_connections)

    def start_listening(self) -> None:
        """Accept new connections; does nothing if the link already listens."""
        if self._full_listener is not None:
            self._full_listener.close()
            self._full_listener = None
        if self._port is None:
            host, _, port = self._listen.rpartition(":")
            self._port = reactor.listenTCP(int(port), self._factory, interface=host)

    def stop_listening(self) -> defer.Deferred:
        """Refuse new connections and keep the open ones.

        Returns
        -------
        twisted.internet.defer.Deferred
            Fires when the port is closed.
        """
        port, self._port = self._port, None
        if port is None:
            return defer.succeed(None)
        self._closing_ports += 1
        return defer.maybeDeferred(port.stopListening).addBoth(self._record_closed)

    async def set_fault(self, kind: FaultKind, delay_ms: float) -> None:
        """Set a fault, or clear all faults with ``FaultKind.NONE``.

        Parameters
        ----------
        kind : FaultKind
        delay_ms : float
            Delay in milliseconds for ``FaultKind.DELAY``.
        """
        faults = self._faults
        match kind:
            case FaultKind.NONE:
                while self._closing_ports:  # the address is in use until then
                    await task.deferLater(reactor, 0.0)
                self._clear_faults()
            case FaultKind.DELAY:
                faults.delay_s = delay_ms / 1000.0
            case FaultKind.LOSE_TO_TARGET:
                faults.loses_to_target = True
            case FaultKind.LOSE_TO_CLIENT:
                faults.loses_to_client = True
            case FaultKind.PARTITION:
                faults.loses_to_target = faults.loses_to_client = True
            case FaultKind.RESET:
                self._apply_to_open(lambda connection: connection.reset())
            case FaultKind.SILENCE_OPEN:
                self._apply_to_open(lambda connection: connection.drop_all())
            case FaultKind.REFUSE:
                await self.stop_listening()
            case FaultKind.IGNORE:
                await self.stop_listening()
                self._full_listener = FullListener(self._listen)

    def _record_closed(self, result: object) -> object:
        self._closing_ports -= 1
        return result

    def _clear_faults(self) -> None:
        self._faults.delay_s = 0.0
        self._faults.loses_to_target = self._faults.loses_to_client = False
        self._apply_to_open(lambda connection: connection.deliver_queued())
        for connection in list(self._factory.draining_connections):
            connection.deliver_queued()
        self.start_listening()

    def _apply_to_open(self, action) -> None:
        for connection in list(self._factory.open_connections):
            action(connection)


class LinkTable:
    """Links of a proxy process by name."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    def add(self, link: Link) -> None:
        """Add a link; replaces a link with the same name.

        Parameters
        ----------
        link : Link
        """
        self._links[link.name] = link

    def list_all(self) -> list[Link]:
        """Return all links.

        Returns
        -------
        list of Link
        """
        return list(self._links.values())

    def select(self, target: str | Iterable[str]) -> list[Link]:
        """Return the link with a name, or all links between two sides.

        Parameters
        ----------
        target : str or iterable of str
            Name of a link, or the names of two sides.

        Returns
        -------
        list of Link

        Raises
        ------
        KeyError
            If no link matches.
        """
        if isinstance(target, str):
            return [self._links[target]]
        sides = frozenset(target)
        links = [link for link in self._links.values() if link.sides == sides]
        if not links:
            raise KeyError(f"no link between {sorted(sides)}")
        return links
