"""Benchmarks on real node processes, and of the decision functions in isolation."""

from __future__ import annotations
