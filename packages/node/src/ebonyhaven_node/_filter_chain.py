"""Chain of filters that handle a request, generic over the request context."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, TypeVar

Work = TypeVar("Work")
Proceed = Callable[[Work], Awaitable[None]]


class Filter(abc.ABC, Generic[Work]):
    """One step in the handling of a request."""

    @abc.abstractmethod
    async def handle(self, work: Work, proceed: Proceed[Work]) -> None:
        """Handle the request and usually call ``proceed``.

        Parameters
        ----------
        work : object
            Context of the request, with the results of earlier filters.
        proceed : callable
            Runs the remaining filters.

        Raises
        ------
        RequestFailure
        """


async def _finish(work: object) -> None:
    """Do nothing at the end of a chain."""


def build_chain(filters: Sequence[Filter[Work]]) -> Proceed[Work]:
    """Combine filters into one callable; the first filter is the outermost.

    Parameters
    ----------
    filters : sequence of Filter

    Returns
    -------
    callable
    """
    proceed: Proceed = _finish
    for each in reversed(filters):
        proceed = _prepend(each, proceed)
    return proceed


def _prepend(first: Filter[Work], proceed: Proceed[Work]) -> Proceed[Work]:
    async def handle(work: Work) -> None:
        await first.handle(work, proceed)

    return handle
