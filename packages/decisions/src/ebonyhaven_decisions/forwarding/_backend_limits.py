"""Limits that the listed backend servers of an instance name."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping

from ebonyhaven_decisions.forwarding._backends import Backend
from ebonyhaven_decisions.forwarding._limit_shares import (
    LimitedServerDirectory,
    LimitShares,
)
from ebonyhaven_decisions.forwarding._request_pacing import CONFIRMATION_TTL_S
from ebonyhaven_decisions.forwarding._server_limits import ServerLimits


class BackendLimits(LimitedServerDirectory):
    """Limits of the listed servers, and the parts of this instance in them.

    Parameters
    ----------
    listed : mapping of str to Backend
        The listed servers, by id; followed as it changes.
    """

    __slots__ = ("_brittle", "_engine_slots", "_listed", "_observers", "_shares")

    def __init__(self, listed: Mapping[str, Backend]):
        self._listed = listed
        self._shares = LimitShares()
        self._engine_slots: Mapping[str, int] = {}
        self._observers: list[Callable[[Backend], None]] = []
        self._brittle: dict[str, tuple[int, float]] = {}  # by service: limit, time

    def __iter__(self) -> Iterator[Backend]:
        return iter(self._listed.values())

    def apply_known(self, backend: Backend, now: float) -> None:
        """Set the limits that are known of a process which is listed now.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.
        """
        limits = self._shares.take(backend.process_id)
        limits = limits or self._expect_limits(backend.entry.service, now)
        if limits is not None:
            self._set_limits(backend, limits, now)

    def set_instances(self, own_name: str, names: Iterable[str], now: float) -> None:
        """See `LimitedServerDirectory.set_instances`."""
        self._shares.set_instances(own_name, names, self._listed.values(), now)
        for backend in self._listed.values():
            if backend.limiter.has_limits:
                self._notify_observers(backend)

    def record_limits(self, backend: Backend, limits: ServerLimits, now: float) -> None:
        """Record the limits that an answer of a server names.

        Parameters
        ----------
        backend : Backend
        limits : ServerLimits
        now : float
            Seconds.
        """
        service, refusals = backend.entry.service, limits.refusals_per_s
        if refusals is None:
            self._brittle.pop(service, None)
        else:
            self._brittle[service] = (refusals, now)
        self._set_limits(backend, limits, now)

    def _expect_limits(self, service: str, now: float) -> ServerLimits | None:
        """Return what a new server will name, as far as those of its service tell.

        All servers of a service are brittle at the same time.
        """
        refusals, said_at = self._brittle.get(service, (0, -math.inf))
        if now - said_at > CONFIRMATION_TTL_S:
            return None
        return ServerLimits(refusals_per_s=refusals)

    def _set_limits(self, backend: Backend, limits: ServerLimits, now: float) -> None:
        slots = backend.entry.slots
        engine_slots = self._engine_slots.get(backend.entry.service, 0)
        if engine_slots:
            slots = min(slots or engine_slots, engine_slots)
        has_changed = limits != backend.limiter.limits
        self._shares.record(backend, limits, slots=slots, now=now)
        if has_changed:
            self._notify_observers(backend)

    def observe(self, observer: Callable[[Backend], None]) -> None:
        """Call ``observer`` with servers whose limits or whose owner may have changed.

        Parameters
        ----------
        observer : callable
        """
        self._observers.append(observer)

    def _notify_observers(self, backend: Backend) -> None:
        for observer in self._observers:
            observer(backend)

    def record_told_limits(
        self, process_id: str, limits: ServerLimits, now: float
    ) -> None:
        """See `LimitedServerDirectory.record_told_limits`."""
        backend = self.find_process(process_id)
        if backend is None:
            self._shares.keep(process_id, limits)
        else:
            self.record_limits(backend, limits, now)

    def find_process(self, process_id: str) -> Backend | None:
        """See `LimitedServerDirectory.find_process`."""
        backend = self._listed.get(process_id.rpartition("/")[0])
        return backend if backend and backend.process_id == process_id else None

    def set_engine_slots(self, slots: Mapping[str, int]) -> None:
        """Set how many requests the model engines of services run at a time.

        Parameters
        ----------
        slots : mapping of str to int
            By service.
        """
        self._engine_slots = dict(slots)

    def find_limit_end(
        self,
        service: str,
        now: float,
        *,
        version: str | None = None,
        ahead: int = 0,
    ) -> float | None:
        """Return when a request may be sent, if rests and limits forbid it now.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        version : str or None
            Software version of the servers; None for any.
        ahead : int
            Requests of this instance that are to be sent before.

        Returns
        -------
        float or None
            Seconds; infinite if this instance leaves the servers to others. None if
            some ready server may be sent requests, or there is none.
        """
        limiters = [each.limiter for each in self._list_ready(service, version)]
        first = min((each.find_allowed(now) for each in limiters), default=now)
        if first <= now:
            return None
        rate = sum(each.pacer.compute_rate(now) for each in limiters)
        return first + ahead / rate if rate else math.inf

    def find_rest_end(
        self, service: str, now: float, *, version: str | None = None
    ) -> float | None:
        """Return when the first rest ends, if only rests keep requests from a service.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        version : str or None
            Software version of the servers; None for any.

        Returns
        -------
        float or None
            Seconds; None if some ready server is not resting, or there is none.
        """
        ends = []
        for each in self._list_ready(service, version):
            if not each.limiter.rest.is_resting(now):
                return None
            ends.append(each.limiter.rest.until)
        return min(ends, default=None)

    def _list_ready(self, service: str, version: str | None) -> list[Backend]:
        return [
            each
            for each in self._listed.values()
            if each.entry.service == service
            and not each.is_leaving
            and version in (None, each.software_version)
        ]
