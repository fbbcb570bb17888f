"""Exchange of the losses of servers, and of what they ran, between instances."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions.forwarding import (
    CrashHistory,
    decode_loss_report,
    decode_survivals,
    encode_loss_report,
    encode_survivals,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._evidence_exchange import EvidenceExchange
from ebonyhaven_node._frames import FrameKind
from ebonyhaven_node._membership import MembershipController

_log = structlog.get_logger()


class CrashExchange:
    """Keeps the histories of crashes of all instances alike.

    Parameters
    ----------
    history : CrashHistory
        Updated with the reports of other instances.
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    on_received : callable
        Called after each report of another instance that told something new.
    """

    def __init__(
        self,
        *,
        history: CrashHistory,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        clock: Callable[[], float],
        on_received: Callable[[], None],
    ):
        self._history = history
        self._clock = clock
        self._on_received = on_received
        self._exchange = EvidenceExchange(
            kind=FrameKind.SERVER_LOSSES,
            membership=membership,
            channels=channels,
            reactor=reactor,
            export=self._export,
            merge=self._merge,
        )

    def publish_loss(self, process: str) -> None:
        """Tell all other instances what is known of the loss of a server.

        Parameters
        ----------
        process : str
            See `LossReport`.
        """
        self._exchange.publish(process)

    def publish_survival(self, trait: str) -> None:
        """Tell all other instances that a server ran a request without a crash.

        Parameters
        ----------
        trait : str
            One of its traits.
        """
        self._exchange.publish(trait)

    def stop(self) -> None:
        """Cancel scheduled messages."""
        self._exchange.stop()

    def _export(self, keys: list[str] | None) -> list[Any]:
        """Return losses by process and survivals by trait; no key is both.

        With losses come the survivals of their traits, which tell those that were
        merely present from the one that is to blame.
        """
        now = self._clock()
        reports = self._history.export(now, keys)
        if keys is not None:
            requests = (each for report in reports for each in report.requests)
            keys = [*keys, *dict.fromkeys(itertools.chain.from_iterable(requests))]
        survivals = self._history.export_survivals(now, keys)
        if not reports and not survivals:
            return []
        losses = [encode_loss_report(report) for report in reports]
        return [losses, encode_survivals(survivals)]

    def _merge(self, sender: str, payload: Any) -> None:
        losses, survivals = payload
        reports = [decode_loss_report(values) for values in losses]
        ages_s = decode_survivals(survivals)
        now = self._clock()
        has_changed = False
        for report in reports:
            has_changed |= not self._history.is_known(report.process)
            for traits in self._history.add(report, now):
                has_changed = True
                _log.info(
                    "crash_evidence_received",
                    peer=sender,
                    traits=traits,
                    process=report.process,
                    age_s=round(report.age_s, 3),
                    crashes=[self._history.count_crashes(each, now) for each in traits],
                )
        for trait, age_s in ages_s.items():
            has_changed |= self._history.add_survival(trait, now, age_s=age_s)
        if has_changed:
            self._on_received()
