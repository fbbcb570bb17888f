"""What a scenario of the bench is, and its size."""

from __future__ import annotations

import abc
import enum
from typing import Any


class Size(enum.StrEnum):
    """How long a scenario runs."""

    SHORT = "short"
    FULL = "full"


class BenchScenario(abc.ABC):
    """One measurement of the bench.

    Parameters
    ----------
    name : str
        Name on the command line and of the file of results.
    """

    def __init__(self, name: str):
        self.name = name

    @abc.abstractmethod
    async def run(self, reactor: Any, size: Size) -> dict[str, Any]:
        """Measure and return the figures as one JSON object.

        Parameters
        ----------
        reactor : object
            Twisted reactor.
        size : Size

        Returns
        -------
        dict
            Member ``broken`` counts violations of what must always hold.
        """
