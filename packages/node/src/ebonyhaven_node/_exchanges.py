"""Context of a request that is passed through the filter chain."""

from __future__ import annotations

from typing import Any

import attrs
from ebonyhaven_decisions import Declaration, RequestClass
from twisted.web.http import Request

from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._runs import Run


@attrs.define(slots=True, kw_only=True, eq=False)
class Exchange:
    """A generation request that is being handled.

    Parameters
    ----------
    http_request : Request
    body : dict
        Decoded JSON body.
    workspace : str
        Set by identification.
    declaration : Declaration or None
        Configuration that applies to the request during its entire handling.
    request_class : RequestClass or None
        Set by validation.
    request : GenerationRequest or None
        Set by validation.
    run : Run or None
        Set when the request is attached to its run.
    """

    http_request: Request
    body: dict[str, Any]
    workspace: str = ""
    declaration: Declaration | None = None
    request_class: RequestClass | None = None
    request: GenerationRequest | None = None
    run: Run | None = None

    def read_header(self, name: str) -> str | None:
        """Return the value of a request header, or None if it is absent.

        Parameters
        ----------
        name : str

        Returns
        -------
        str or None
        """
        return self.http_request.getHeader(name)
