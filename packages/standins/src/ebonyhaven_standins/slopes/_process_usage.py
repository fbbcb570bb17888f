"""Resident memory and processor time of processes, from ``/proc``."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

REPETITIONS = 3
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PRINT_RESIDENT_BYTES = (
    "import os; pages = int(open('/proc/self/statm').read().split()[1]); "
    "print(pages * os.sysconf('SC_PAGE_SIZE'))"
)


def read_resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process in bytes."""
    text = pathlib.Path(f"/proc/{process_id}/statm").read_text()
    return int(text.split()[1]) * _PAGE_BYTES


def read_processor_s(process_id: int) -> float:
    """Return the processor time of a process, user and system, in seconds."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def measure_bare_interpreter() -> list[Measurement]:
    """Measure the resident memory of an interpreter that imports only ``os``."""
    return [make_measurement("bare_interpreter", _measure_script(""))]


def measure_libraries() -> list[Measurement]:
    """Measure the resident memory after importing all modules of a serving node."""
    script = (
        "from twisted.internet import epollreactor; epollreactor.install(); "
        "import ebonyhaven_node._composition, pynng, prometheus_client, structlog; "
    )
    return [make_measurement("libraries", _measure_script(script))]


def _measure_script(script: str) -> list[Point]:
    points = []
    for repetition in range(REPETITIONS):
        command = [sys.executable, "-c", script + _PRINT_RESIDENT_BYTES]
        output = subprocess.run(command, check=True, capture_output=True, text=True)
        points.append(Point(repetition, int(output.stdout) / 1e6))
    return points
