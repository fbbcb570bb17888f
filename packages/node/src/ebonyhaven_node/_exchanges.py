"""One caller's request on its way through the filters."""

from __future__ import annotations

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
