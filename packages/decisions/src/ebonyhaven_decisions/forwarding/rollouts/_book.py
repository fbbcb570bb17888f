"""Orders and stages of roll-outs that an instance knows."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ebonyhaven_decisions.forwarding.rollouts._stages import (
    RolloutOrder,
    RolloutStage,
    RolloutState,
)


class StoredStage(NamedTuple):
    """A stage and the version of the row that holds it.

    Parameters
    ----------
    stage : RolloutStage
    row_version : int
        Changes with each write of the row.
    """

    stage: RolloutStage
    row_version: int


class RolloutBook:
    """The newest order and stage of each service, from the store and from others.

    A stage is never replaced by an older one, whatever a restored store contains.

    Attributes
    ----------
    unreadable_orders : int
        Orders that couldn't be read.
    """

    def __init__(self) -> None:
        self._orders: dict[str, RolloutOrder] = {}
        self._stages: dict[str, RolloutStage] = {}
        self._row_versions: dict[str, int] = {}
        self._withdrawn: dict[str, RolloutOrder] = {}
        self._unreadable: set[tuple[str, int]] = set()
        self._observers: list[Callable[[bool], None]] = []
        self.has_read = False
        self.unreadable_orders = 0

    def observe(self, observer: Callable[[bool], None]) -> None:
        """Call ``observer`` after each change, with whether others need the news."""
        self._observers.append(observer)

    def list_services(self) -> list[str]:
        """Return the services that have an order or a stage."""
        return sorted({*self._orders, *self._stages})

    def find_order(self, service: str) -> RolloutOrder | None:
        """Return the newest order of a service, also one that was taken back."""
        return self._orders.get(service)

    def find_stage(self, service: str) -> RolloutStage | None:
        """Return the newest stage of a service, maybe of an order before."""
        return self._stages.get(service)

    def read_row_version(self, service: str) -> int:
        """Return the last known version of a service's row; 0 for none."""
        return self._row_versions.get(service, 0)

    def is_withdrawn(self, service: str) -> bool:
        """Return whether the newest order of a service was taken back."""
        order, withdrawn = self._orders.get(service), self._withdrawn.get(service)
        return order is not None and withdrawn is not None and order.is_same(withdrawn)

    def is_open(self, service: str) -> bool:
        """Return whether the newest order of a service hasn't ended."""
        order, stage = self._orders.get(service), self._stages.get(service)
        if order is None:
            return False
        if stage is None or not stage.order.is_same(order):
            return not self.is_withdrawn(service)
        return stage.state is RolloutState.IN_PROGRESS

    def list_open(self) -> list[str]:
        """Return the services whose newest order hasn't ended."""
        return [each for each in self.list_services() if self.is_open(each)]

    def list_withdrawn(self) -> list[RolloutOrder]:
        """Return the orders that were taken back."""
        return [self._orders[each] for each in self._orders if self.is_withdrawn(each)]

    def replace_orders(
        self, orders: Iterable[RolloutOrder], *, is_relayed: bool = False
    ) -> None:
        """Apply the whole table of orders; one that isn't there was taken back.

        Parameters
        ----------
        orders : iterable of RolloutOrder
        is_relayed : bool
            Whether other instances depend on this one for the news.
        """
        found = {each.service: each for each in orders}
        is_first, self.has_read = not self.has_read, True
        for service in set(self._orders) - set(found):
            self.withdraw(service, is_relayed=is_relayed)
        for order in found.values():
            self.put_order(order, is_relayed=is_relayed)
        if is_first:
            self._notify(is_news=False)

    def put_order(self, order: RolloutOrder, *, is_relayed: bool = False) -> None:
        """Add an order unless it is known or a newer one is.

        Parameters
        ----------
        order : RolloutOrder
        is_relayed : bool
            See `replace_orders`.
        """
        if self._put_order(order):
            self._notify(is_news=is_relayed)

    def withdraw(self, service: str, *, is_relayed: bool = False) -> None:
        """Record that the newest order of a service was taken back.

        Parameters
        ----------
        service : str
        is_relayed : bool
            See `replace_orders`.
        """
        order = self._orders.get(service)
        if order is None or self.is_withdrawn(service):
            return
        self._withdrawn[service] = order
        self._notify(is_news=is_relayed)

    def merge_withdrawn(self, order: RolloutOrder) -> None:
        """Record that another instance saw that an order was taken back.

        Parameters
        ----------
        order : RolloutOrder
        """
        known = self._orders.get(order.service)
        if known is not None and known.is_same(order):
            self.withdraw(order.service)

    def merge_stage(self, stored: StoredStage, *, is_row: bool = False) -> bool:
        """Apply a stage if it is newer than the known one.

        Parameters
        ----------
        stored : StoredStage
        is_row : bool
            Whether it was read from the store or acknowledged by it; if so, the next
            write is made under the condition of this row, also if the stage is older.

        Returns
        -------
        bool
            Whether it was newer.
        """
        stage, service = stored.stage, stored.stage.order.service
        known = self._stages.get(service)
        is_newer = known is None or _is_newer(stage, known)
        if is_row or is_newer:
            self._row_versions[service] = stored.row_version
        if not is_newer:
            return False
        self._stages[service] = stage
        self._put_order(stage.order)
        order = self._orders[service]
        if order.is_same(stage.order):
            self._orders[service] = stage.order  # all measure from the same time
        self._notify(is_news=is_row)
        return True

    def set_row_version(self, service: str, row_version: int) -> None:
        """Record the version of a row whose stage can't be read, 0 for no row.

        Parameters
        ----------
        service : str
        row_version : int
        """
        self._row_versions[service] = row_version

    def forget(self, service: str) -> None:
        """Forget the order and the stage of a service.

        Parameters
        ----------
        service : str
        """
        for known in (self._orders, self._stages, self._withdrawn):
            known.pop(service, None)

    def withhold(self, service: str) -> None:
        """Take the share from the present stage, before the store knows of its end."""
        stage = self._stages[service]
        if stage.share > 0.0:
            self._stages[service] = stage._replace(share=0.0)
            self._notify(is_news=True)

    def record_unreadable(self, service: str, row_version: int) -> bool:
        """Count an order that couldn't be read, and return whether it is a new one.

        Parameters
        ----------
        service : str
        row_version : int
        """
        if (service, row_version) in self._unreadable:
            return False
        self._unreadable.add((service, row_version))
        self.unreadable_orders += 1
        return True

    def _put_order(self, order: RolloutOrder) -> bool:
        known = self._orders.get(order.service)
        if known is None:
            stage = self._stages.get(order.service)
            is_staged = stage is not None and stage.order.is_same(order)
            self._orders[order.service] = stage.order if is_staged else order
            return True
        if known.is_same(order):
            return False
        if known.rank > order.rank:
            return False
        self._orders[order.service] = order
        return True

    def _notify(self, *, is_news: bool) -> None:
        for observer in self._observers:
            observer(is_news)


def _is_newer(stage: RolloutStage, known: RolloutStage) -> bool:
    """Return whether a stage follows a known one.

    Of two forms of one stage, the one that was renewed last counts, then the one that
    gives the new version less.
    """
    if not stage.order.is_same(known.order):
        return stage.order.rank > known.order.rank
    return _make_key(stage) > _make_key(known)


def _make_key(stage: RolloutStage) -> tuple[float, ...]:
    return (stage.number, stage.valid_until_s, -stage.share)
