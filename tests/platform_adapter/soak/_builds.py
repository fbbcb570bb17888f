"""Builds of earlier commits, whose instances run beside present ones."""

from __future__ import annotations

import io
import os
import pathlib
import subprocess
import tarfile

ROOT = pathlib.Path(__file__).resolve().parents[3]
PACKAGES = (
    "packages/decisions/src",
    "packages/store/src",
    "packages/node/src",
    "platform/src",
)


def export_build(commit: str, directory: pathlib.Path) -> str:
    """Write the packages of a commit to a directory; return their import path."""
    archive = subprocess.run(
        ["git", "archive", commit, "--", *PACKAGES],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        check=True,
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as packed:
        packed.extractall(directory, filter="data")
    return os.pathsep.join(str(directory / each) for each in PACKAGES)
