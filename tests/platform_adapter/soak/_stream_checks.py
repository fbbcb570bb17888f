"""Whether streams that callers take up go on as new ones begin (LOST)."""

from __future__ import annotations

from collections.abc import Iterable

from tests.platform_adapter.soak._callers import RESUMABLE_PATHS, Result
from tests.platform_adapter.soak._contact import ContactHistory

MIN_TAKEN_UP = 12
MIN_WENT_ON_RATIO = 0.5  # of the share of new streams that begin


class TakenUpStreams:
    """Streams that callers took up, beside new ones, at instances in touch.

    Parameters
    ----------
    results : iterable of Result
    contact : ContactHistory
    """

    def __init__(self, results: Iterable[Result], contact: ContactHistory):
        streams = [
            each
            for each in results
            if each.path.startswith(RESUMABLE_PATHS)
            and contact.is_in_touch(each.instance, each.sent_at, each.ended_at)
        ]
        self._taken_up = [each for each in streams if each.first_id != each.request_id]
        self._new = [each for each in streams if each.is_first]

    def check(self) -> list[str]:
        """Return whether far fewer of them went on than new ones began."""
        count = len(self._taken_up)
        bound = MIN_WENT_ON_RATIO * _count_begun(self._new) * count
        is_broken = _count_begun(self._taken_up) * len(self._new) < bound
        if count < MIN_TAKEN_UP or not is_broken:
            return []
        refused = [each.request_id for each in self._taken_up if not _has_begun(each)]
        return [f"LOST: {self.describe()}; refused: {refused}"]

    def describe(self) -> str:
        went_on, begun = _count_begun(self._taken_up), _count_begun(self._new)
        return (
            f"{went_on} of {len(self._taken_up)} streams that were taken up went on, "
            f"{begun} of {len(self._new)} began"
        )


def _count_begun(results: Iterable[Result]) -> int:
    return sum(map(_has_begun, results))


def _has_begun(result: Result) -> bool:
    return result.status == 200 and bool(result.body or result.is_whole)
