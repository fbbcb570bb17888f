"""Clients of the platform's object store and weight store."""

from __future__ import annotations

from urllib.parse import quote

from twisted.internet.defer import Deferred

from ebonyhaven_store._transport import PlatformTransport


class ObjectClient:
    """Client of the platform's object store.

    Parameters
    ----------
    transport : PlatformTransport
        Connections to the platform.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: PlatformTransport):
        self._transport = transport

    def read(self, name: str) -> Deferred[bytes | None]:
        """Return the content of an object, or None if it does not exist."""
        return Deferred.fromCoroutine(self._read(name))

    def write(self, name: str, content: bytes) -> Deferred[None]:
        """Create or replace an object; the operation is idempotent."""
        return Deferred.fromCoroutine(self._send_change("PUT", name, content))

    def delete(self, name: str) -> Deferred[None]:
        """Delete an object; deleting one that does not exist is no error."""
        return Deferred.fromCoroutine(self._send_change("DELETE", name, None))

    async def _read(self, name: str) -> bytes | None:
        response = await self._transport.exchange(
            "GET",
            f"/objects/{quote(name)}",
            step="objects.read",
            accepted=frozenset({200, 404}),
        )
        return response.body if response.status == 200 else None

    async def _send_change(self, method: str, name: str, content: bytes | None) -> None:
        step = "objects.write" if method == "PUT" else "objects.delete"
        await self._transport.exchange(
            method, f"/objects/{quote(name)}", step=step, body=content
        )


class WeightClient:
    """Client of the platform's weight store, which limits the rate of fetches.

    Parameters
    ----------
    transport : PlatformTransport
        Connections to the platform.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: PlatformTransport):
        self._transport = transport

    def request_fetch(self, name: str) -> Deferred[None]:
        """Request permission for one fetch of the weights ``name``.

        Raises
        ------
        Throttled
            The rate limit of the weight store is exceeded.
        Unavailable
            The weight store cannot be reached or does not serve requests.
        """
        return Deferred.fromCoroutine(self._request_fetch(name))

    async def _request_fetch(self, name: str) -> None:
        await self._transport.exchange(
            "GET", f"/weights/{quote(name)}", step="weights.request"
        )
