"""Counts of the answers of each software version, as instances exchange them."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection
from typing import NamedTuple

# Of what is counted. The code of a time is followed by its bucket, that of a failure
# without an answer by the process of the server.
ANSWERED = "n"
FAILED = "b"
TIME = "t"
PACE = "p"
PAUSE = "g"
LOST = "l"
TIMES = (TIME, PACE, PAUSE)
# One server that crashes breaks off all that it runs; it says little of its version.
MAX_LOSSES_OF_PROCESS = 2
MAX_ROWS = 400
MAX_CODES = 200


class CountKey(NamedTuple):
    """What is counted.

    Parameters
    ----------
    route : str
    version : str
    is_loaded : bool
        Whether at least half of the server's slots were taken.
    code : str
    """

    route: str
    version: str
    is_loaded: bool
    code: str


class AnswerSummary(NamedTuple):
    """Answers of one route by the servers of some versions.

    Parameters
    ----------
    answers, failures : int
    times : dict of (str, bool) to Counter
        Counts by bucket, by kind of time and whether the server was loaded.
    """

    answers: int
    failures: int
    times: dict[tuple[str, bool], Counter]


def summarize(
    counts: Counter, versions: Collection[str] | None, *, without: str = ""
) -> dict[str, AnswerSummary]:
    """Return the answers of each route.

    Parameters
    ----------
    counts : Counter of CountKey
    versions : collection of str or None
        None for all.
    without : str
        A version to leave out.

    Returns
    -------
    dict of str to AnswerSummary
        By route.
    """
    answered: Counter = Counter()
    failed: Counter = Counter()
    lost: Counter = Counter()
    times: dict[str, dict] = defaultdict(lambda: defaultdict(Counter))
    for (route, version, is_loaded, code), count in counts.items():
        if version == without or (versions is not None and version not in versions):
            continue
        if code == ANSWERED:
            answered[route] += count
        elif code == FAILED:
            failed[route] += count
        elif code[0] == LOST:
            lost[route, code] += count
        else:
            times[route][code[0], is_loaded][int(code[1:])] += count
    _add_losses(lost, answered, failed)
    return {
        route: AnswerSummary(count, min(count, failed[route]), dict(times[route]))
        for route, count in answered.items()
    }


def _add_losses(lost: Counter, answered: Counter, failed: Counter) -> None:
    """Count what processes broke off, a few of each over all routes."""
    counted: Counter = Counter()
    for (route, code), count in lost.most_common():
        taken = min(count, MAX_LOSSES_OF_PROCESS - counted[code])
        counted[code] += taken
        failed[route] += taken
        answered[route] = max(failed[route], answered[route] - (count - taken))


def encode_counts(counts: Counter) -> list:
    """Return counts as a JSON value.

    Parameters
    ----------
    counts : Counter of CountKey
    """
    rows: dict[tuple[str, str, bool], dict[str, int]] = defaultdict(dict)
    for key, count in counts.items():
        rows[key[:3]][key.code] = count
    return [
        [route, version, int(is_loaded), codes]
        for (route, version, is_loaded), codes in rows.items()
    ]


def decode_counts(rows: object) -> Counter:
    """Return counts from a JSON value of another instance.

    Parameters
    ----------
    rows : object

    Raises
    ------
    AttributeError, TypeError, ValueError
        If it is malformed.
    """
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise ValueError("rows are no list or too many")
    counts: Counter = Counter()
    for route, version, is_loaded, codes in rows:
        if not isinstance(route, str) or not isinstance(version, str):
            raise ValueError("a route or version is no text")
        if len(codes) > MAX_CODES:
            raise ValueError("too many codes")
        for code, count in codes.items():
            _check_code(code)
            counts[CountKey(route, version, bool(is_loaded), code)] = check_count(count)
    return counts


def check_count(value: object) -> int:
    """Return a count of another instance.

    Parameters
    ----------
    value : object

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError("not a count")
    return value


def _check_code(code: str) -> None:
    is_time = code[:1] in TIMES and code[1:].isdecimal() and len(code) <= 3
    if code not in (ANSWERED, FAILED) and code[:1] != LOST and not is_time:
        raise ValueError(f"unknown code {code[:8]!r}")
