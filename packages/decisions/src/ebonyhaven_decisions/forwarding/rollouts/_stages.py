"""Orders of the operators to move a service to another version, and their stages."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ebonyhaven_decisions._documents import parse_count


class RolloutState(enum.StrEnum):
    """State of a roll-out."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


class RolloutOrder(NamedTuple):
    """An operator's order to move a service's requests to another version.

    Parameters
    ----------
    order_id : str
        Differs for each order, also where the same one is given again: the era of the
        store in which it was first seen and the version of its row, ``ERA.VERSION``.
    service : str
    version : str
        Software version of the backend servers that are to take the requests.
    duration_s : float
        Time from the order to its limit, seconds.
    ordered_at_s : float
        When it was given, seconds of the store's clock.
    """

    order_id: str
    service: str
    version: str
    duration_s: float
    ordered_at_s: float

    @property
    def limit_s(self) -> float:
        """When it is to be completed or reverted, seconds of the store's clock."""
        return self.ordered_at_s + self.duration_s

    @property
    def rank(self) -> tuple[int, int]:
        """Era and row version; of two orders for a service, the greater one counts."""
        era, _, row_version = self.order_id.partition(".")
        return (parse_count(era) or 0, parse_count(row_version) or 0)

    def without_era(self) -> RolloutOrder:
        """Return this order with an id that a restored store leaves as it is."""
        return self._replace(order_id=str(self.rank[1]))

    def is_same(self, other: RolloutOrder) -> bool:
        """Return whether an order is this one, maybe first seen in another era.

        Parameters
        ----------
        other : RolloutOrder
        """
        return (
            self.service == other.service
            and self.version == other.version
            and self.duration_s == other.duration_s
            and self.rank[1] == other.rank[1]
        )


class RolloutStage(NamedTuple):
    """What holds for a roll-out now; the same at each instance that may act on it.

    Parameters
    ----------
    order : RolloutOrder
    state : RolloutState
    number : int
        Grows with each stage of an order.
    share : float
        Share of the service's requests that may go to the new version, 0 to 1.
    started_at_s : float
        When the stage began, seconds of the store's clock.
    valid_until_s : float
        Seconds of the store's clock. An instance that knows of no later one sends
        nothing to the new version after it, unless the roll-out is completed.
    decider : str
        Instance that wrote it.
    reason : str
        Figures that decided it, for operators.
    old_versions : tuple of str
        Versions that served when the order was given; empty if unknown.
    """

    order: RolloutOrder
    state: RolloutState
    number: int
    share: float
    started_at_s: float
    valid_until_s: float
    decider: str
    reason: str
    old_versions: tuple[str, ...] = ()
