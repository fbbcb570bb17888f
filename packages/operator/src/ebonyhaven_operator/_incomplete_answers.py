"""Requests that got no complete answer, by cause, from the logs of all instances."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import NamedTuple

from ebonyhaven_operator._request_timeline import LogLine

MAX_EXAMPLES = 3  # request ids of one cause
NOT_RUN_STATUSES = frozenset({429, 503})  # callers may ask again
_NUMBER = re.compile(r"\d+(\.\d+)?")


class IncompleteAnswers(NamedTuple):
    """Requests that ended alike, without a complete answer.

    Parameters
    ----------
    cause : str
    count : int
    examples : tuple of str
        Ids of some of the requests.
    """

    cause: str
    count: int
    examples: tuple[str, ...]

    def describe(self) -> str:
        """Format the requests as text for operators."""
        return f"{self.count:6} {self.cause}: {', '.join(self.examples)}"


def group_incomplete_answers(lines: Iterable[LogLine]) -> list[IncompleteAnswers]:
    """Return the requests without a complete answer, by cause, most of them first.

    These are the responses that were cut, and the requests that were answered with a
    failure of the instance itself. Refused ones are left out.

    Parameters
    ----------
    lines : iterable of LogLine
        Log lines of all instances.

    Returns
    -------
    list of IncompleteAnswers
    """
    requests: dict[str, list[str]] = {}
    for line in lines:
        cause = _find_cause(line)
        if cause is not None:
            requests.setdefault(cause, []).append(str(line.fields.get("request")))
    groups = [
        IncompleteAnswers(cause, len(ids), tuple(ids[:MAX_EXAMPLES]))
        for cause, ids in requests.items()
    ]
    return sorted(groups, key=lambda each: (-each.count, each.cause))


def _find_cause(line: LogLine) -> str | None:
    """Return why a request ended without a complete answer; None for other lines."""
    fields = line.fields
    match line.event:
        case "stream_given_up" if fields.get("delivered"):
            cause = f"cut: {fields.get('reason')}; {fields.get('last_reason')}"
        case "request_cut":
            cause = f"ended by the instance: {fields.get('reason')}"
        case "request_failed" if _is_own_failure(fields.get("status")):
            status, reason = fields.get("status"), fields.get("reason")
            return f"{status} on {fields.get('route')}: {_strip_numbers(reason)}"
        case _:
            return None
    return _strip_numbers(cause)


def _is_own_failure(status: object) -> bool:
    return isinstance(status, int) and status >= 500 and status not in NOT_RUN_STATUSES


def _strip_numbers(text: object) -> str:
    return _NUMBER.sub("N", str(text))
