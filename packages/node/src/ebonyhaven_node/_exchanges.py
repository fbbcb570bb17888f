"""One caller's request on its way through the filters, and the filter chain."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs
from ebonyhaven_decisions import Declaration, RequestClass
from twisted.web.http import Request

from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._runs import Run


@attrs.define(slots=True, kw_only=True, eq=False)
class Exchange:
    """A request for a generation while it is handled.

    Parameters
    ----------
    http_request : Request
    body : dict
        Decoded body.
    workspace : str
        Set by identification.
    declaration : Declaration or None
        The configuration under which the request is handled, from start to end.
    request_class : RequestClass or None
        Set by validation.
    request : GenerationRequest or None
        Set by validation.
    run : Run or None
        Set once the request has a run.
    """

    http_request: Request
    body: dict[str, Any]
    workspace: str = ""
    declaration: Declaration | None = None
    request_class: RequestClass | None = None
    request: GenerationRequest | None = None
    run: Run | None = None

    def read_header(self, name: str) -> str | None:
        """Return a header's value, or None.

        Parameters
        ----------
        name : str

        Returns
        -------
        str or None
        """
        return self.http_request.getHeader(name)


Proceed = Callable[[Exchange], Awaitable[None]]


class Filter(abc.ABC):
    """One step in the handling of a request."""

    @abc.abstractmethod
    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Do this step, then usually the rest of the chain.

        Parameters
        ----------
        exchange : Exchange
        proceed : callable
            Runs the rest of the chain.

        Raises
        ------
        RequestFailure
        """


async def _finish(exchange: Exchange) -> None:
    """End of a chain."""


def build_chain(filters: Sequence[Filter]) -> Proceed:
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


def _join(step: Filter, rest: Proceed) -> Proceed:
    async def handle(exchange: Exchange) -> None:
        await step.handle(exchange, rest)

    return handle
