"""Exchange of the limits that servers name between instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import CONFIRMATION_TTL_S, Backend
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._evidence_exchange import EvidenceExchange
from ebonyhaven_node._frames import FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._state import ForwardingState

RENEWAL_S = 0.3 * CONFIRMATION_TTL_S  # after which an unchanged limit is told again

_log = structlog.get_logger()


class LimitExchange:
    """Keeps the limits of servers alike on all instances, and who shares them.

    Parameters
    ----------
    state : ForwardingState
        Its servers are updated with the limits and with the instances.
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    reaches_servers : callable
        Returns whether the instance with a name reaches any server; others have no
        share in limits.
    """

    def __init__(
        self,
        *,
        state: ForwardingState,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        clock: Callable[[], float],
        reaches_servers: Callable[[str], bool],
    ):
        self._state = state
        self._reaches_servers = reaches_servers
        self._membership = membership
        self._clock = clock
        self._told: dict[str, tuple[float | None, float]] = {}  # limit and time
        self._exchange = EvidenceExchange(
            kind=FrameKind.SERVER_LIMITS,
            membership=membership,
            channels=channels,
            reactor=reactor,
            export=self._export,
            merge=self._merge,
        )
        membership.observe(lambda _: self.update_instances())

    def publish(self, backend: Backend) -> None:
        """Tell all instances the limit of a server if they may not know it.

        Parameters
        ----------
        backend : Backend
            Has just named its limit, or has named none in spite of an earlier one.
        """
        now = self._clock()
        limit, told_at = self._told.get(backend.process_id, (None, now))
        if limit == backend.pacer.limit and now - told_at < RENEWAL_S:
            return
        self._told[backend.process_id] = (backend.pacer.limit, now)
        self._exchange.publish(backend.process_id)

    def stop(self) -> None:
        """Cancel scheduled messages."""
        self._exchange.stop()

    def update_instances(self) -> None:
        """Divide the limits anew among the instances."""
        names = [
            record.name
            for record in self._membership.members
            if record.state is not MemberState.DEAD
            and self._reaches_servers(record.name)
        ]
        own_name = self._membership.own.name
        self._state.backends.set_instances(own_name, names, self._clock())

    def _export(self, keys: list[str] | None) -> dict[str, float | None]:
        """Return limits by process; None for one that has ended."""
        self._forget_unlisted()
        limits = {each.process_id: each.pacer.limit for each in self._state.backends}
        if keys is None:
            return {key: limit for key, limit in limits.items() if limit is not None}
        return {key: limits[key] for key in keys if key in limits}

    def _forget_unlisted(self) -> None:
        listed = {each.process_id for each in self._state.backends}
        self._told = {key: told for key, told in self._told.items() if key in listed}

    def _merge(self, sender: str, payload: Any) -> None:
        now = self._clock()
        limits = {
            str(process): None if limit is None else float(limit)
            for process, limit in dict(payload).items()
        }
        for process, limit in limits.items():
            known, _ = self._told.get(process, (None, now))
            self._told[process] = (limit, now)
            self._state.backends.record_told_rate_limit(process, limit, now)
            if limit != known:
                _log.info(
                    "backend_rate_limit_told",
                    peer=sender,
                    process=process,
                    requests_per_s=limit,
                )
