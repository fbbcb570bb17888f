"""Orders of operators' controllers and the state that they change."""

from __future__ import annotations

from typing import TypedDict

from twisted.internet.interfaces import IReactorTime

from ebonyhaven_standins.engine._settings import EngineSettings

TARGETS = ("model", "adapter", "version")
KINDS = ("load", "unload", "set_role")


class StaleFenceError(Exception):
    """An order or request carried a fence older than one seen before."""


class Order(TypedDict):
    """Order to load, unload or change role."""

    order_id: str
    kind: str
    target: str
    name: str
    fence: int


class EngineState:
    """What the engine has loaded, its role and the highest order fence.

    Parameters
    ----------
    settings : EngineSettings
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = (
        "_clock",
        "_loaded",
        "_orders",
        "_settings",
        "fence",
        "leaving",
        "role",
    )

    def __init__(self, settings: EngineSettings, clock: IReactorTime):
        self._settings = settings
        self._clock = clock
        self._loaded: dict[str, list[str]] = {target: [] for target in TARGETS}
        self._loaded["model"].append(settings.model)
        self._orders: set[str] = set()
        self.fence = 0
        self.role = "serve"
        self.leaving = False

    def has_model(self, name: str) -> bool:
        """Return whether a model is loaded.

        Parameters
        ----------
        name : str

        Returns
        -------
        bool
        """
        return name in self._loaded["model"]

    def take_order(self, order: Order) -> None:
        """Begin to carry out an order; a repeated order id changes nothing.

        Parameters
        ----------
        order : Order

        Raises
        ------
        StaleFenceError
            If this engine checks fences and the order's is old.
        ValueError
            If kind or target are not known.
        """
        if order["kind"] not in KINDS:
            raise ValueError(f"unknown kind of order: {order['kind']}")
        if order["kind"] != "set_role" and order["target"] not in TARGETS:
            raise ValueError(f"unknown target of order: {order['target']}")
        if self._settings.checks_fence and order["fence"] < self.fence:
            raise StaleFenceError
        self.fence = max(self.fence, order["fence"])
        if order["order_id"] in self._orders:
            return
        self._orders.add(order["order_id"])
        delay_s = self._settings.order_s * self._settings.time_scale
        self._clock.callLater(delay_s, self._carry_out, order)

    def describe(self) -> dict[str, object]:
        """Return the state as it is read back over HTTP.

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

    def _carry_out(self, order: Order) -> None:
        name = order["name"]
        if order["kind"] == "set_role":
            self.role = name
            return
        loaded = self._loaded[order["target"]]
        if order["kind"] == "load" and name not in loaded:
            loaded.append(name)
        elif order["kind"] == "unload" and name in loaded:
            loaded.remove(name)
