"""Command line of the demo."""

from __future__ import annotations

from ebonyhaven_standins.demo import run_demo

if __name__ == "__main__":
    run_demo()
