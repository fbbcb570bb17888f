"""Kinds of faults of the soak scenario, with the actions that set and clear them."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import NamedTuple

from ebonyhaven_standins.checker import TimelineKind
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.scenario import Runner

LINK_DELAY_MS = 200.0
PLATFORM_DELAY_MS = 300.0
LOST_ANSWER_COUNT = 2


class FaultTarget(enum.StrEnum):
    """Kind of process that a fault affects."""

    ENGINE = "engine"
    INSTANCE = "instance"
    PLATFORM = "platform"


class Fault(NamedTuple):
    """One kind of fault.

    Parameters
    ----------
    name : str
    target : FaultTarget
    inject, clear : callable
        Called with the runner and the name of the affected process.
    min_duration_s, max_duration_s : float
        Range of the duration in seconds.
    """

    name: str
    target: FaultTarget
    inject: Callable[[Runner, str], None]
    clear: Callable[[Runner, str], None]
    min_duration_s: float
    max_duration_s: float

    def draw_duration_s(self, generator: random.Random) -> float:
        """Return a random duration in seconds within the range of the fault.

        Parameters
        ----------
        generator : random.Random

        Returns
        -------
        float
        """
        return generator.uniform(self.min_duration_s, self.max_duration_s)


def _kill_engine(runner: Runner, name: str) -> None:
    runner.timeline.add(TimelineKind.ENGINE_KILLED, name)
    runner.cluster.kill(name)


def _kill_instance(runner: Runner, name: str) -> None:
    address = runner.cluster.addresses[name]
    runner.timeline.add(TimelineKind.INSTANCE_KILLED, address)
    runner.cluster.kill(name)


def _terminate_instance(runner: Runner, name: str) -> None:
    address = runner.cluster.addresses[name]
    runner.timeline.add(TimelineKind.INSTANCE_TERMINATED, address)
    runner.cluster.terminate(name)


def _restart(runner: Runner, name: str) -> None:
    runner.cluster.restart(name, wait=False)


def _pause(runner: Runner, name: str) -> None:
    runner.cluster.pause(name)


def _resume(runner: Runner, name: str) -> None:
    runner.cluster.resume(name)


def _mark_leaving(runner: Runner, name: str) -> None:
    runner.timeline.add(TimelineKind.SERVER_LEAVING, name)
    _set_registered_state(runner.cluster, name, "leaving")


def _mark_live(runner: Runner, name: str) -> None:
    runner.timeline.add(TimelineKind.SERVER_LIVE, name)
    _set_registered_state(runner.cluster, name, "live")


def _set_registered_state(cluster: Cluster, name: str, state: str) -> None:
    for entry in cluster.platform.call("GET", "/instances")["instances"]:
        if entry["name"] == name:
            cluster.platform.register(name, {**entry, "state": state})


def _make_link_action(kind: str, prefix: str = "link") -> Callable[[Runner, str], None]:
    def act(runner: Runner, name: str) -> None:
        runner.cluster.set_fault(kind, link=f"{prefix}-{name}", delay_ms=LINK_DELAY_MS)

    return act


def _make_platform_action(**faults: object) -> Callable[[Runner, str], None]:
    def act(runner: Runner, _name: str) -> None:
        runner.cluster.platform.set_faults(**faults)

    return act


def _do_nothing(_runner: Runner, _name: str) -> None:
    """Clear a fault that acts only once or expires without being cleared."""


def _list_engine_faults() -> list[Fault]:
    engine, clear_link = FaultTarget.ENGINE, _make_link_action("none")
    return [
        Fault("engine_killed", engine, _kill_engine, _restart, 1.0, 4.0),
        Fault("engine_paused", engine, _pause, _resume, 0.5, 8.0),
        Fault("engine_leaving", engine, _mark_leaving, _mark_live, 5.0, 8.0),
        Fault(
            "link_silent",
            engine,
            _make_link_action("silence_open"),
            _do_nothing,
            1.0,
            1.0,
        ),
        Fault("link_reset", engine, _make_link_action("reset"), _do_nothing, 0.5, 0.5),
        Fault(
            "link_partition",
            engine,
            _make_link_action("partition"),
            clear_link,
            1.0,
            5.0,
        ),
        Fault(
            "link_loss_there",
            engine,
            _make_link_action("lose_to_target"),
            clear_link,
            1.0,
            4.0,
        ),
        Fault(
            "link_loss_back",
            engine,
            _make_link_action("lose_to_client"),
            clear_link,
            1.0,
            4.0,
        ),
        Fault(
            "link_refused", engine, _make_link_action("refuse"), clear_link, 1.0, 4.0
        ),
        Fault("link_slow", engine, _make_link_action("delay"), clear_link, 1.0, 4.0),
    ]


def _list_instance_faults() -> list[Fault]:
    instance = FaultTarget.INSTANCE
    cut_link, clear_link = (
        _make_link_action("partition", "platform"),
        _make_link_action("none", "platform"),
    )
    return [
        Fault("instance_killed", instance, _kill_instance, _restart, 1.0, 4.0),
        Fault("instance_paused", instance, _pause, _resume, 0.5, 6.0),
        Fault("instance_stopped", instance, _terminate_instance, _restart, 9.0, 12.0),
        Fault("instance_without_platform", instance, cut_link, clear_link, 1.0, 5.0),
    ]


def _list_platform_faults() -> list[Fault]:
    platform = FaultTarget.PLATFORM
    set_outage, clear_outage = (
        _make_platform_action(outage=True),
        _make_platform_action(outage=False),
    )
    set_delay, clear_delay = (
        _make_platform_action(delay_ms=PLATFORM_DELAY_MS),
        _make_platform_action(delay_ms=0),
    )
    lose_answers = _make_platform_action(lose_answers=LOST_ANSWER_COUNT)
    return [
        Fault("platform_outage", platform, set_outage, clear_outage, 1.0, 5.0),
        Fault("platform_slow", platform, set_delay, clear_delay, 1.0, 5.0),
        Fault("platform_lost_answers", platform, lose_answers, _do_nothing, 1.0, 1.0),
    ]


def list_faults() -> list[Fault]:
    """Return all kinds of faults for engines, instances and the platform.

    Returns
    -------
    list of Fault
    """
    return [
        *_list_engine_faults(),
        *_list_instance_faults(),
        *_list_platform_faults(),
    ]
