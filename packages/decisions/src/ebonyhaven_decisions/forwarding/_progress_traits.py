"""Traits of a content that crashes its server far into its stream.

A content that crashes servers does so at about the same place of each run. That a
server went on past one place says nothing about later ones, and a server that is lost
at another place was lost for another reason. Places are therefore classes of about a
factor of two; of two series that overlap, one has near places in the same class.
"""

from __future__ import annotations

import math

EARLY_EVENTS = 8  # of a run; a server lost before them counts against all traits
MAX_CLASS = 11  # of runs with some thousand events


def list_progress_traits(content: str) -> tuple[str, ...]:
    """Return all traits of a content whose server is lost far into its stream.

    Parameters
    ----------
    content : str
        Most specific trait of a request, see `CrashHistory`.
    """
    lowest = int(math.log2(EARLY_EVENTS))
    return tuple(
        f"{content} {series}{number}"
        for number in range(lowest, MAX_CLASS + 1)
        for series in "ab"
    )


def choose_progress_traits(content: str, events: int) -> tuple[str, ...]:
    """Return the traits that the loss of a server counts against.

    Parameters
    ----------
    content : str
        Most specific trait of the request that the server was running.
    events : int
        Events that it had sent in this run, at least `EARLY_EVENTS`.
    """
    place = math.log2(events)
    classes = {"a": math.floor(place), "b": math.floor(place + 0.5)}
    return tuple(
        f"{content} {series}{min(number, MAX_CLASS)}"
        for series, number in classes.items()
    )
