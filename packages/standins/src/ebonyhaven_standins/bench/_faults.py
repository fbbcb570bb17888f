"""Faults of the random soak: how each begins and ends."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import NamedTuple

from ebonyhaven_standins.checker import TimelineKind
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.scenario import Runner

DELAY_MS = 200.0
SLOW_PLATFORM_MS = 300.0
LOST_ANSWERS = 2


class Target(enum.StrEnum):
    """What a fault strikes."""

    ENGINE = "engine"
    INSTANCE = "instance"
    PLATFORM = "platform"


class Fault(NamedTuple):
    """One kind of fault.

    Parameters
    ----------
    name : str
    target : Target
    begin, end : callable
        Called with the runner and the name of the process.
    least_s, most_s : float
        Range of the duration in seconds.
    """

    name: str
    target: Target
    begin: Callable[[Runner, str], None]
    end: Callable[[Runner, str], None]
    least_s: float
    most_s: float

    def draw_duration_s(self, generator: random.Random) -> float:
        """Return a duration in seconds.

        Parameters
        ----------
        generator : random.Random

        Returns
        -------
        float
        """
        return generator.uniform(self.least_s, self.most_s)


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


def _leave(runner: Runner, name: str) -> None:
    runner.timeline.add(TimelineKind.SERVER_LEAVING, name)
    _register(runner.cluster, name, "leaving")


def _return(runner: Runner, name: str) -> None:
    runner.timeline.add(TimelineKind.SERVER_LIVE, name)
    _register(runner.cluster, name, "live")


def _register(cluster: Cluster, name: str, state: str) -> None:
    for entry in cluster.platform.call("GET", "/instances")["instances"]:
        if entry["name"] == name:
            cluster.platform.register(name, {**entry, "state": state})


def _on_link(kind: str, prefix: str = "link") -> Callable[[Runner, str], None]:
    def act(runner: Runner, name: str) -> None:
        runner.cluster.set_fault(kind, link=f"{prefix}-{name}", delay_ms=DELAY_MS)

    return act


def _on_platform(**faults: object) -> Callable[[Runner, str], None]:
    def act(runner: Runner, _name: str) -> None:
        runner.cluster.platform.set_faults(**faults)

    return act


def _do_nothing(_runner: Runner, _name: str) -> None:
    """End of a fault that has no end of its own."""


def _list_engine_faults() -> list[Fault]:
    engine, heal = Target.ENGINE, _on_link("none")
    return [
        Fault("engine_killed", engine, _kill_engine, _restart, 1.0, 4.0),
        Fault("engine_paused", engine, _pause, _resume, 0.5, 8.0),
        Fault("engine_leaving", engine, _leave, _return, 5.0, 8.0),
        Fault("link_silent", engine, _on_link("silence_open"), _do_nothing, 1.0, 1.0),
        Fault("link_reset", engine, _on_link("reset"), _do_nothing, 0.5, 0.5),
        Fault("link_partition", engine, _on_link("partition"), heal, 1.0, 5.0),
        Fault("link_loss_there", engine, _on_link("lose_to_target"), heal, 1.0, 4.0),
        Fault("link_loss_back", engine, _on_link("lose_to_client"), heal, 1.0, 4.0),
        Fault("link_refused", engine, _on_link("refuse"), heal, 1.0, 4.0),
        Fault("link_slow", engine, _on_link("delay"), heal, 1.0, 4.0),
    ]


def _list_instance_faults() -> list[Fault]:
    instance = Target.INSTANCE
    cut, heal = _on_link("partition", "platform"), _on_link("none", "platform")
    return [
        Fault("instance_killed", instance, _kill_instance, _restart, 1.0, 4.0),
        Fault("instance_paused", instance, _pause, _resume, 0.5, 6.0),
        Fault("instance_stopped", instance, _terminate_instance, _restart, 9.0, 12.0),
        Fault("instance_without_platform", instance, cut, heal, 1.0, 5.0),
    ]


def _list_platform_faults() -> list[Fault]:
    platform = Target.PLATFORM
    outage, up = _on_platform(outage=True), _on_platform(outage=False)
    slow, quick = _on_platform(delay_ms=SLOW_PLATFORM_MS), _on_platform(delay_ms=0)
    lose = _on_platform(lose_answers=LOST_ANSWERS)
    return [
        Fault("platform_outage", platform, outage, up, 1.0, 5.0),
        Fault("platform_slow", platform, slow, quick, 1.0, 5.0),
        Fault("platform_lost_answers", platform, lose, _do_nothing, 1.0, 1.0),
    ]


def list_faults() -> list[Fault]:
    """Return all kinds of faults.

    Returns
    -------
    list of Fault
    """
    return [
        *_list_engine_faults(),
        *_list_instance_faults(),
        *_list_platform_faults(),
    ]
