"""Orders of controllers and the engine state that they change."""

from __future__ import annotations

from typing import TypedDict

from twisted.internet.interfaces import IReactorTime

from ebonyhaven_standins.engine._settings import EngineSettings

ORDER_TARGETS = ("model", "adapter", "version")
ORDER_KINDS = ("load", "unload", "set_role")


class StaleFenceError(Exception):
    """The fencing number of an order is lower than a previous one."""


class Order(TypedDict):
    """Order to load or unload a model, adapter or version, or to change the role."""

    order_id: str
    kind: str
    target: str
    name: str
    fence: int


class EngineState:
    """Loaded models, adapters and versions of an engine, its role and fencing number.

    Parameters
    ----------
    settings : EngineSettings
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = (
        "_clock",
        "_loaded",
        "_order_ids",
        "_settings",
        "fence",
        "leaving",
        "role",
    )

    def __init__(self, settings: EngineSettings, clock: IReactorTime):
        self._settings = settings
        self._clock = clock
        self._loaded: dict[str, list[str]] = {target: [] for target in ORDER_TARGETS}
        self._loaded["model"].append(settings.model)
        self._order_ids: set[str] = set()
        self.fence = 0
        self.role = "serve"
        self.leaving = False

    def has_model(self, name: str) -> bool:
        """Return whether a model is loaded.

        Parameters
        ----------
        name : str
            Name of the model.

        Returns
        -------
        bool
        """
        return name in self._loaded["model"]

    def accept_order(self, order: Order) -> None:
        """Accept an order and apply it after ``order_s`` seconds times ``time_scale``.

        A repeated order id has no effect.

        Parameters
        ----------
        order : Order

        Raises
        ------
        StaleFenceError
            If this engine checks fencing numbers and that of the order is stale.
        ValueError
            If the kind or the target is unknown.
        """
        if order["kind"] not in ORDER_KINDS:
            raise ValueError(f"unknown kind of order: {order['kind']}")
        if order["kind"] != "set_role" and order["target"] not in ORDER_TARGETS:
            raise ValueError(f"unknown target of order: {order['target']}")
        if self._settings.checks_fence and order["fence"] < self.fence:
            raise StaleFenceError
        self.fence = max(self.fence, order["fence"])
        if order["order_id"] in self._order_ids:
            return
        self._order_ids.add(order["order_id"])
        delay_s = self._settings.order_s * self._settings.time_scale
        self._clock.callLater(delay_s, self._apply_order, order)

    def describe(self) -> dict[str, object]:
        """Return the state as a JSON object.

        Returns
        -------
        dict
        """
        return {
            "server": self._settings.name,
            "role": self.role,
            "models": list(self._loaded["model"]),
            "adapters": list(self._loaded["adapter"]),
            "versions": list(self._loaded["version"]),
            "fence": self.fence,
            "leaving": self.leaving,
        }

    def _apply_order(self, order: Order) -> None:
        name = order["name"]
        if order["kind"] == "set_role":
            self.role = name
            return
        loaded = self._loaded[order["target"]]
        if order["kind"] == "load" and name not in loaded:
            loaded.append(name)
        elif order["kind"] == "unload" and name in loaded:
            loaded.remove(name)
