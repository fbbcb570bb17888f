"""The build and the program that the deploy file names, in a clean checkout."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD_TIMEOUT_S = 300.0
COPIED = ("packages", "platform", "deploy", "constraints.txt")


def copy_checkout() -> pathlib.Path:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="ebonyhaven-build-"))
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__", "*.egg-info", "build")
            shutil.copytree(source, folder / name, ignore=ignored)
        else:
            shutil.copy(source, folder / name)
    return folder


def test_build_makes_a_program_that_refuses_bad_settings_with_one_line():
    folder = copy_checkout()
    plan = tomllib.loads((folder / "deploy" / "system.toml").read_text())
    built = subprocess.run(
        ["sh", "-c", plan["build"]],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
        check=False,
    )
    assert built.returncode == 0, built.stderr
    assert {path.name for path in folder.iterdir()} == {*COPIED, "target"}
    settings = folder / "settings.json"
    settings.write_text('{"nodeName": "n1"}')
    environment = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(folder / "target" / "deps"),
        "EBONYHAVEN_NODE_FILE": str(settings),
    }
    (role,) = plan["roles"].values()
    done = subprocess.run(
        role["run"].split(),
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    shutil.rmtree(folder)
    assert done.returncode == 2
    assert done.stderr == "settings: listen: must be a table\n"
    assert done.stdout == ""


def test_roles_serve_what_callers_need():
    plan = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = plan["roles"].values()
    assert {"edge", "registry"} <= set(role["serves"])
    assert role["share"] == 1.0
