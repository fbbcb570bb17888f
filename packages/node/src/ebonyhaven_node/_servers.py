"""Backend servers as known to this instance."""

from __future__ import annotations

import abc
import time
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import attrs
import structlog
from ebonyhaven_decisions.forwarding import (
    NO_LIMITS,
    LimitedServer,
    LimitedServerDirectory,
    LimitShares,
    ServerLimiter,
    ServerLimits,
)
from ebonyhaven_store import ListedProcess

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
DEFAULT_CAPACITY_SEQUENCES = 16
DEFAULT_PACE_S = 0.03
DEFAULT_PREFILL_TOKENS_PER_S = 4000.0

_log = structlog.get_logger()


class ReportedLoad(NamedTuple):
    """Load reported by a backend server.

    Parameters
    ----------
    running, waiting : int
        Sequences in the batch and in the queue of the server.
    capacity : int
        Maximum number of sequences in the batch.
    pace_s : float
        Gap between tokens, seconds.
    leaving : bool
        Whether the server accepts no new work.
    prefill_tokens_per_s : float or None
        Prefill rate; None if the server does not report it.
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
    """Interface for notifications about backend servers."""

    @abc.abstractmethod
    def record_load(self, server: BackendServer, load: ReportedLoad) -> None:
        """Record a load report of a server."""

    @abc.abstractmethod
    def record_answer(self, server: BackendServer) -> None:
        """Record that a server responded."""

    @abc.abstractmethod
    def record_unreachable(self, server: BackendServer) -> None:
        """Record that a server could not be reached."""


@attrs.define(slots=True, kw_only=True, eq=False)
class BackendServer(LimitedServer):
    """State of one backend server as seen by this instance.

    Parameters
    ----------
    name, address, pool, data_centre, region : str
        From the platform's list.
    identity : str
        Identity of the process; a replacement has a different one.
    leaving : bool
        Whether the server accepts no new work.
    capacity : int
        Maximum number of sequences in the batch.
    running, waiting : int
        Last reported sequences in the batch and in the queue.
    pace_s : float
        Last reported gap between tokens, seconds.
    in_flight : int
        Streams between this instance and the server.
    backoff_until : float
        Monotonic time until which the server is sent no new work after a failure,
        seconds.
    backoff_s : float
        Duration of the next backoff, seconds.
    listener : ServerListener or None
        Notified of load reports, responses and failures.
    limiter : ServerLimiter
        Part of this instance in the limits that the server names.
    on_limits : callable
        Called with the server and the limits that each of its answers names.
    """

    name: str
    address: str
    pool: str
    data_centre: str
    region: str = ""
    identity: str = ""
    leaving: bool = False
    capacity: int = DEFAULT_CAPACITY_SEQUENCES
    running: int = 0
    waiting: int = 0
    pace_s: float = DEFAULT_PACE_S
    in_flight: int = 0
    backoff_until: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    listener: ServerListener | None = None
    limiter: ServerLimiter = attrs.Factory(ServerLimiter)
    on_limits: Callable[[BackendServer, ServerLimits], None] = lambda *_: None

    @property
    def process_id(self) -> str:
        """Identifies the process in what instances tell each other."""
        return f"{self.name}/{self.identity}"

    def record_limits(self, limits: ServerLimits) -> None:
        """Record the limits that an answer of the server names.

        Parameters
        ----------
        limits : ServerLimits
        """
        if limits != NO_LIMITS or self.limiter.has_limits:
            self.on_limits(self, limits)

    def record_rest(self, rest_s: float | None, now: float) -> None:
        """Record the rest that an answer of the server names.

        Parameters
        ----------
        rest_s : float or None
            Seconds; None if the answer names none.
        now : float
            Current monotonic time, seconds.
        """
        if rest_s is None:
            self.limiter.rest.record_served(now)
        elif self.limiter.rest.record_named(rest_s, now):
            _log.info("backend_resting", server=self.name, rest_s=rest_s)

    def record_unreachable(self, now: float) -> None:
        """Start a backoff; its duration doubles with each failure up to a maximum.

        Parameters
        ----------
        now : float
            Current monotonic time, seconds.
        """
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)
        if self.listener is not None:
            self.listener.record_unreachable(self)

    def record_answer(self) -> None:
        """Record that the server responded, which ends the backoff."""
        self.backoff_until = 0.0
        self.backoff_s = INITIAL_BACKOFF_S
        if self.listener is not None:
            self.listener.record_answer(self)

    def record_load(self, load: ReportedLoad) -> None:
        """Record the load that the server reports.

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
        """Return whether new work may be sent to the server.

        Parameters
        ----------
        now : float
            Current monotonic time, seconds.

        Returns
        -------
        bool
        """
        if self.leaving or now < self.backoff_until:
            return False
        return self.limiter.is_allowed(now)


