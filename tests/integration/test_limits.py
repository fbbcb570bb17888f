"""A limit that a backend server names holds for all instances together."""

from __future__ import annotations

import time

from tests.integration.test_once import make_headers
from tests.integration.trials import deploy

LIMIT = 4.0
PRESS_S = 4.0
CONTACT_S = 3.0  # until all instances keep a limit
INSTANCES = ("n1", "n2")


def press(system, seconds):
    """Call the service at all instances in turn; return the statuses."""
    statuses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in INSTANCES:
            headers = make_headers(f"{name}-{len(statuses)}")
            path = "/services/listings/x"
            statuses.append(system.call(name, headers=headers, body={}, path=path)[0])
    return statuses


def test_limit_of_a_plain_service_holds_for_all_instances_together():
    with deploy(
        engines=0, services=1, service_options=("--request-limit", str(LIMIT))
    ) as system:
        press(system, CONTACT_S)
        before = len(system.find_log_lines("start"))
        began_at = time.monotonic()
        statuses = press(system, PRESS_S)
        elapsed_s = time.monotonic() - began_at
        arrivals = len(system.find_log_lines("start")) - before
    assert arrivals <= 1.5 * LIMIT * elapsed_s + 5
    assert statuses.count(200) == arrivals
    assert arrivals >= LIMIT * elapsed_s / 2
    assert len(statuses) > 2 * arrivals  # the rest was refused at once
