"""Tests; examples of properties are the same in each run."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

# How long the tool takes to draw or run an example is no property of the code.
settings.register_profile(
    "seeded",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("seeded")
