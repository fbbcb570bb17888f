"""The directory is not named after its package: it would hide ``operator``."""

from __future__ import annotations

import copy
import json
import subprocess
from typing import Any, NamedTuple

from ebonyhaven_standins.cluster import Cluster, find_binary

DEADLINE_S = 60.0
OPERATORS = 6
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


class Finished(NamedTuple):
    code: int
    answer: dict[str, Any]
    error: str


class Operators(Cluster):
    """A platform and operators who run the tool."""

    def __enter__(self):
        self.start_platform()
        return super().__enter__()

    def write(self, name: str, **changes: Any) -> str:
        document = {**copy.deepcopy(DECLARATION), **changes}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))
        return str(path)

    def begin(self, *arguments: str) -> subprocess.Popen:
        command = [find_binary("ebonyhavenctl"), *arguments, "--json"]
        command += ["--platform", self.addresses["platform"]]
        return subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )

    def finish(self, process: subprocess.Popen) -> Finished:
        output, error = process.communicate(timeout=DEADLINE_S)
        answer = json.loads(output) if output else {}
        return Finished(process.returncode, answer, error)

    def run(self, *arguments: str) -> Finished:
        return self.finish(self.begin(*arguments))

    def history(self) -> list[dict[str, Any]]:
        return self.run("history").answer["versions"]


def name_workspace(name: str) -> dict[str, Any]:
    return {"workspaces": {name: {}}}


def test_change_is_diffed_applied_and_shown():
    with Operators() as operators:
        first = operators.write("first")
        second = operators.write("second", **name_workspace("studio-b"))
        assert operators.run("apply", first, "--author", "a").code == 0
        difference = operators.run("diff", second)
        assert difference.code == 1
        assert [item["path"] for item in difference.answer["changes"]] == [
            "workspaces.studio-a",
            "workspaces.studio-b",
        ]
        base = str(difference.answer["base_version"])
        applied = operators.run("apply", second, "--base", base, "--author", "b")
        assert (applied.code, applied.answer["version"]) == (0, 2)
        assert operators.run("diff", second).code == 0
        shown = operators.run("show").answer
        assert (shown["version"], shown["author"]) == (2, "b")
        assert [item["author"] for item in operators.history()] == ["b", "a"]
        again = operators.run("apply", second).answer
        assert (again["outcome"], again["version"]) == ("unchanged", 2)


def test_invalid_declaration_is_refused_with_its_path():
    with Operators() as operators:
        bad = operators.write("bad", workspaces=3)
        refused = operators.run("apply", bad)
        assert refused.code == 2
        assert refused.answer["reason"] == "workspaces: expected an object, got 3"
        assert operators.run("show").answer == {"version": 0}


def test_one_of_racing_operators_wins_and_the_others_hear_who():
    with Operators() as operators:
        operators.run("apply", operators.write("first"))
        racing = []
        for number in range(OPERATORS):
            name = f"racer-{number}"
            file = operators.write(name, **name_workspace(name))
            racing.append(
                operators.begin("apply", file, "--base", "1", "--author", name)
            )
        finished = [operators.finish(process) for process in racing]
        won = [item for item in finished if item.code == 0]
        lost = [item for item in finished if item.code == 3]
        assert (len(won), len(lost)) == (1, OPERATORS - 1)
        winner = operators.history()[0]
        assert winner["version"] == 2
        for item in lost:
            assert item.answer["winner_version"] == 2
            assert item.answer["winner_change_id"] == winner["change_id"]
            assert item.answer["winner_author"] == winner["author"]
        assert won[0].answer["change_id"] == winner["change_id"]


def test_lost_confirmation_is_settled_and_written_once():
    with Operators() as operators:
        file = operators.write("first")
        operators.platform.set_faults(lose_answers=1)
        applied = operators.run("apply", file)
        assert (applied.code, applied.answer["outcome"]) == (0, "accepted")
        assert [item["version"] for item in operators.history()] == [1]


def test_unsettled_write_says_so_and_repeating_its_change_id_settles_it():
    with Operators() as operators:
        file = operators.write("first")
        operators.platform.set_faults(lose_answers=100)
        doubtful = operators.run("apply", file, "--timeout", "0.01")
        assert (doubtful.code, doubtful.answer["outcome"]) == (5, "unconfirmed")
        operators.platform.set_faults(lose_answers=0)
        change_id = doubtful.answer["change_id"]
        settled = operators.run("apply", file, "--change-id", change_id)
        assert (settled.code, settled.answer["outcome"]) == (0, "accepted_before")
        operators.run("apply", operators.write("b", **name_workspace("studio-b")))
        repeated = operators.run("apply", file, "--change-id", change_id)
        assert (repeated.code, repeated.answer["version"]) == (0, 1)
        assert [item["version"] for item in operators.history()] == [2, 1]


def test_change_id_of_another_declaration_is_refused():
    with Operators() as operators:
        operators.run("apply", operators.write("a"), "--change-id", "c1")
        other = operators.write("b", **name_workspace("studio-b"))
        refused = operators.run("apply", other, "--change-id", "c1")
        assert (refused.code, refused.answer["outcome"]) == (2, "change_id_used")


def test_outage_is_told_as_nothing_changed():
    with Operators() as operators:
        operators.platform.set_faults(outage=True)
        refused = operators.run("apply", operators.write("a"), "--timeout", "0.5")
        assert (refused.code, refused.answer["outcome"]) == (4, "unavailable")
        operators.platform.set_faults(outage=False)
        assert operators.run("show").answer == {"version": 0}


def test_status_counts_versions_and_names_who_does_not_answer():
    with Operators() as operators:
        operators.platform.set_faults(list_lag_ms=0)
        operators.run("apply", operators.write("a"))
        entry = {"kind": "instance", "address": "127.0.0.1:1"}
        operators.platform.register("gone", entry)
        answer = operators.run("status").answer
        assert answer["version"] == 1
        assert answer["instances"][0]["status"] == "unreachable"
        operators.platform.set_faults(outage=True)
        assert operators.run("status").answer["version"] is None