class BackendServers(LimitedServerDirectory):
    """All backend servers known to this instance, by name.

    Attributes
    ----------
    instances : tuple of ListedProcess
        Instances on the platform's list.
    has_complete_list : bool
        Whether the whole list is known and not just some of its entries.
    listener : ServerListener or None
        Listener that is set on each added server.
    on_limits : callable
        Called with each server that names limits, or names none after some.
    """

    __slots__ = (
        "_observers",
        "_servers",
        "_shares",
        "has_complete_list",
        "instances",
        "listener",
        "on_limits",
    )

    def __init__(self) -> None:
        self.instances: tuple[ListedProcess, ...] = ()
        self.has_complete_list = False
        self._servers: dict[str, BackendServer] = {}
        self._observers: list[Callable[[], None]] = []
        self.listener: ServerListener | None = None
        self.on_limits: Callable[[BackendServer], None] = lambda _: None
        self._shares = LimitShares()

    def __iter__(self) -> Iterator[BackendServer]:
        return iter(self._servers.values())

    def find_process(self, process_id: str) -> BackendServer | None:
        """See `LimitedServerDirectory.find_process`."""
        server = self._servers.get(process_id.rpartition("/")[0])
        return server if server and server.process_id == process_id else None

    def set_instances(self, own_name: str, names: Iterable[str], now: float) -> None:
        """See `LimitedServerDirectory.set_instances`."""
        self._shares.set_instances(own_name, names, self._servers.values(), now)

    def record_told_limits(
        self, process_id: str, limits: ServerLimits, now: float
    ) -> None:
        """See `LimitedServerDirectory.record_told_limits`."""
        server = self.find_process(process_id)
        if server is None:
            self._shares.keep(process_id, limits)
        else:
            self._shares.record(server, limits, slots=0, now=now)

    def _record_limits(self, server: BackendServer, limits: ServerLimits) -> None:
        self._shares.record(server, limits, slots=0, now=time.monotonic())
        self.on_limits(server)

    def find(self, name: str) -> BackendServer | None:
        """Return the server with a name, or None."""
        return self._servers.get(name)

    def list_in_pools(self, pools: Iterable[str]) -> list[BackendServer]:
        """Return the servers in the given pools."""
        wanted = frozenset(pools)
        return [item for item in self._servers.values() if item.pool in wanted]

    def observe(self, observer: Callable[[], None]) -> None:
        """Call ``observer`` after each merge of the list."""
        self._observers.append(observer)

    def merge_list(self, processes: Iterable[ListedProcess]) -> None:
        """Merge the platform's list.

        A server that is no longer listed is kept and marked as leaving, so that
        requests can still attach to its running streams.

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
                on_limits=self._record_limits,
            )
            self._servers[name] = server
            limits = self._shares.take(server.process_id)
            if limits is not None:
                self.record_told_limits(server.process_id, limits, time.monotonic())
        if item.state == "leaving" or server.leaving:
            server.leaving = item.state == "leaving"
