"""Interface of a benchmark scenario."""

from __future__ import annotations

import abc
import enum
from typing import Any


class Size(enum.StrEnum):
    """Extent of a scenario: number of seeds, requests and faults, and duration."""

    SHORT = "short"
    FULL = "full"


class BenchScenario(abc.ABC):
    """One measurement on a deployment.

    Parameters
    ----------
    name : str
        Name on the command line; also the prefix of the name of the result file.
    """

    def __init__(self, name: str):
        self.name = name

    @abc.abstractmethod
    async def run(self, reactor: Any, size: Size) -> dict[str, Any]:
        """Run the measurement and return its figures.

        Parameters
        ----------
        reactor : object
            Twisted reactor.
        size : Size

        Returns
        -------
        dict
            JSON object; its member ``broken`` counts violations of invariants.
        """
