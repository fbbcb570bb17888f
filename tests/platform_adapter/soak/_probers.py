"""Callers that use the routes and keys that configurations change."""

from __future__ import annotations

import random

from tests.platform_adapter.soak._callers import Result, SoakCaller
from tests.platform_adapter.soak._configurations import (
    ADDED_PATHS,
    MOVED_PATHS,
    TIMED_PATH,
)
from tests.platform_adapter.soak._deployment import SoakDeployment, SoakInstance

GROUPS = (MOVED_PATHS, ADDED_PATHS, (TIMED_PATH,))
GROUP_WEIGHTS = (6, 5, 1)
KEY_WEIGHTS = (4, 1, 1)


def make_prober(
    number: int,
    instance: SoakInstance,
    deployment: SoakDeployment,
    results: list[Result],
    rng: random.Random,
) -> SoakCaller:
    """Return a caller of one instance, so that each shows what is in force there."""
    keys = deployment.configurations.list_keys()

    def choose_instance() -> tuple[str, str] | None:
        # The link accepts connections while no process does.
        if not instance.is_running():
            return None
        return instance.name, instance.caller_link.address

    def choose_path() -> str:
        paths = rng.choices(GROUPS, GROUP_WEIGHTS)[0]
        return f"{rng.choice(paths)}{rng.randrange(1_000_000)}"

    return SoakCaller(
        f"{instance.name}-p{number}",
        choose_instance=choose_instance,
        choose_path=choose_path,
        results=results,
        rng=rng,
        choose_key=lambda: rng.choices(keys, KEY_WEIGHTS)[0],
    )
