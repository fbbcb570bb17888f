"""Parts of an instance that decide on roll-outs, connected to each other."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ebonyhaven_decisions.forwarding.rollouts import ExposureLimits
from prometheus_client import CollectorRegistry
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import RolloutRecordStore
from ebonyhaven_node.forwarding.rollouts._controller import RolloutController
from ebonyhaven_node.forwarding.rollouts._metrics import RolloutMetrics
from ebonyhaven_node.forwarding.rollouts._stage_section import StageSection

if TYPE_CHECKING:
    from ebonyhaven_decisions.forwarding.rollouts import EvidenceBoard

# For a version that is listed before its order is read: as long as a poll of the orders
# and the message of their reader take.
UNORDERED_HOLD_S = 2.0


class RolloutParts:
    """What an instance needs to decide on roll-outs and to follow them.

    Parameters
    ----------
    instance : str
        Name of this instance.
    limits : ExposureLimits
    state : ForwardingState
    board : EvidenceBoard
    store : RolloutRecordStore
    registry : CollectorRegistry
    reactor : IReactorTime
    rng : random.Random
    clock : callable
        Returns seconds of a monotonic clock.
    list_instances : callable
        Returns the names of all instances.

    Attributes
    ----------
    controller : RolloutController
    section : StageSection
    """

    def __init__(
        self,
        *,
        instance: str,
        limits: ExposureLimits,
        state: ForwardingState,
        board: EvidenceBoard,
        store: RolloutRecordStore,
        registry: CollectorRegistry,
        reactor: IReactorTime,
        rng: random.Random,
        clock: Callable[[], float],
        list_instances: Callable[[], Iterable[str]],
    ):
        gate = state.backends.rollouts
        gate.read_store_time = store.read_time_s
        gate.unordered.hold_s = UNORDERED_HOLD_S
        self.section = StageSection(state.rollouts, list_instances)
        self.controller = RolloutController(
            instance=instance,
            limits=limits,
            state=state,
            gate=gate,
            board=board,
            store=store,
            metrics=RolloutMetrics(registry, state.rollouts),
            reactor=reactor,
            rng=rng,
            clock=clock,
        )

    def start(
        self, is_chosen: Callable[[str], bool], schedule_report: Callable[[], None]
    ) -> None:
        """Follow orders and stages, and decide where this instance is to.

        Parameters
        ----------
        is_chosen : callable
            Returns whether this instance is the preferred one for a key.
        schedule_report : callable
            Has a report sent to other instances soon.
        """

        def announce() -> None:
            self.section.announce()
            schedule_report()

        self.controller.start(is_chosen, announce)
