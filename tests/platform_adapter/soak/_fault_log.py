"""What a soak disturbed, and when."""

from __future__ import annotations

import contextlib
import enum
import math
from collections.abc import Iterator
from typing import NamedTuple

from twisted.internet import reactor

STALL_S = 0.25  # beyond which times are not those of instances
TICK_S = 0.05
RESTART_S = 1.0  # until an instance that was started again is as the others


class DisturbanceKind(enum.Enum):
    """What happened to an instance or a server."""

    KILL = "kill"
    STOP = "stop"
    FREEZE = "freeze"
    CUT = "cut"
    STORE_LINK = "store link"
    CALLER_LINK = "caller link"
    SERVER_LINK = "server link"
    PAUSE = "pause"  # of a server


class Disturbance(NamedTuple):
    """Time in which something was disturbed.

    Parameters
    ----------
    name : str
        Name of an instance, address or process of a server.
    begin, end : float
        Seconds of the reactor's clock.
    kind : DisturbanceKind
    """

    name: str
    begin: float
    end: float
    kind: DisturbanceKind = DisturbanceKind.KILL

    def overlaps(self, since: float, until: float) -> bool:
        return self.begin < until and self.end > since


class Termination(NamedTuple):
    """A request to stop, and the time that a process has then.

    Parameters
    ----------
    instance : str
    at : float
        Time of the signal; seconds of the reactor's clock.
    grace_s : float
    second_after_s : float or None
        Time until the same signal came again.
    """

    instance: str
    at: float
    grace_s: float
    second_after_s: float | None = None

    def describe(self) -> str:
        text = f"{self.instance} was stopped at {self.at:.3f}"
        if self.second_after_s is None:
            return text
        return f"{text} and again {self.second_after_s:.3f} s later"


class Reload(NamedTuple):
    """A request to read the settings again.

    Parameters
    ----------
    instance : str
    at : float
        Time of the signal; seconds of the reactor's clock.
    """

    instance: str
    at: float


class NamedLimit(NamedTuple):
    """Time in which a server named a limit.

    Parameters
    ----------
    place : str
    rate : float
        Requests per second.
    since, until : float
        Seconds of the reactor's clock.
    """

    place: str
    rate: float
    since: float
    until: float


class VersionKind(enum.Enum):
    """How a new version of the servers' software does."""

    SOUND = "sound"
    FAILS = "fails"
    FAILS_LATE = "fails late"
    FAILS_ON_ONE_ROUTE = "fails on one route"
    SLOW = "slow"


class PlayedRollout(NamedTuple):
    """A roll-out that was ordered.

    Parameters
    ----------
    version : str
    kind : VersionKind
    at, limit : float
        Order and time limit; seconds of the reactor's clock.
    state : str or None
        Last state that the system reported; None for none.
    decided_at : float or None
        When it was completed or reverted.
    """

    version: str
    kind: VersionKind
    at: float
    limit: float
    state: str | None = None
    decided_at: float | None = None


class FaultLog:
    """What was disturbed.

    Attributes
    ----------
    processes : list of Disturbance
        Of instances: their processes, and cuts from all servers.
    links : list of Disturbance
        Of instances: their links to callers and to the store.
    server_links : list of Disturbance
        By address of a server.
    pauses : list of Disturbance
        By process of a server.
    store_times, brittle_times : list of (float, float)
    terminations : list of Termination
    configurations : list of float
        When one was written.
    rollouts : list of PlayedRollout
    named_limits : list of NamedLimit
    reloads : list of Reload
    overdue_stops : list of Termination
        Of processes that were killed at the end of their time.
    cuts : list of (frozenset of str, float, float)
        Instances that reached no server.
    stalls : list of (float, float)
        When the soak itself, and so each link, store and server, stood still.
    """

    def __init__(self):
        self.processes: list[Disturbance] = []
        self.links: list[Disturbance] = []
        self.server_links: list[Disturbance] = []
        self.pauses: list[Disturbance] = []
        self.store_times: list[tuple[float, float]] = []
        self.brittle_times: list[tuple[float, float]] = []
        self.terminations: list[Termination] = []
        self.reloads: list[Reload] = []
        self.overdue_stops: list[Termination] = []
        self.configurations: list[float] = []
        self.rollouts: list[PlayedRollout] = []
        self.named_limits: list[NamedLimit] = []
        self.cuts: list[tuple[frozenset[str], float, float]] = []
        self.stalls: list[tuple[float, float]] = []
        self._ticked_at = 0.0

    @contextlib.contextmanager
    def noting(
        self,
        times: list[Disturbance],
        name: str,
        kind: DisturbanceKind,
        *,
        settle_s: float = 0.0,
    ) -> Iterator[None]:
        """Note that something is disturbed, and until when."""
        begin = reactor.seconds()
        number = len(times)
        times.append(Disturbance(name, begin, math.inf, kind))
        try:
            yield
        finally:
            end = reactor.seconds() + settle_s
            times[number] = Disturbance(name, begin, end, kind)

    def disturbing(self, instance: str, kind: DisturbanceKind):
        """Note that the process of an instance is disturbed, and until when."""
        return self.noting(self.processes, instance, kind, settle_s=RESTART_S)

    @contextlib.contextmanager
    def disturbing_store(self) -> Iterator[None]:
        """Note that the store is impaired for all, and until when."""
        begin = reactor.seconds()
        number = len(self.store_times)
        self.store_times.append((begin, math.inf))
        yield
        self.store_times[number] = (begin, reactor.seconds())

    def watch_stalls(self) -> None:
        """Note when the reactor of the soak stands still, until it stops."""
        now = reactor.seconds()
        if self._ticked_at and now - self._ticked_at > TICK_S + STALL_S:
            self.stalls.append((self._ticked_at, now))
        self._ticked_at = now
