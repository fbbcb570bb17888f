"""What the answers of a new version say of it."""

from __future__ import annotations

import enum
from typing import NamedTuple


class VersionQuality(enum.StrEnum):
    """Whether a new version does as well as the one before."""

    UNDECIDED = "undecided"
    SOUND = "sound"
    BAD = "bad"


class VersionVerdict(NamedTuple):
    """Judgement of a new version, by the answers that all instances saw.

    Parameters
    ----------
    quality : VersionQuality
    answers : int
        Answers of the new version that it rests on.
    bad_answers : int
        Of these, failures and answers that were too slow.
    requests : int
        Requests of the service since the order.
    exposed : int
        Of these, requests that reached the new version.
    reason : str
        Figures that decided it, for operators.
    """

    quality: VersionQuality
    answers: int
    bad_answers: int
    requests: int
    exposed: int
    reason: str
