"""What an instance knows of a roll-out when its next stage is decided."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ebonyhaven_decisions.forwarding import BackendState, RequestKind
from ebonyhaven_decisions.forwarding.rollouts import (
    RolloutOrder,
    RolloutStage,
    RolloutState,
    RolloutView,
    VersionVerdict,
)

from ebonyhaven_node.forwarding._state import ForwardingState

if TYPE_CHECKING:
    from ebonyhaven_decisions.forwarding.rollouts import EvidenceBoard


class RolloutViewReader:
    """Collects the views of roll-outs from the state and the evidence.

    Parameters
    ----------
    state : ForwardingState
    board : EvidenceBoard
    clock : callable
        Returns seconds.
    """

    __slots__ = ("_board", "_book", "_clock", "_state")

    def __init__(
        self,
        *,
        state: ForwardingState,
        board: EvidenceBoard,
        clock: Callable[[], float],
    ):
        self._state = state
        self._book = state.rollouts
        self._board = board
        self._clock = clock

    def read(self, order: RolloutOrder, stage: RolloutStage | None) -> RolloutView:
        """Return what is known of a roll-out.

        Parameters
        ----------
        order : RolloutOrder
        stage : RolloutStage or None
            Newest known one of the service.
        """
        versions = self._list_versions(order.service)
        is_known = stage is not None and stage.order.is_same(order)
        shut_out = {order.version}
        if not is_known and not _is_completed(stage):
            shut_out |= {stage.order.version} if stage else set()
        current = {each for each in versions if each not in shut_out}
        old_versions = tuple(sorted(each for each in current if each is not None))
        if is_known:
            old_versions = stage.old_versions
            current &= {*old_versions, None}
        now = self._clock()
        return RolloutView(
            order=order,
            stage=stage,
            verdict=self._judge(order, old_versions, now),
            active=self._board.count_active(order.service, old_versions, now),
            old_versions=old_versions,
            has_old=bool(current),
            has_new=order.version in versions,
            longest_s=self._find_longest_s(order.service),
            is_withdrawn=self._book.is_withdrawn(order.service),
        )

    def _judge(
        self, order: RolloutOrder, old_versions: tuple[str, ...], now: float
    ) -> VersionVerdict:
        return self._board.judge(order.without_era(), old_versions, now)

    def _list_versions(self, service: str) -> set[str | None]:
        return {
            each.software_version
            for each in self._state.backends
            if each.entry.service == service and each.entry.state is BackendState.READY
        }

    def _find_longest_s(self, service: str) -> float:
        """Return how long the streams of a service may take, 0 without any."""
        configuration = self._state.configuration
        routes = configuration.routes.values() if configuration else ()
        return max(
            (
                route.timeout_s
                for group in routes
                for route in group
                if route.kind is RequestKind.STREAM
                and any(share.service == service for share in route.shares)
            ),
            default=0.0,
        )


def _is_completed(stage: RolloutStage | None) -> bool:
    return stage is not None and stage.state is RolloutState.COMPLETED
