"""Tests that run the commands and examples of the documentation pages.

The only text replaced is the platform address on the operators page.
"""

from __future__ import annotations

import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

from ebonyhaven_decisions import parse_declaration
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.scenario import Deployment, ServerSpec, start_deployment

from tools.doc_blocks import ROOT, read_blocks

SCRIPT_TIMEOUT_S = 120.0
LINK_PATTERN = re.compile(r"\]\((?!https?:)([^)#]+)")
DOCUMENTED_PLATFORM_ADDRESS = "10.0.0.5:7000"


LINKED_PAGES = (
    "CONTRIBUTING.md",
    "README.md",
    "docs/CALLERS.md",
    "docs/CAPACITY.md",
    "docs/GLOSSARY.md",
    "docs/LAYOUT.md",
    "docs/OPERATORS.md",
)


def make_deployment():
    return Deployment(
        region="r1",
        instances={"n1": "dc-a", "n2": "dc-b"},
        engines=[ServerSpec(name="s1", data_centre="dc-a")],
        workspaces=["studio-a"],
    )


def make_environment(**variables):
    binaries = pathlib.Path(sys.executable).parent
    path = f"{binaries}:{os.environ['PATH']}"
    return {**os.environ, "PATH": path, **variables}


def run_script(text, folder, **variables):
    return subprocess.run(
        ["bash", "-e", "-o", "pipefail", "-c", text],
        cwd=folder,
        env=make_environment(**variables),
        capture_output=True,
        text=True,
        timeout=SCRIPT_TIMEOUT_S,
        check=False,
    )


def read_checked_output(result):
    assert result.returncode == 0, f"{result.stdout}\n{result.stderr}"
    return result.stdout


def read_shell_blocks(page):
    return [block.text for block in read_blocks(page) if block.language == "sh"]


def read_offsets(stream):
    return [int(offset) for offset in re.findall(r"^id: (\d+)-", stream, re.MULTILINE)]


def test_callers_page_commands():
    entries, completion, reconnect = read_shell_blocks("docs/CALLERS.md")
    with Cluster() as cluster, tempfile.TemporaryDirectory() as folder:
        start_deployment(cluster, make_deployment())
        variables = {"ENTRY": cluster.addresses["n1"], "WORKSPACE": "studio-a"}
        listed = json.loads(
            read_checked_output(run_script(entries, folder, **variables))
        )
        assert {entry["instance"] for entry in listed["entries"]} <= {"n1", "n2"}
        assert listed["keep_s"] > 0
        stream = read_checked_output(run_script(completion, folder, **variables))
        assert read_offsets(stream) == list(range(9)), stream
        assert stream.rstrip().endswith("data: [DONE]")
        last_event_id = re.findall(r"^id: (2-\S+)", stream, re.MULTILINE)[0]
        variables["ENTRY"] = cluster.addresses["n2"]
        resumed_stream = read_checked_output(
            run_script(reconnect, folder, LAST_EVENT_ID=last_event_id, **variables)
        )
        assert read_offsets(resumed_stream) == list(range(3, 9))


def test_callers_page_example_client():
    (client,) = [b for b in read_blocks("docs/CALLERS.md") if b.language == "python"]
    with Cluster() as cluster, tempfile.TemporaryDirectory() as folder:
        start_deployment(cluster, make_deployment())
        known_addresses = ",".join(cluster.addresses[name] for name in ("n1", "n2"))
        path = pathlib.Path(folder) / "client.py"
        path.write_text(client.text)
        output = read_checked_output(
            run_script(
                "python client.py",
                folder,
                ENTRIES=known_addresses,
                WORKSPACE="studio-a",
            )
        )
        offsets = [text.partition(":")[2] for text in output.split()]
        assert offsets == [str(number) for number in range(8)]


def test_operators_page_declarations_and_commands():
    blocks = read_blocks("docs/OPERATORS.md")
    files = {block.name: block.text for block in blocks if block.name}
    assert set(files) == {"n1.json", "casting.json", "market.json"}
    for name in ("casting.json", "market.json"):
        parse_declaration(json.loads(files[name]))
    settings_script, change_script = read_shell_blocks("docs/OPERATORS.md")
    with Cluster() as cluster, tempfile.TemporaryDirectory() as folder:
        cluster.start_platform()
        for name, text in files.items():
            (pathlib.Path(folder) / name).write_text(text)
        read_checked_output(run_script(settings_script, folder))
        assert DOCUMENTED_PLATFORM_ADDRESS in change_script
        script = change_script.replace(
            DOCUMENTED_PLATFORM_ADDRESS, cluster.addresses["platform"]
        )
        read_checked_output(run_script(script, folder))
        row = cluster.platform.read_row("configuration/current")
        assert row["value"]["version"] == 2
        assert row["value"]["change_id"] == "ticket-812"


def test_documented_make_targets_exist():
    makefile = (ROOT / "Makefile").read_text()
    for page in ("README.md", "CONTRIBUTING.md"):
        for block in read_shell_blocks(page):
            for target in re.findall(r"^make ([\w-]+)", block, re.MULTILINE):
                assert re.search(rf"^{target}:", makefile, re.MULTILINE), target


def test_page_links_resolve_to_files():
    for page in LINKED_PAGES:
        for target in LINK_PATTERN.findall((ROOT / page).read_text()):
            path = (ROOT / page).parent / target
            assert path.exists(), f"{page} links to {target}"
