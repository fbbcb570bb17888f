"""Exchange of the limits that servers name between instances."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

import structlog
from ebonyhaven_decisions import MemberState, check_integer, check_number
from ebonyhaven_decisions.forwarding import (
    CAUTION_S,
    CONFIRMATION_TTL_S,
    NO_LIMITS,
    LimitedServer,
    LimitedServerDirectory,
    ServerLimits,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._evidence_exchange import EvidenceExchange
from ebonyhaven_node._frames import FrameKind
from ebonyhaven_node._membership import MembershipController

RENEWAL_S = 0.3 * CONFIRMATION_TTL_S  # after which an unchanged limit is told again

_log = structlog.get_logger()


class _Told(NamedTuple):
    """What all instances know of a server.

    Parameters
    ----------
    limits : ServerLimits
    refused_at : float
        Time of the last refusal that was told, seconds.
    at : float
        Time at which it was told, seconds.
    """

    limits: ServerLimits
    refused_at: float
    at: float


class LimitExchange:
    """Keeps the limits of servers alike on all instances, and who shares them.

    Parameters
    ----------
    servers : LimitedServerDirectory
        Updated with the limits and with the instances.
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    list_cut_off : callable
        Returns the names of the instances that reach no server, which have no share in
        limits.
    """

    def __init__(
        self,
        *,
        servers: LimitedServerDirectory,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        clock: Callable[[], float],
        list_cut_off: Callable[[], Collection[str]],
    ):
        self._servers = servers
        self._list_cut_off = list_cut_off
        self._membership = membership
        self._clock = clock
        self._told: dict[str, _Told] = {}  # by process
        self._exchange = EvidenceExchange(
            kind=FrameKind.SERVER_LIMITS,
            membership=membership,
            channels=channels,
            reactor=reactor,
            export=self._export,
            merge=self._merge,
        )
        membership.observe_view(self.update_instances)

    def publish(self, server: LimitedServer) -> None:
        """Tell all instances the limits of a server if they may not know them.

        Parameters
        ----------
        server : LimitedServer
            Has just named limits, has named none in spite of earlier ones, or is
            brittle and has refused a request.
        """
        now = self._clock()
        told = self._told.get(server.process_id, _Told(NO_LIMITS, -math.inf, now))
        refused_at = server.limiter.refusals.refused_at
        is_known = told.limits == server.limiter.limits and (
            refused_at <= told.refused_at + RENEWAL_S
        )
        if is_known and now - told.at < RENEWAL_S:
            return
        self._told[server.process_id] = _Told(server.limiter.limits, refused_at, now)
        self._exchange.publish(server.process_id)

    def stop(self) -> None:
        """Cancel scheduled messages."""
        self._exchange.stop()

    def update_instances(self) -> None:
        """Divide the limits anew among the instances."""
        cut_off = self._list_cut_off()
        names = [
            record.name
            for record in self._membership.members
            if record.state is not MemberState.DEAD and record.name not in cut_off
        ]
        own_name = self._membership.own.name
        self._servers.set_instances(own_name, names, self._clock())

    def _export(self, keys: list[str] | None) -> dict[str, list[Any]]:
        """Return by process its limits and the age of its last refusal, if recent."""
        if self._told:
            self._forget_unlisted()
        if keys is None:
            chosen = [each for each in self._servers if each.limiter.has_limits]
        else:
            found = map(self._servers.find_process, keys)
            chosen = [each for each in found if each is not None]
        return {each.process_id: self._encode(each) for each in chosen}

    def _encode(self, server: LimitedServer) -> list[Any]:
        age_s = self._clock() - server.limiter.refusals.refused_at
        return [*server.limiter.limits, round(age_s, 3) if age_s < CAUTION_S else None]

    def _forget_unlisted(self) -> None:
        listed = {each.process_id for each in self._servers}
        self._told = {key: told for key, told in self._told.items() if key in listed}

    def _merge(self, sender: str, payload: Any) -> None:
        received = {
            str(process): (_decode_limits(rate, refusals), _decode_number(age_s))
            for process, (rate, refusals, age_s) in dict(payload).items()
        }
        for process, (limits, age_s) in received.items():
            self._record(sender, process, limits, age_s)

    def _record(
        self, sender: str, process: str, limits: ServerLimits, age_s: float | None
    ) -> None:
        now = self._clock()
        known = self._told.get(process)
        refused_at = -math.inf if age_s is None else now - age_s
        self._told[process] = _Told(limits, refused_at, now)
        self._servers.record_told_limits(process, limits, now)
        server = self._servers.find_process(process)
        if server is not None:
            server.limiter.refusals.record_told_refused(refused_at)
        if known is None or limits != known.limits:
            _log.info(
                "backend_limits_told",
                peer=sender,
                process=process,
                requests_per_s=limits.requests_per_s,
                refusals_per_s=limits.refusals_per_s,
            )


def _decode_limits(rate: Any, refusals: Any) -> ServerLimits:
    return ServerLimits(
        _decode_number(rate),
        None if refusals is None else check_integer(refusals, minimum=0),
    )


def _decode_number(value: Any) -> float | None:
    return None if value is None else max(0.0, check_number(value))
