"""Lines of log files that other processes still write to."""

from __future__ import annotations

import pathlib


def read_whole_lines(path: pathlib.Path) -> list[str]:
    """Return the lines of a file, without one that is not written to its end yet.

    A reader may see a part of a single write, cut at a page of the file.

    Parameters
    ----------
    path : pathlib.Path

    Returns
    -------
    list of str
        Without their line breaks.
    """
    *whole_lines, _ = path.read_bytes().split(b"\n")
    return [line.decode(errors="replace") for line in whole_lines]
