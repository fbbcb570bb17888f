"""Responses that are kept until they are complete."""

from __future__ import annotations

from typing import NamedTuple

from ebonyhaven_node._byte_budgets import ByteBudget, ByteShare
from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._requests import ResponseHead


class _BufferedResponse(NamedTuple):
    head: ResponseHead
    body: list[bytes]
    share: ByteShare


class ResponseBuffers:
    """Responses to the attempts at one request.

    Parameters
    ----------
    budget : ByteBudget
        For the bodies of all responses that an instance keeps.
    """

    __slots__ = ("_budget", "_responses")

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self._responses: dict[Attempt, _BufferedResponse] = {}

    def start(self, attempt: Attempt, head: ResponseHead) -> None:
        """Keep the head of a response.

        Parameters
        ----------
        attempt : Attempt
        head : ResponseHead
        """
        share = self._budget.open_share()
        self._responses[attempt] = _BufferedResponse(head, [], share)

    def add(self, attempt: Attempt, data: bytes) -> bool:
        """Keep a chunk of a body; return False if there is no room for it.

        Parameters
        ----------
        attempt : Attempt
            What comes of one that was dropped is ignored.
        data : bytes
        """
        response = self._responses.get(attempt)
        if response is None:
            return True
        if not response.share.grow(len(data)):
            return False
        response.body.append(data)
        return True

    def take(self, attempt: Attempt) -> tuple[ResponseHead, bytes]:
        """Return a complete response, which is no longer kept.

        Parameters
        ----------
        attempt : Attempt

        Returns
        -------
        tuple of (ResponseHead, bytes)
        """
        response = self._responses.pop(attempt)
        response.share.close()
        return response.head, b"".join(response.body)

    def drop(self, attempt: Attempt) -> None:
        """Forget the response to an attempt, if there is one.

        Parameters
        ----------
        attempt : Attempt
        """
        response = self._responses.pop(attempt, None)
        if response is not None:
            response.share.close()

    def close(self) -> None:
        """Forget all responses."""
        for attempt in list(self._responses):
            self.drop(attempt)
