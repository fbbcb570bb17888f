"""Size and processing cost of the data that a node reads from the platform."""

from __future__ import annotations

import hashlib
import json
import time
from typing import Any

from ebonyhaven_decisions import ConfigurationEntry, Listing

from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._memory import (
    NOW_S,
    WORKSPACE_COUNTS,
    make_member,
    make_server,
    measure_allocated_bytes,
)
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

ENTRY_COUNTS = (140, 280, 560, 1120)
REPETITIONS = 20
# Instances per list entry at the target scale; the others are backend servers.
INSTANCE_ENTRY_SHARE = 390 / 1120


def _make_list(count: int) -> bytes:
    instances = round(INSTANCE_ENTRY_SHARE * count)
    entries: list[dict[str, Any]] = []
    for number in range(count):
        process = make_member(number) if number < instances else make_server(number)
        entries.append(
            {
                "name": process.name,
                "kind": "instance" if number < instances else "backend_server",
                "address": getattr(process, "caller_address", "10.2.0.1:9000"),
                "control_address": getattr(process, "control_address", ""),
                "data_centre": process.data_centre,
                "region": process.region,
                "state": "live",
                "pool": "" if number < instances else f"pool-{number % 10}",
                "identity": f"{number:012x}",
            }
        )
    return json.dumps({"instances": entries, "measured_ms_ago": 500.0}).encode()


def _read_list(content: bytes, listing: Listing, servers: Any) -> None:
    """Process a response of the list as a node does."""
    from ebonyhaven_node._listing import _decode_process, _encode_process
    from ebonyhaven_store._instances import _parse_entry

    processes = [_parse_entry(entry) for entry in json.loads(content)["instances"]]
    listing.merge_read(
        {item.name: _encode_process(item) for item in processes},
        started_at=NOW_S,
        now=NOW_S,
        wall_s=NOW_S,
        publish=True,
    )
    if servers is not None:
        decoded = [_decode_process(*item) for item in listing.values().items()]
        servers.merge_list(item for item in decoded if item.kind == "backend_server")


def build_listing(count: int) -> Listing:
    """Return a node's state of a list with ``count`` entries."""
    listing = Listing()
    _read_list(_make_list(count), listing, None)
    return listing


def measure_list() -> list[Measurement]:
    """Measure bytes, processor time and state per entry of the list."""
    from ebonyhaven_node._servers import BackendServers

    sizes, times = [], []
    for count in ENTRY_COUNTS:
        content = _make_list(count)
        sizes.append(Point(count, len(content)))
        listing, servers = Listing(), BackendServers()
        _read_list(content, listing, servers)
        before = time.process_time()
        for _ in range(REPETITIONS):
            _read_list(content, listing, servers)
        processor_s = time.process_time() - before
        times.append(Point(count, 1e6 * processor_s / REPETITIONS))
    return [
        make_measurement("list_bytes", sizes),
        make_measurement("list_cpu", times),
        make_measurement(
            "list_state", measure_allocated_bytes(build_listing, ENTRY_COUNTS)
        ),
    ]


def measure_declaration() -> list[Measurement]:
    """Measure the size of the configuration's table row by number of workspaces."""
    points = []
    for count in WORKSPACE_COUNTS:
        workspaces = {
            f"workspace-{number:04d}": {"key_sha256": _make_digest(number)}
            for number in range(count)
        }
        entry = ConfigurationEntry(
            version=1,
            change_id=_make_digest(0),
            author="operator",
            accepted_at=NOW_S,
            declaration={"workspaces": workspaces},
        )
        points.append(Point(count, len(json.dumps(entry.serialize()))))
    return [make_measurement("declaration_bytes", points)]


def _make_digest(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()
