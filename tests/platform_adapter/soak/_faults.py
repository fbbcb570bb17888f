"""Faults of a soak, in series and overlapping, drawn from its seed."""

from __future__ import annotations

import random

import structlog
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._deployment import SoakDeployment
from tests.platform_adapter.soak._fault_log import FaultLog
from tests.platform_adapter.soak._instance_faults import InstanceFaults
from tests.platform_adapter.soak._rollouts import RolloutFaults
from tests.platform_adapter.soak._server_faults import BackendFaults
from tests.platform_adapter.soak._store_faults import StoreFaults

PAUSE_S = (0.1, 0.9)
LONG_PAUSE_S = (0.3, 2.0)  # between faults that last for many seconds
STREAM_PAUSE_S = (1.5, 3.5)  # in which streams begin that the next loss breaks off
DENSE_PAUSE_S = (0.1, 0.5)
KEPT_STREAMS = "streams"
CHANGES = "changes"  # planned work only
PAUSES_S = {
    "standard": PAUSE_S,
    KEPT_STREAMS: STREAM_PAUSE_S,
    CHANGES: DENSE_PAUSE_S,
}
ORDER_ROLLOUT = "order_rollout"
_STANDARD = (
    "kill_instance",
    "terminate_instance",
    "pause_instance",
    "disturb_servers",
    "disturb_servers",
    "disturb_callers",
    "disturb_store",
    "stop_store",
    "crash_server",
    "spoil_answers",
    "change_configuration",
    "change_configuration_quickly",
    "silence_store_connections",
    "name_limits",
    "make_servers_brittle",
    "cut_off_instances",
)
_LEAVING = (
    "replace_server",
    "replace_server",
    "replace_paused",
    "replace_last",
    "pause_servers",
    "terminate_waiting_instance",
    "change_configuration",
)
# Sets of faults by name; one of them is drawn at a time, so that two count double.
FAULT_SETS = {
    "standard": _STANDARD,
    "leaving": _LEAVING,
    "leaving-outages": (*_LEAVING, "replace_in_turn", "stop_store_for_long"),
    "rolling": ("replace_in_turn", "replace_in_turn", *_LEAVING),
    "leaving-disturbed": (
        *_LEAVING,
        "kill_instance",
        "pause_instance",
        "disturb_store",
        "refuse_instance",
        "stop_store",
        "forget_history",
    ),
    "leaving-readers": (
        *_LEAVING,
        "kill_instance",
        "pause_instance",
        "disturb_store",
        "refuse_instance",
    ),
    # Instances are rarely stopped, so that most of them are in touch.
    "departures": (
        "replace_server",
        "replace_server",
        "replace_in_turn",
        "replace_paused",
        "replace_paused",
        "replace_last",
        "pause_servers",
        "pause_instance",
        "kill_instance",
        "refuse_instance",
        "disturb_store",
        "forget_history",
        "change_configuration",
    ),
    "last-servers": ("replace_last", "pause_servers", "refuse_instance"),
    "leaving-limits": (
        *_LEAVING,
        "name_limits",
        "make_servers_brittle",
        "crash_server",
        "pause_instance",
    ),
    "configurations": (
        *("change_configuration",) * 4,
        *("change_configuration_quickly",) * 2,
        *("silence_store_connections",) * 2,
        "silence_connections",
        "disturb_store",
        "refuse_instance",
        "stop_store",
        "forget_history",
        "restore_store",
        "pause_instance",
        "kill_instance",
        "terminate_instance",
        "cut_off_instances",
        "crash_server",
    ),
    CHANGES: (
        *("change_configuration",) * 20,
        *("change_configuration_quickly",) * 4,
        *("reload_instances",) * 2,
        *("replace_server",) * 2,
        "terminate_waiting_instance",
        "stop_instances_in_turn",
    ),
    "foreign-rows": (*_LEAVING, "write_foreign_row"),
    "upgrade": (
        *("upgrade_instance",) * 3,
        "replace_server",
        "change_configuration",
        "crash_server",
        "pause_servers",
    ),
    # Most instances are in touch, and no server is disturbed.
    KEPT_STREAMS: (
        *("kill_instance",) * 3,
        *("change_configuration",) * 2,
        "upgrade_instance",
    ),
    "rests": (
        *("name_rests",) * 4,
        "pause_instance",
        "kill_instance",
        "pause_servers",
        "crash_server",
        "replace_server",
        "spoil_answers",
        "name_limits",
        "stop_store",
    ),
    "paces": (*("vary_paces",) * 3, *_STANDARD),
    "rollouts": (ORDER_ROLLOUT,),
    "rollouts-disturbed": (
        *(ORDER_ROLLOUT,) * 4,
        "kill_instance",
        "pause_instance",
        "disturb_store",
        "stop_store",
        "crash_server",
        "change_configuration",
        "vary_paces",
    ),
    "all": (
        *_STANDARD,
        *_LEAVING,
        "refuse_instance",
        "forget_history",
        "stop_store_for_long",
        "write_foreign_row",
        "restore_store",
        "silence_connections",
        "name_rests",
    ),
}

_log = structlog.get_logger()


class FaultInjector:
    """Injects faults until stopped.

    Parameters
    ----------
    deployment : SoakDeployment
    rng : random.Random
    fault_set : str
        Name of one of `FAULT_SETS`.

    Attributes
    ----------
    log : FaultLog
    """

    def __init__(self, deployment: SoakDeployment, rng: random.Random, fault_set: str):
        self._rng = rng
        self._names = FAULT_SETS[fault_set]
        self._pause_s = PAUSES_S.get(fault_set, LONG_PAUSE_S)
        self.log = FaultLog()
        self._kinds = [
            kind(deployment, rng, self.log)
            for kind in (InstanceFaults, BackendFaults, StoreFaults, RolloutFaults)
        ]
        self.is_stopped = False
        self._running: list[Deferred] = []

    async def run(self) -> None:
        """Start one fault after the other; each lasts for its own time."""
        while not self.is_stopped:
            await deferLater(reactor, self._rng.uniform(*self._pause_s))
            name = self._rng.choice(self._names)
            _log.info("fault_started", fault=name)
            self._running.append(ensureDeferred(self._find(name)()))

    def _find(self, name: str):
        return next(getattr(kind, name) for kind in self._kinds if hasattr(kind, name))

    async def stop(self) -> None:
        """Start no more faults, and wait for the end of those that last."""
        self.is_stopped = True
        for each in self._running:
            await each
