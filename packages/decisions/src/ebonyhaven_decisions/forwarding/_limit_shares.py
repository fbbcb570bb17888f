"""Limits of servers, and how instances share them."""

from __future__ import annotations

import abc
from collections.abc import Iterable, Iterator

from ebonyhaven_decisions._rendezvous import choose_instances
from ebonyhaven_decisions.forwarding._refusal_limits import RefusalLimiter
from ebonyhaven_decisions.forwarding._request_pacing import RequestPacer
from ebonyhaven_decisions.forwarding._server_limits import NO_LIMITS, ServerLimits
from ebonyhaven_decisions.forwarding._server_rests import ServerRest

MAX_UNLISTED_LIMITS = 100  # told by other instances before the list shows the servers


class ServerLimiter:
    """Decides when this instance may send requests to one process of a server.

    The rests that the server names are this instance's own. The limits that it names
    are those of all instances, of which this one has a part.

    Parameters
    ----------
    refusals : RefusalLimiter or None
        One with equal shares for all instances if None.

    Attributes
    ----------
    pacer : RequestPacer
    refusals : RefusalLimiter
    rest : ServerRest
    has_limits : bool
        Whether the server names any limit; most never do.
    """

    __slots__ = ("has_limits", "pacer", "refusals", "rest")

    def __init__(self, refusals: RefusalLimiter | None = None) -> None:
        self.has_limits = False
        self.pacer = RequestPacer()
        self.refusals = refusals if refusals is not None else RefusalLimiter()
        self.rest = ServerRest()

    @property
    def limits(self) -> ServerLimits:
        """Limits that the server named last."""
        return ServerLimits(self.pacer.limit, self.refusals.limit)

    def is_allowed(self, now: float) -> bool:
        """Return whether rests and limits allow a request now.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if not self.rest.may_send(now):
            return False
        if not self.has_limits:
            return True
        return self.pacer.may_send(now) and self.refusals.may_send(now)

    def find_allowed(self, now: float) -> float:
        """Return when rests and limits allow a request.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds; infinite if requests are left to other instances. The present
            time if it depends on answers to requests that were sent.
        """
        rested_at = max(now, self.rest.until)
        if not self.has_limits:
            return rested_at
        return max(rested_at, self.pacer.find_next(now), self.refusals.find_next(now))

    def acquire(self, now: float) -> bool:
        """Count a request or call that is about to be sent, unless it is forbidden.

        Everything that an instance sends to a server passes here. `record_ended`
        must follow once.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether it may be sent.
        """
        if not self.is_allowed(now):
            return False
        self.rest.record_sent(now)
        self.pacer.record_sent(now)
        self.refusals.record_sent(now)
        return True

    def record_ended(self) -> None:
        """Count the end of a request or call, from which it occupies nothing."""
        self.refusals.record_ended()

    def set_limits(self, limits: ServerLimits, *, slots: int, now: float) -> None:
        """Set the limits that the server names.

        Parameters
        ----------
        limits : ServerLimits
        slots : int
            See `RefusalLimiter.set_limit`.
        now : float
            Seconds.
        """
        self.has_limits = limits != NO_LIMITS
        self.pacer.set_limit(limits.requests_per_s, now)
        self.refusals.set_limit(limits.refusals_per_s, slots=slots)

    def set_share(self, *, rank: int, instances: int, owner: str, now: float) -> None:
        """Set this instance's part.

        Parameters
        ----------
        rank : int
            Its place in an order of the instances that differs with the server.
        instances : int
            Instances that could send requests, this one included.
        owner : str
            Name of the first instance in that order.
        now : float
            Seconds.
        """
        self.pacer.set_share(rank=rank, instances=instances, now=now)
        self.refusals.set_share(rank=rank, instances=instances, owner=owner)


class LimitedServer(abc.ABC):
    """A process of a server whose limits instances share.

    Attributes
    ----------
    limiter : ServerLimiter
        Part of this instance in its limits.
    """

    __slots__ = ()

    limiter: ServerLimiter

    @property
    @abc.abstractmethod
    def process_id(self) -> str:
        """Identifies the process in what instances tell each other."""


class LimitedServerDirectory(abc.ABC):
    """The listed servers of an instance, whose limits it shares with others."""

    __slots__ = ()

    @abc.abstractmethod
    def __iter__(self) -> Iterator[LimitedServer]:
        """Return all listed servers."""

    @abc.abstractmethod
    def find_process(self, process_id: str) -> LimitedServer | None:
        """Return a listed process.

        Parameters
        ----------
        process_id : str
            See `LimitedServer.process_id`.
        """

    @abc.abstractmethod
    def record_told_limits(
        self, process_id: str, limits: ServerLimits, now: float
    ) -> None:
        """Record limits that another instance told of.

        Parameters
        ----------
        process_id : str
            See `LimitedServer.process_id`; may be listed later.
        limits : ServerLimits
        now : float
            Seconds.
        """

    @abc.abstractmethod
    def set_instances(self, own_name: str, names: Iterable[str], now: float) -> None:
        """Set the instances that share the limits of servers.

        Parameters
        ----------
        own_name : str
        names : iterable of str
            Instances that may send requests.
        now : float
            Seconds.
        """


class LimitShares:
    """Divides the limits of servers among the instances."""

    __slots__ = ("_instances", "_own_name", "_unlisted")

    def __init__(self) -> None:
        self._own_name = ""
        self._instances: tuple[str, ...] = ("",)
        self._unlisted: dict[str, ServerLimits] = {}  # by process

    def set_instances(
        self,
        own_name: str,
        names: Iterable[str],
        servers: Iterable[LimitedServer],
        now: float,
    ) -> None:
        """Set the instances that share the limits.

        Parameters
        ----------
        own_name : str
        names : iterable of str
            Instances that may send requests.
        servers : iterable of LimitedServer
            All that are listed.
        now : float
            Seconds.
        """
        self._own_name = own_name
        self._instances = tuple(names)
        for server in servers:
            if server.limiter.has_limits:
                self._update_share(server, now)

    def record(
        self, server: LimitedServer, limits: ServerLimits, *, slots: int, now: float
    ) -> None:
        """Record the limits of a listed server.

        Parameters
        ----------
        server : LimitedServer
        limits : ServerLimits
        slots : int
            See `RefusalLimiter.set_limit`.
        now : float
            Seconds.
        """
        has_changed = limits != server.limiter.limits
        server.limiter.set_limits(limits, slots=slots, now=now)
        if has_changed:
            self._update_share(server, now)

    def keep(self, process_id: str, limits: ServerLimits) -> None:
        """Keep the limits of a server that is not listed yet.

        Parameters
        ----------
        process_id : str
        limits : ServerLimits
        """
        self._unlisted.pop(process_id, None)
        if limits != NO_LIMITS and len(self._unlisted) < MAX_UNLISTED_LIMITS:
            self._unlisted[process_id] = limits

    def take(self, process_id: str) -> ServerLimits | None:
        """Return the limits that were kept for a server that is listed now.

        Parameters
        ----------
        process_id : str
        """
        return self._unlisted.pop(process_id, None)

    def _update_share(self, server: LimitedServer, now: float) -> None:
        count = len(self._instances)
        names = choose_instances(server.process_id, self._instances, count)
        rank = names.index(self._own_name) if self._own_name in names else count
        server.limiter.set_share(
            rank=rank, instances=count, owner=names[0] if names else "", now=now
        )
