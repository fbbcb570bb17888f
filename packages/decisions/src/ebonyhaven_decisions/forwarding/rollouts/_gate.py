"""Which software versions of a service an instance may send requests to."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from ebonyhaven_decisions.forwarding._backends import Backend
from ebonyhaven_decisions.forwarding.rollouts._stages import (
    RolloutOrder,
    RolloutStage,
    RolloutState,
)
from ebonyhaven_decisions.forwarding.rollouts._unordered_versions import (
    UnorderedVersions,
)

MAX_CREDIT = 2.0  # requests; bounds those sent at once when new servers come late
# Old servers stop at the completion; their entries may be listed for some time.
OLD_STOP_S = 30.0
WHOLE_SHARE = 1.0


@attrs.define(slots=True)
class _Rollout:
    """What an instance knows of the last order for a service.

    Attributes
    ----------
    order : RolloutOrder
    credit : float
        Requests that may go to the new version now; below zero after streams that
        went on there.
    shut_out : frozenset of str
        Versions of earlier orders that were not completed.
    stage : RolloutStage or None
    """

    order: RolloutOrder
    credit: float
    shut_out: frozenset[str] = frozenset()
    stage: RolloutStage | None = None

    @property
    def state(self) -> RolloutState:
        return self.stage.state if self.stage else RolloutState.IN_PROGRESS


class RolloutGate:
    """Holds the requests of this instance to the stage of each roll-out.

    The instances don't coordinate: each sends the stage's share of its own requests to
    the new version. A request that it sends adds the share to its credit, and one to
    the new version takes 1 of it. The credit starts at a random fraction, so that the
    instances together send the share even if each sees few requests or starts again.

    Parameters
    ----------
    rng : random.Random or None
        A generator with a random seed if None.

    Attributes
    ----------
    read_store_time : callable
        Returns seconds of the store's clock, or None if it isn't known.
    unordered : UnorderedVersions
        Versions whose order may not have been read yet.
    """

    __slots__ = (
        "_observers",
        "_rng",
        "_rollouts",
        "read_store_time",
        "unordered",
    )

    def __init__(self, rng: random.Random | None = None):
        self._rng = rng or random.Random()
        self._rollouts: dict[str, _Rollout] = {}
        self._observers: list[Callable[[str], None]] = []
        self.read_store_time: Callable[[], float | None] = lambda: None
        self.unordered = UnorderedVersions()

    def observe(self, observer: Callable[[str], None]) -> None:
        """Call a function with the service after each change.

        Parameters
        ----------
        observer : callable
        """
        self._observers.append(observer)

    # -- orders and stages -------------------------------------------------

    def apply_order(self, order: RolloutOrder, now: float) -> None:
        """Follow an order; the new version gets nothing until a stage is known.

        Parameters
        ----------
        order : RolloutOrder
        now : float
            Seconds.
        """
        known = self._rollouts.get(order.service)
        if known is not None and known.order.order_id == order.order_id:
            return
        self._begin(order)
        self._notify(order.service)

    def _begin(self, order: RolloutOrder) -> _Rollout:
        """Follow another order; the version of one not completed gets nothing."""
        known = self._rollouts.get(order.service)
        shut_out = known.shut_out if known else frozenset()
        if known is not None and known.state is not RolloutState.COMPLETED:
            shut_out |= {known.order.version}
        rollout = _Rollout(order, self._rng.random(), shut_out - {order.version})
        self._rollouts[order.service] = rollout
        return rollout

    def apply_stage(self, stage: RolloutStage, now: float) -> None:
        """Follow a stage; one of an order that another one has replaced is ignored.

        An order that was completed or reverted isn't taken up again.

        Parameters
        ----------
        stage : RolloutStage
        now : float
            Seconds.
        """
        order = stage.order
        known = self._rollouts.get(order.service)
        if known is None or known.order.order_id != order.order_id:
            if known is not None and order.ordered_at_s <= known.order.ordered_at_s:
                return
            known = self._begin(order)
        if known.state is not RolloutState.IN_PROGRESS and known.state != stage.state:
            return
        known.stage = stage
        self._notify(order.service)

    def withdraw(self, service: str, now: float) -> None:
        """Forget the orders for a service, once no server of their versions is listed.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        if self._rollouts.pop(service, None) is not None:
            self._notify(service)

    def find_order(self, service: str) -> RolloutOrder | None:
        """Return the order for a service that is neither completed nor reverted.

        Parameters
        ----------
        service : str
        """
        known = self._rollouts.get(service)
        if known is None or known.state is not RolloutState.IN_PROGRESS:
            return None
        return known.order

    def find_stage(self, service: str) -> RolloutStage | None:
        """Return the last stage of the last order for a service, valid or not.

        Parameters
        ----------
        service : str
        """
        known = self._rollouts.get(service)
        return known.stage if known else None

    # -- choice of servers -------------------------------------------------

    def allows(self, backend: Backend, now: float, *, is_bound: bool = False) -> bool:
        """Return whether a server may be sent a request.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.
        is_bound : bool
            Whether a stream has begun at the server's version, so that it goes on
            there or not at all. It needs no credit, and takes it.
        """
        rollout = self._rollouts.get(backend.entry.service)
        if rollout is None:
            return True
        if not self._is_open(rollout, backend, is_bound):
            return False
        if is_bound or not self._needs_credit(rollout, backend):
            return True
        return rollout.credit + rollout.stage.share >= 1.0  # that of this request

    def is_open(self, backend: Backend, *, is_bound: bool = False) -> bool:
        """Return whether the stage lets requests with their credit go to a server.

        Asked right before the bytes leave.

        Parameters
        ----------
        backend : Backend
        is_bound : bool
            See `allows`.
        """
        rollout = self._rollouts.get(backend.entry.service)
        return rollout is None or self._is_open(rollout, backend, is_bound)

    def select(
        self, candidates: list[Backend], now: float, *, is_bound: bool = False
    ) -> list[Backend]:
        """Return the servers that may be sent a request.

        A version that is held back, see `UnorderedVersions`, is among them only if
        there is no other one.

        Parameters
        ----------
        candidates : list of Backend
            Usable servers of one service.
        now : float
            Seconds.
        is_bound : bool
            See `allows`.
        """
        if not candidates:
            return candidates
        service = candidates[0].entry.service
        rollout = self._rollouts.get(service)
        allowed = candidates
        if rollout is not None:
            allowed = [
                each for each in candidates if self.allows(each, now, is_bound=is_bound)
            ]
        if is_bound or self.unordered.is_settled(service, now):
            return allowed
        ordered = rollout.order.version if rollout is not None else None
        return self.unordered.select(allowed, now, ordered)

    def prefer(self, candidates: list[Backend]) -> list[Backend]:
        """Return the servers in order, those first whose version is to be tried.

        Parameters
        ----------
        candidates : list of Backend
            Servers that may be sent a request, see `select`.
        """
        if not self._rollouts:
            return candidates
        return sorted(candidates, key=lambda each: not self._is_due(each))

    def list_due(self, candidates: list[Backend]) -> list[Backend]:
        """Return the servers whose version is to be tried now, or all if none is.

        Otherwise, the share of a version would depend on how fast its servers seem.

        Parameters
        ----------
        candidates : list of Backend
            Servers that may be sent a request, see `select`.
        """
        if not self._rollouts:
            return candidates
        return [each for each in candidates if self._is_due(each)] or candidates

    def add_due(
        self, selected: list[Backend], candidates: list[Backend]
    ) -> list[Backend]:
        """Return the selected servers and those whose version is to be tried now.

        Parameters
        ----------
        selected, candidates : list of Backend
            A selection, and all servers of which it was made.
        """
        if not self._rollouts:
            return selected
        due = [
            each for each in candidates if each not in selected and self._is_due(each)
        ]
        return [*selected, *due]

    def is_withdrawn(self, service: str, version: str) -> bool:
        """Return whether a version of a service gets nothing, streams included.

        Parameters
        ----------
        service, version : str
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return False
        is_reverted = rollout.state is RolloutState.REVERTED
        return version in rollout.shut_out or (
            is_reverted and version == rollout.order.version
        )

    # -- requests ----------------------------------------------------------

    def acquire(self, backend: Backend, now: float, *, is_bound: bool = False) -> bool:
        """Take the credit of a request that is about to be sent.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.
        is_bound : bool
            See `allows`.

        Returns
        -------
        bool
            False if it may not be sent.
        """
        if not self.allows(backend, now, is_bound=is_bound):
            return False
        rollout = self._rollouts.get(backend.entry.service)
        if rollout is not None and self._needs_credit(rollout, backend):
            rollout.credit -= 1.0
        return True

    def refund(self, backend: Backend) -> None:
        """Give back the credit of a request that wasn't sent.

        Parameters
        ----------
        backend : Backend
        """
        rollout = self._rollouts.get(backend.entry.service)
        if rollout is not None and self._needs_credit(rollout, backend):
            rollout.credit = min(MAX_CREDIT, rollout.credit + 1.0)

    def record_request(self, service: str) -> None:
        """Record that a request of a service was sent for the first time.

        Parameters
        ----------
        service : str
        """
        rollout = self._rollouts.get(service)
        stage = rollout.stage if rollout else None
        if stage is not None and self._is_valid(stage):
            rollout.credit = min(MAX_CREDIT, rollout.credit + stage.share)

    # -- rules -------------------------------------------------------------

    def _is_open(self, rollout: _Rollout, backend: Backend, is_bound: bool) -> bool:
        if backend.software_version in rollout.shut_out:
            return False
        is_new = backend.software_version == rollout.order.version
        stage = rollout.stage
        if rollout.state is RolloutState.REVERTED:
            return not is_new
        if rollout.state is RolloutState.COMPLETED:
            return is_new or not self._is_stopped(stage, backend)
        if stage is None or not self._is_valid(stage):
            return not is_new
        if is_new:
            return stage.share > 0.0
        return is_bound or stage.share < WHOLE_SHARE

    def _is_stopped(self, stage: RolloutStage, backend: Backend) -> bool:
        """Return whether a server is one of those that stop at the completion."""
        if backend.software_version not in stage.old_versions:
            return False
        time_s = self.read_store_time()
        return time_s is None or time_s < stage.started_at_s + OLD_STOP_S

    def _is_valid(self, stage: RolloutStage) -> bool:
        time_s = self.read_store_time()
        return time_s is not None and time_s < stage.valid_until_s

    def _needs_credit(self, rollout: _Rollout, backend: Backend) -> bool:
        stage = rollout.stage
        if stage is None or stage.state is not RolloutState.IN_PROGRESS:
            return False
        is_new = backend.software_version == rollout.order.version
        return is_new and stage.share < WHOLE_SHARE

    def _is_due(self, backend: Backend) -> bool:
        rollout = self._rollouts.get(backend.entry.service)
        return rollout is not None and self._needs_credit(rollout, backend)

    def _notify(self, service: str) -> None:
        for observer in self._observers:
            observer(service)
