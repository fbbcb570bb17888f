#!/bin/sh
# Builds the stand-ins of cases 6 to 10: plain files of Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sorted([*pathlib.Path("common-2").glob("*.py"), *pathlib.Path().glob("*/play.py")]):
    compile(path.read_bytes(), str(path), "exec")
PY
