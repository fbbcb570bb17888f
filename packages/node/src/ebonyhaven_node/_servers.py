"""What an instance knows of the backend servers, and the controller behind it."""

from __future__ import annotations

import abc
from collections.abc import Callable, Iterable
from typing import NamedTuple

import attrs
import structlog
from ebonyhaven_store import ListedProcess

FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 8.0
DEFAULT_CAPACITY = 16
DEFAULT_PACE_S = 0.03
DEFAULT_PREFILL_TOKENS_PER_S = 4000.0

_log = structlog.get_logger()


class ReportedLoad(NamedTuple):
    """Load that a backend server reports of itself.

    Parameters
    ----------
    running, waiting : int
        Sequences in its batch and in its queue.
    capacity : int
        Sequences that it runs at once.
    pace_s : float
        Gap between tokens, seconds.
    leaving : bool
        Whether it takes no new work.
    prefill_tokens_per_s : float or None
        Prompt tokens that it computes in a second, where it says so.
    age_s : float
        Seconds since the measurement.
    """

    running: int
    waiting: int
    capacity: int
    pace_s: float
    leaving: bool = False
    prefill_tokens_per_s: float | None = None
    age_s: float = 0.0


class ServerListener(abc.ABC):
    """Is told what is learned of backend servers."""

    @abc.abstractmethod
    def record_load(self, server: BackendServer, load: ReportedLoad) -> None:
        """Take a load report of a server."""

    @abc.abstractmethod
    def record_answer(self, server: BackendServer) -> None:
        """Take note that a server answered."""

    @abc.abstractmethod
    def record_unreachable(self, server: BackendServer) -> None:
        """Take note that a server could not be reached."""


@attrs.define(slots=True, kw_only=True, eq=False)
class BackendServer:
    """State of one backend server as seen from here.

    Parameters
    ----------
    name, address, pool, data_centre, region : str
        From the platform's list.
    identity : str
        Changes when the process is replaced.
    leaving : bool
        Whether it must get no new work.
    capacity : int
        Sequences that it runs at once.
    running, waiting : int
        Load that it last reported.
    pace_s : float
        Gap between tokens that it last reported, seconds.
    in_flight : int
        Streams of this instance on it.
    down_until : float
        Time until which it gets no new work after a failed connection, seconds.
    backoff_s : float
        Length of the next such pause.
    listener : ServerListener or None
        Is told what is learned of this server.
    """

    name: str
    address: str
    pool: str
    data_centre: str
    region: str = ""
    identity: str = ""
    leaving: bool = False
    capacity: int = DEFAULT_CAPACITY
    running: int = 0
    waiting: int = 0
    pace_s: float = DEFAULT_PACE_S
    in_flight: int = 0
    down_until: float = 0.0
    backoff_s: float = FIRST_BACKOFF_S
    listener: ServerListener | None = None

    def record_unreachable(self, now: float) -> None:
        """Keep new work away for a while that doubles with each failure.

        Parameters
        ----------
        now : float
            Present time, seconds.
        """
        self.down_until = now + self.backoff_s
        self.backoff_s = min(LONGEST_BACKOFF_S, 2 * self.backoff_s)
        if self.listener is not None:
            self.listener.record_unreachable(self)

    def record_answer(self) -> None:
        """Take note that the server answers."""
        self.down_until = 0.0
        self.backoff_s = FIRST_BACKOFF_S
        if self.listener is not None:
            self.listener.record_answer(self)

    def record_load(self, load: ReportedLoad) -> None:
        """Take over the load that the server reports.

        Parameters
        ----------
        load : ReportedLoad
        """
        self.running = load.running
        self.waiting = load.waiting
        self.capacity = load.capacity
        self.pace_s = load.pace_s
        self.leaving = self.leaving or load.leaving
        if self.listener is not None:
            self.listener.record_load(self, load)

    def accepts_work(self, now: float) -> bool:
        """Tell whether new work may be sent.

        Parameters
        ----------
        now : float
            Present time, seconds.

        Returns
        -------
        bool
        """
        return not self.leaving and now >= self.down_until


class BackendServers:
    """All backend servers that this instance knows, by name."""

    __slots__ = (
        "_observers",
        "_servers",
        "has_complete_list",
        "instances",
        "listener",
    )

    def __init__(self) -> None:
        self.instances: tuple[ListedProcess, ...] = ()
        self.has_complete_list = False
        self._servers: dict[str, BackendServer] = {}
        self._observers: list[Callable[[], None]] = []
        self.listener: ServerListener | None = None

    def find(self, name: str) -> BackendServer | None:
        """Return the server of a name, or None."""
        return self._servers.get(name)

    def list_in_pools(self, pools: Iterable[str]) -> list[BackendServer]:
        """Return the servers of the given pools."""
        wanted = frozenset(pools)
        return [item for item in self._servers.values() if item.pool in wanted]

    def observe(self, observer: Callable[[], None]) -> None:
        """Call ``observer`` after each change of the list."""
        self._observers.append(observer)

    def merge_list(self, processes: Iterable[ListedProcess]) -> None:
        """Take over the platform's list.

        A server that has left the list is kept as leaving, so that its running
        streams can still be attached to.

        Parameters
        ----------
        processes : iterable of ListedProcess
            Entries of backend servers.
        """
        listed = {item.name: item for item in processes}
        for name, item in listed.items():
            self._merge_entry(name, item)
        for name, server in self._servers.items():
            if name not in listed:
                server.leaving = True
        for observer in self._observers:
            observer()

    def _merge_entry(self, name: str, item: ListedProcess) -> None:
        server = self._servers.get(name)
        replaced = server is not None and server.identity != item.identity
        if server is None or replaced or server.address != item.address:
            server = BackendServer(
                name=name,
                address=item.address,
                pool=item.pool,
                data_centre=item.data_centre,
                region=item.region,
                identity=item.identity,
                listener=self.listener,
            )
            self._servers[name] = server
        if item.state == "leaving" or server.leaving:
            server.leaving = item.state == "leaving"
