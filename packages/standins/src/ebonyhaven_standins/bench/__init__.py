"""Measurements on real processes, and of decisions alone."""

from __future__ import annotations
