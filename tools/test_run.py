"""Runs the tests with nose2 and prints their counts in the last line.

A test listed in ``KNOWN-RED.txt`` still runs; its failure is printed but not
counted. Each entry of that file starts with a line ``test: NAME``.
"""

from __future__ import annotations

import multiprocessing
import pathlib
import sys

import nose2
from nose2.plugins import mp

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "
PARALLEL_OPTIONS = ("--plugin", "nose2.plugins.mp", "-N", "4")


def read_known_failures(path: pathlib.Path) -> frozenset[str]:
    """Return the names of the tests that are known to fail.

    Parameters
    ----------
    path : pathlib.Path
        The list of known failures. A missing file means that there are none.

    Returns
    -------
    frozenset of str
    """
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    )


class OutcomeRecorder:
    """Counts test outcomes; used as a nose2 hook.

    Attributes
    ----------
    passed, skipped : int
        Numbers of tests.
    failed : set of str
        Names of the tests that failed, raised an error or passed unexpectedly.
    """

    def __init__(self) -> None:
        self.passed = 0
        self.skipped = 0
        self.failed: set[str] = set()

    def testOutcome(self, event) -> None:  # noqa: N802 name required by nose2
        """Record one finished test.

        Parameters
        ----------
        event : nose2.events.TestOutcomeEvent
        """
        if event.outcome == "skipped":
            self.skipped += 1
        elif event.expected and event.outcome == "passed":
            self.passed += 1
        else:
            self.failed.add(event.test.id().split("\n")[0])


def run_tests(arguments: list[str]) -> int:
    """Run the tests and print the counts.

    Parameters
    ----------
    arguments : list of str
        Additional arguments for nose2, such as test names.

    Returns
    -------
    int
        Exit code: 0 if at least one test passed and every failure is listed as
        known, else 1.
    """
    # A forked worker would share the epoll instance of the reactor that test
    # discovery imported.
    mp.MP_CTX = multiprocessing.get_context("spawn")
    recorder = OutcomeRecorder()
    nose2.discover(
        argv=[
            "nose2",
            "--top-level-directory",
            str(ROOT),
            *PARALLEL_OPTIONS,
            *arguments,
        ],
        exit=False,
        extraHooks=[("testOutcome", recorder)],
    )
    known = read_known_failures(KNOWN_FAILURES_PATH)
    for name in sorted(recorder.failed & known):
        print(f"known red, passed over: {name}")
    failed = recorder.failed - known
    print(f"{recorder.passed} passed, {len(failed)} failed, {recorder.skipped} skipped")
    return 1 if failed or not recorder.passed else 0


if __name__ == "__main__":
    sys.exit(run_tests(sys.argv[1:]))
