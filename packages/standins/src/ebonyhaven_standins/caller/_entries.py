"""Cached list of the addresses of instances that accept requests."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from twisted.internet import defer, error
from twisted.web import client as web_client

REQUEST_TIMEOUT_S = 1.0
FAILED_ADDRESS_COOLDOWN_S = 5.0
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
    """Ranked addresses of instances, cached for the time to live in the response.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
        Clock and sockets.
    http : treq.client.HTTPClient
        Client that fetches the list.
    bootstrap_addresses : sequence of str
        ``IP:PORT`` of instances from which to fetch the list if it has no usable
        address.
    """

    __slots__ = (
        "_addresses",
        "_bootstrap_addresses",
        "_expires_at",
        "_failed_at",
        "_http",
        "_reactor",
        "refresh_count",
    )

    def __init__(
        self, *, reactor: Any, http: Any, bootstrap_addresses: Sequence[str]
    ) -> None:
        self._reactor = reactor
        self._http = http
        self._bootstrap_addresses = list(bootstrap_addresses)
        self._addresses: list[str] = []
        self._expires_at = 0.0
        self._failed_at: dict[str, float] = {}
        self.refresh_count = 0

    async def choose(self) -> str:
        """Return the best address that has not failed recently.

        Refreshes an expired list. If all addresses have failed recently, returns the
        one whose failure is the oldest.
        """
        if not self._list_usable() or self._reactor.seconds() >= self._expires_at:
            await self._refresh()
        usable = self._list_usable()
        if usable:
            return usable[0]
        candidates = self._addresses or self._bootstrap_addresses
        return min(candidates, key=lambda item: self._failed_at.get(item, 0.0))

    def mark_failed(self, address: str) -> None:
        """Avoid an address for `FAILED_ADDRESS_COOLDOWN_S` after a failure."""
        self._failed_at[address] = self._reactor.seconds()

    def _list_usable(self) -> list[str]:
        limit = self._reactor.seconds() - FAILED_ADDRESS_COOLDOWN_S
        return [
            address
            for address in self._addresses
            if self._failed_at.get(address, limit) <= limit
        ]

    async def _refresh(self) -> None:
        candidates = list(
            dict.fromkeys([*self._list_usable(), *self._bootstrap_addresses])
        )
        candidates.sort(key=lambda item: self._failed_at.get(item, 0.0))
        for address in candidates:
            try:
                body = await self._fetch_entries(address)
            except TRANSPORT_ERRORS:
                self.mark_failed(address)
                continue
            if body is not None:
                self._store_entries(body)
                return

    async def _fetch_entries(self, address: str) -> Any:
        response = await self._http.get(
            f"http://{address}/v1/entries", timeout=REQUEST_TIMEOUT_S
        )
        content = await response.json()
        return content if response.code == 200 else None

    def _store_entries(self, body: Any) -> None:
        self._addresses = [entry["address"] for entry in body["entries"]]
        self._expires_at = self._reactor.seconds() + body["keep_s"]
        self.refresh_count += 1
