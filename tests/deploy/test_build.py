"""Tests of ``deploy/system.toml``, run on a copy of the deployed files."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD_TIMEOUT_S = 300.0
COPIED_PATHS = ("packages", "platform", "deploy", "constraints.txt")


def copy_deployed_files() -> pathlib.Path:
    directory = pathlib.Path(tempfile.mkdtemp(prefix="ebonyhaven-build-"))
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__", "*.egg-info", "build")
            shutil.copytree(source, directory / name, ignore=ignored)
        else:
            shutil.copy(source, directory / name)
    return directory


def run_build(directory):
    deployment = tomllib.loads((directory / "deploy" / "system.toml").read_text())
    build = subprocess.run(
        ["sh", "-c", deployment["build"]],
        cwd=directory,
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
        check=False,
    )
    assert build.returncode == 0, build.stderr
    return deployment


def test_libraries_of_another_kind_of_machine_are_built_anew():
    # Guards against a folder that was carried over, in which the program cannot start.
    directory = copy_deployed_files()
    target = directory / "target"
    (target / "deps").mkdir(parents=True)
    left_over = target / "deps" / "left_over.py"
    left_over.touch()
    (target / "installed").touch()
    run_build(directory)
    assert not left_over.exists()
    left_over.touch()
    run_build(directory)
    assert left_over.exists()
    shutil.rmtree(directory)


def test_built_program_reports_invalid_settings_on_one_line():
    directory = copy_deployed_files()
    deployment = run_build(directory)
    assert {path.name for path in directory.iterdir()} == {*COPIED_PATHS, "target"}
    settings = directory / "settings.json"
    settings.write_text('{"nodeName": "n1"}')
    environment = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(directory / "target" / "deps"),
        "EBONYHAVEN_NODE_FILE": str(settings),
    }
    (role,) = deployment["roles"].values()
    completed = subprocess.run(
        role["run"].split(),
        cwd=directory,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    shutil.rmtree(directory)
    assert completed.returncode == 2
    assert completed.stderr == "settings: listen: must be an object\n"
    assert completed.stdout == ""


def test_started_program_compiles_no_modules():
    # Guards against starts that compile every module anew, at two to three times the
    # processor time, because programs cannot write to the tree.
    directory = copy_deployed_files()
    deployment = run_build(directory)
    deps = directory / "target" / "deps"
    for source in deps.rglob("*.py"):
        os.utime(source, (0, 0))  # as in a copy that doesn't keep modification times
    compiled = {path: path.stat().st_mtime_ns for path in deps.rglob("*.pyc")}
    (role,) = deployment["roles"].values()
    interpreter, *_ = role["run"].split()
    subprocess.run(
        [interpreter, "-c", "import ebonyhaven_adapter._service"],
        cwd=directory,
        env={"PATH": os.environ["PATH"], "PYTHONPATH": str(deps)},
        timeout=60,
        check=True,
    )
    assert {path: path.stat().st_mtime_ns for path in deps.rglob("*.pyc")} == compiled
    shutil.rmtree(directory)


def test_role_serves_the_edge_and_the_registry():
    deployment = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deployment["roles"].values()
    assert {"edge", "registry"} <= set(role["serves"])
    assert role["share"] == 1.0
