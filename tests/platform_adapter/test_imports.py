"""Tests of what the program imports at its start."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import ebonyhaven_decisions

OWN_INTERFACE_MODULES = (
    "_admission",
    "_claims",
    "_configuration",
    "_crashes",
    "_declaration_checks",
    "_declarations",
    "_dispatching",
    "_in_flight",
    "_leases",
    "_limits",
    "_listing",
    "_listing_schedule",
    "_placement",
    "_policies",
    "_queueing",
    "_routing",
    "_scheduler",
    "_scheduler_factory",
    "_server_table",
    "_servers",
    "_usage",
    "_work",
)
UNUSED_LIBRARIES = (
    "automat",
    "ebonyhaven_operator",
    "ebonyhaven_standins",
    "ebonyhaven_store",
    "klein",
    "prometheus_client.multiprocess",
    "treq",
    "twisted.conch",
    "twisted.internet.endpoints",
    "twisted.plugin",
    "twisted.web",
    "werkzeug",
)
LIST_MODULES = """
import json, sys
import ebonyhaven_adapter._service
print(json.dumps(sorted(sys.modules)))
"""


def list_imported_modules():
    completed = subprocess.run(
        [sys.executable, "-c", LIST_MODULES],
        capture_output=True,
        timeout=60,
        check=True,
    )
    return json.loads(completed.stdout)


def test_start_imports_no_rules_of_the_own_interface():
    # Guards against starts that take a tenth more processor time for rules that
    # the program never uses; several hundred instances start at once after an outage.
    imported = list_imported_modules()
    package = "ebonyhaven_decisions"
    unneeded = {f"{package}.{name}" for name in OWN_INTERFACE_MODULES}
    assert unneeded.isdisjoint(imported)
    directory = pathlib.Path(ebonyhaven_decisions.__file__).parent
    rules = [name for name in imported if name.startswith(f"{package}._")]
    assert len(rules) < len(list(directory.glob("_[!_]*.py"))) / 2


def test_start_imports_no_libraries_that_the_program_does_not_use():
    imported = list_imported_modules()
    assert [name for name in imported if name in UNUSED_LIBRARIES] == []
