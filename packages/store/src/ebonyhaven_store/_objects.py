"""Clients of the platform's object store and weight store."""

from __future__ import annotations

from urllib.parse import quote

from twisted.internet.defer import Deferred

from ebonyhaven_store._transport import PlatformTransport


class ObjectClient:
    """Reads and writes objects.

    Parameters
    ----------
    transport : PlatformTransport
        Connections to the platform.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: PlatformTransport):
        self._transport = transport

    def read(self, name: str) -> Deferred[bytes | None]:
        """Return the bytes of an object, or None if it is absent."""
        return Deferred.fromCoroutine(self._read(name))

    def write(self, name: str, content: bytes) -> Deferred[None]:
        """Store an object; repeating the call is safe."""
        return Deferred.fromCoroutine(self._change("PUT", name, content))

    def delete(self, name: str) -> Deferred[None]:
        """Delete an object; an absent one is no error."""
        return Deferred.fromCoroutine(self._change("DELETE", name, None))

    async def _read(self, name: str) -> bytes | None:
        answer = await self._transport.exchange(
            "GET",
            f"/objects/{quote(name)}",
            step="objects.read",
            accepted=frozenset({200, 404}),
        )
        return answer.body if answer.status == 200 else None

    async def _change(self, method: str, name: str, content: bytes | None) -> None:
        step = "objects.write" if method == "PUT" else "objects.delete"
        await self._transport.exchange(
            method, f"/objects/{quote(name)}", step=step, body=content
        )


class WeightClient:
    """Asks for permission to fetch weights.

    Parameters
    ----------
    transport : PlatformTransport
        Connections to the platform.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: PlatformTransport):
        self._transport = transport

    def request_fetch(self, name: str) -> Deferred[None]:
        """Ask to fetch the weights ``name`` once.

        Raises
        ------
        Throttled
            The weight store's rate is used up for now.
        Unavailable
            The weight store cannot be asked.
        """
        return Deferred.fromCoroutine(self._request_fetch(name))

    async def _request_fetch(self, name: str) -> None:
        await self._transport.exchange(
            "GET", f"/weights/{quote(name)}", step="weights.request"
        )
