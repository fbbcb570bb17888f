"""The list of addresses that the system gave out, kept for a while."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from twisted.internet import defer, error
from twisted.web import client as web_client

REQUEST_DEADLINE_S = 1.0
AVOID_FAILED_S = 5.0
TRANSPORT_ERRORS = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionClosed,
    error.TimeoutError,
    defer.CancelledError,
    defer.TimeoutError,
    web_client.ResponseFailed,
    web_client.RequestTransmissionFailed,
    web_client.ResponseNeverReceived,
)


class EntryList:
    """Ranked addresses with the time to which they may be kept.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
        Clock and sockets.
    http : treq.client.HTTPClient
        Client for the question.
    known_addresses : sequence of str
        ``IP:PORT`` of instances to ask when the list holds none that works.
    """

    __slots__ = (
        "_addresses",
        "_expires_at",
        "_failed_at",
        "_http",
        "_known",
        "_reactor",
        "refreshes",
    )

    def __init__(
        self, *, reactor: Any, http: Any, known_addresses: Sequence[str]
    ) -> None:
        self._reactor = reactor
        self._http = http
        self._known = list(known_addresses)
        self._addresses: list[str] = []
        self._expires_at = 0.0
        self._failed_at: dict[str, float] = {}
        self.refreshes = 0

    async def choose(self) -> str:
        """Return the first address of the list that did not fail of late."""
        if not self._usable() or self._reactor.seconds() >= self._expires_at:
            await self._refresh()
        usable = self._usable()
        if usable:
            return usable[0]
        candidates = self._addresses or self._known
        return min(candidates, key=lambda item: self._failed_at.get(item, 0.0))

    def mark_failed(self, address: str) -> None:
        """Keep away from an address for a few seconds."""
        self._failed_at[address] = self._reactor.seconds()

    def _usable(self) -> list[str]:
        limit = self._reactor.seconds() - AVOID_FAILED_S
        return [
            address
            for address in self._addresses
            if self._failed_at.get(address, limit) <= limit
        ]

    async def _refresh(self) -> None:
        candidates = list(dict.fromkeys([*self._usable(), *self._known]))
        candidates.sort(key=lambda item: self._failed_at.get(item, 0.0))
        for address in candidates:
            try:
                answer = await self._ask(address)
            except TRANSPORT_ERRORS:
                self.mark_failed(address)
                continue
            if answer is not None:
                self._keep(answer)
                return

    async def _ask(self, address: str) -> Any:
        response = await self._http.get(
            f"http://{address}/v1/entries", timeout=REQUEST_DEADLINE_S
        )
        content = await response.json()
        return content if response.code == 200 else None

    def _keep(self, answer: Any) -> None:
        self._addresses = [entry["address"] for entry in answer["entries"]]
        self._expires_at = self._reactor.seconds() + answer["keep_s"]
        self.refreshes += 1
