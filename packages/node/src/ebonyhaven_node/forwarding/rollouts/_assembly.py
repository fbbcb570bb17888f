"""Parts of an instance that follow roll-outs and decide on them, connected."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ebonyhaven_decisions.forwarding.rollouts import ExposureLimits, RouteTraffic
from prometheus_client import CollectorRegistry
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._metrics import ForwardingMetrics
from ebonyhaven_node.forwarding._peer_sections import PeerSection
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import RolloutRecordStore
from ebonyhaven_node.forwarding.rollouts._controller import RolloutController
from ebonyhaven_node.forwarding.rollouts._metrics import RolloutMetrics
from ebonyhaven_node.forwarding.rollouts._recorder import RolloutRecorder
from ebonyhaven_node.forwarding.rollouts._section import (
    EvidenceSection,
    build_evidence_board,
)
from ebonyhaven_node.forwarding.rollouts._stage_section import StageSection

# For a version that is listed before its order is read: as long as a poll of the orders
# and the message of their reader take.
UNORDERED_HOLD_S = 2.0


class RolloutParts:
    """What an instance needs to follow roll-outs and to decide on them.

    Without limits on exposure, or without a store, it decides on none.

    Parameters
    ----------
    instance : str
        Name of this instance.
    limits : ExposureLimits or None
    state : ForwardingState
    store : RolloutRecordStore or None
    metrics : ForwardingMetrics
    registry : CollectorRegistry
    list_instances : callable
        Returns the names of all instances.
    schedule_report : callable
        Has a report sent to other instances soon.
    reactor : IReactorTime
    rng : random.Random
    clock : callable
        Returns seconds of a monotonic clock.

    Attributes
    ----------
    evidence : EvidenceBoard
    evidence_section : EvidenceSection
    recorder : RolloutRecorder
    controller : RolloutController or None
    """

    def __init__(
        self,
        *,
        instance: str,
        limits: ExposureLimits | None,
        state: ForwardingState,
        store: RolloutRecordStore | None,
        metrics: ForwardingMetrics,
        registry: CollectorRegistry,
        list_instances: Callable[[], Iterable[str]],
        schedule_report: Callable[[], None],
        reactor: IReactorTime,
        rng: random.Random,
        clock: Callable[[], float],
    ):
        gate = state.backends.rollouts
        self._schedule_report = schedule_report
        self.evidence = build_evidence_board(
            state.backends, list_instances, own_name=instance
        )
        self.evidence_section = EvidenceSection(
            board=self.evidence,
            list_instances=list_instances,
            schedule_report=schedule_report,
            clock=clock,
        )
        self.recorder = RolloutRecorder(
            gate=gate,
            board=self.evidence,
            metrics=metrics,
            clock=clock,
            on_change=self.evidence_section.handle_change,
        )
        self.controller: RolloutController | None = None
        self._stages = StageSection(state.rollouts, list_instances)
        if limits is None or store is None:
            return
        gate.read_store_time = store.read_time_s
        gate.unordered.hold_s = UNORDERED_HOLD_S
        self.recorder.traffic = RouteTraffic()
        self.controller = RolloutController(
            instance=instance,
            limits=limits,
            state=state,
            gate=gate,
            board=self.evidence,
            store=store,
            metrics=RolloutMetrics(registry, state.rollouts),
            reactor=reactor,
            rng=rng,
            clock=clock,
        )
        self.evidence_section.decider = self.controller.find_decider

    def list_sections(self) -> list[PeerSection]:
        """Return the sections of the reports to other instances."""
        if self.controller is None:
            return [self.evidence_section]
        return [self.evidence_section, self._stages]

    def start(self, is_chosen: Callable[[str], bool]) -> None:
        """Follow orders and stages, and decide where this instance is to.

        Parameters
        ----------
        is_chosen : callable
            Returns whether this instance is the preferred one for a key.
        """
        if self.controller is not None:
            self.controller.start(is_chosen, self._announce)

    def stop(self) -> None:
        """Stop deciding; the stages lapse, and another instance goes on."""
        if self.controller is not None:
            self.controller.stop()

    def _announce(self) -> None:
        self._stages.announce()
        self._schedule_report()
