"""Tests of ``ebonyhavenctl`` against a platform stand-in.

The directory is not called ``operator`` because it would shadow the standard library
module of that name.
"""

from __future__ import annotations

import copy
import json
import subprocess
from typing import Any, NamedTuple

from ebonyhaven_standins.cluster import Cluster, find_binary

COMMAND_TIMEOUT_S = 60.0
OPERATOR_COUNT = 6
DECLARATION = {
    "classes": {
        "look-up": {"first_token_ms": 500, "gap_ms": 62, "resume_ms": 1000},
    },
    "models": {"dossier": {"versions": ["1"]}},
    "pools": {
        "drafting": {"kind": "engine", "models": ["dossier"], "checks_fence": True}
    },
    "workspaces": {"studio-a": {}},
}


class CommandResult(NamedTuple):
    exit_code: int
    output: dict[str, Any]
    error: str


class OperatorCluster(Cluster):
    """Platform stand-in against which tests run ``ebonyhavenctl``."""

    def __enter__(self):
        self.start_platform()
        return super().__enter__()

    def write_declaration(self, name: str, **overrides: Any) -> str:
        declaration = {**copy.deepcopy(DECLARATION), **overrides}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(declaration))
        return str(path)

    def start_command(self, *arguments: str) -> subprocess.Popen:
        command = [find_binary("ebonyhavenctl"), *arguments, "--json"]
        command += ["--platform", self.addresses["platform"]]
        return subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )

    def wait_for_result(self, process: subprocess.Popen) -> CommandResult:
        stdout, stderr = process.communicate(timeout=COMMAND_TIMEOUT_S)
        output = json.loads(stdout) if stdout else {}
        return CommandResult(process.returncode, output, stderr)

    def run_command(self, *arguments: str) -> CommandResult:
        return self.wait_for_result(self.start_command(*arguments))

    def read_history(self) -> list[dict[str, Any]]:
        return self.run_command("history").output["versions"]


def make_workspaces(name: str) -> dict[str, Any]:
    return {"workspaces": {name: {}}}


def test_diff_apply_show_and_history_report_a_change():
    with OperatorCluster() as cluster:
        first = cluster.write_declaration("first")
        second = cluster.write_declaration("second", **make_workspaces("studio-b"))
        assert cluster.run_command("apply", first, "--author", "a").exit_code == 0
        difference = cluster.run_command("diff", second)
        assert difference.exit_code == 1
        assert [item["path"] for item in difference.output["changes"]] == [
            "workspaces.studio-a",
            "workspaces.studio-b",
        ]
        base = str(difference.output["base_version"])
        applied = cluster.run_command("apply", second, "--base", base, "--author", "b")
        assert (applied.exit_code, applied.output["version"]) == (0, 2)
        assert cluster.run_command("diff", second).exit_code == 0
        current = cluster.run_command("show").output
        assert (current["version"], current["author"]) == (2, "b")
        assert [item["author"] for item in cluster.read_history()] == ["b", "a"]
        again = cluster.run_command("apply", second).output
        assert (again["outcome"], again["version"]) == ("unchanged", 2)


def test_invalid_declaration_is_rejected_with_the_path_of_the_error():
    with OperatorCluster() as cluster:
        bad = cluster.write_declaration("bad", workspaces=3)
        rejected = cluster.run_command("apply", bad)
        assert rejected.exit_code == 2
        assert rejected.output["reason"] == "workspaces: expected an object, got 3"
        assert cluster.run_command("show").output == {"version": 0}


def test_one_of_concurrent_changes_wins_and_others_report_the_winner():
    with OperatorCluster() as cluster:
        cluster.run_command("apply", cluster.write_declaration("first"))
        processes = []
        for number in range(OPERATOR_COUNT):
            name = f"operator-{number}"
            file = cluster.write_declaration(name, **make_workspaces(name))
            processes.append(
                cluster.start_command("apply", file, "--base", "1", "--author", name)
            )
        results = [cluster.wait_for_result(process) for process in processes]
        won = [item for item in results if item.exit_code == 0]
        lost = [item for item in results if item.exit_code == 3]
        assert (len(won), len(lost)) == (1, OPERATOR_COUNT - 1)
        winner = cluster.read_history()[0]
        assert winner["version"] == 2
        for item in lost:
            assert item.output["winner_version"] == 2
            assert item.output["winner_change_id"] == winner["change_id"]
            assert item.output["winner_author"] == winner["author"]
        assert won[0].output["change_id"] == winner["change_id"]


def test_change_with_lost_confirmation_is_accepted_once():
    with OperatorCluster() as cluster:
        file = cluster.write_declaration("first")
        cluster.platform.set_faults(lose_answers=1)
        applied = cluster.run_command("apply", file)
        assert (applied.exit_code, applied.output["outcome"]) == (0, "accepted")
        assert [item["version"] for item in cluster.read_history()] == [1]


def test_repeating_the_change_id_resolves_an_unconfirmed_change():
    with OperatorCluster() as cluster:
        file = cluster.write_declaration("first")
        cluster.platform.set_faults(lose_answers=100)
        unconfirmed = cluster.run_command("apply", file, "--timeout", "0.01")
        assert (unconfirmed.exit_code, unconfirmed.output["outcome"]) == (
            5,
            "unconfirmed",
        )
        cluster.platform.set_faults(lose_answers=0)
        change_id = unconfirmed.output["change_id"]
        confirmed = cluster.run_command("apply", file, "--change-id", change_id)
        assert (confirmed.exit_code, confirmed.output["outcome"]) == (
            0,
            "accepted_before",
        )
        cluster.run_command(
            "apply", cluster.write_declaration("b", **make_workspaces("studio-b"))
        )
        repeated = cluster.run_command("apply", file, "--change-id", change_id)
        assert (repeated.exit_code, repeated.output["version"]) == (0, 1)
        assert [item["version"] for item in cluster.read_history()] == [2, 1]


def test_change_id_used_for_another_declaration_is_rejected():
    with OperatorCluster() as cluster:
        cluster.run_command(
            "apply", cluster.write_declaration("a"), "--change-id", "c1"
        )
        other = cluster.write_declaration("b", **make_workspaces("studio-b"))
        rejected = cluster.run_command("apply", other, "--change-id", "c1")
        assert (rejected.exit_code, rejected.output["outcome"]) == (2, "change_id_used")


def test_outage_is_reported_as_unavailable_and_nothing_changes():
    with OperatorCluster() as cluster:
        cluster.platform.set_faults(outage=True)
        rejected = cluster.run_command(
            "apply", cluster.write_declaration("a"), "--timeout", "0.5"
        )
        assert (rejected.exit_code, rejected.output["outcome"]) == (4, "unavailable")
        cluster.platform.set_faults(outage=False)
        assert cluster.run_command("show").output == {"version": 0}


def test_status_reports_table_version_and_unreachable_instances():
    with OperatorCluster() as cluster:
        cluster.platform.set_faults(list_lag_ms=0)
        cluster.run_command("apply", cluster.write_declaration("a"))
        entry = {"kind": "instance", "address": "127.0.0.1:1"}
        cluster.platform.register("gone", entry)
        report = cluster.run_command("status").output
        assert report["version"] == 1
        assert report["instances"][0]["status"] == "unreachable"
        cluster.platform.set_faults(outage=True)
        assert cluster.run_command("status").output["version"] is None
