from __future__ import annotations

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import urllib.request

from ebonyhaven_standins.cluster import allocate_address

PROCESS_TIMEOUT_S = 20.0


@contextlib.contextmanager
def run_node():
    """Run a node with an unreachable platform; yield its caller address and process."""
    address = allocate_address()
    settings = {
        "instance": "n1",
        "data_centre": "dc-a",
        "region": "r1",
        "caller_address": address,
        "control_address": allocate_address(),
        "platform_address": allocate_address(),
    }
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory, "node.json")
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "ebonyhaven_node.commands", "serve"]
        process = subprocess.Popen(
            [*command, "--settings", str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        watchdog = threading.Timer(PROCESS_TIMEOUT_S, process.kill)
        watchdog.start()
        try:
            yield address, process
        finally:
            watchdog.cancel()
            process.kill()
            process.communicate()


def read_until(process, event) -> list[str]:
    """Return the lines up to and including the first one of an event."""
    lines = []
    for line in process.stdout:
        lines.append(line)
        if f'"event": "{event}"' in line:
            return lines
    raise AssertionError(f"no {event} in {lines}: {process.stderr.read()}")


def test_node_logs_to_standard_output_and_exports_the_count_of_dropped_lines():
    with run_node() as (address, process):
        read_until(process, "node_started")
        with urllib.request.urlopen(f"http://{address}/metrics") as response:
            metrics = response.read().decode()
        process.send_signal(signal.SIGTERM)
        output, errors = process.communicate(timeout=PROCESS_TIMEOUT_S)
    assert "ebonyhaven_log_lines_lost 0.0" in metrics
    assert errors == ""
    events = [json.loads(line)["event"] for line in output.splitlines() if "{" in line]
    assert events[-1] == "node_stopped"
