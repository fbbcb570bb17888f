"""Filters that a request passes through, for any kind of request."""

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
        """Do this step, then usually the rest of the chain.

        Parameters
        ----------
        work : object
            The request with what earlier steps found out.
        proceed : callable
            Runs the rest of the chain.

        Raises
        ------
        RequestFailure
        """


async def _finish(work: object) -> None:
    """End of a chain."""


def build_chain(filters: Sequence[Filter[Work]]) -> Proceed[Work]:
    """Join filters into one callable; the first is the outermost.

    Parameters
    ----------
    filters : sequence of Filter

    Returns
    -------
    callable
    """
    proceed: Proceed = _finish
    for step in reversed(filters):
        proceed = _join(step, proceed)
    return proceed


def _join(step: Filter[Work], rest: Proceed[Work]) -> Proceed[Work]:
    async def handle(work: Work) -> None:
        await step.handle(work, rest)

    return handle
