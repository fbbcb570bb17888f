"""Blocking client of the fault proxy."""

from __future__ import annotations

import json
import urllib.request

from ebonyhaven_standins.cluster._addresses import allocate_address
from ebonyhaven_standins.cluster._platform import CALL_TIMEOUT_S


class FaultProxyClient:
    """Adds links to a fault proxy and sets their faults.

    Parameters
    ----------
    address : str
        Control ``IP:PORT`` of the fault proxy.
    """

    __slots__ = ("_address",)

    def __init__(self, address: str) -> None:
        self._address = address

    def add_link(
        self, name: str, *, target: str, side_a: str = "", side_b: str = ""
    ) -> str:
        """Add a link to the fault proxy and return the address that it listens on.

        Parameters
        ----------
        name : str
            Name of the link.
        target : str
            ``IP:PORT`` to forward connections to.
        side_a, side_b : str
            Names of the two sides of the network that the link connects. A
            fault such as a partition can be set on all links between two sides.
        """
        listen = allocate_address()
        body = {
            "name": name,
            "listen": listen,
            "target": target,
            "side_a": side_a,
            "side_b": side_b,
        }
        self._call("/links", body)
        return listen

    def count_open(self, link: str) -> int:
        """Return the number of open connections of a link.

        Parameters
        ----------
        link : str
            Name of the link.
        """
        url = f"http://{self._address}/links"
        with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_S) as response:
            links = json.loads(response.read())["links"]
        return sum(item["open"] for item in links if item["name"] == link)

    def set_fault(
        self,
        kind: str,
        *,
        link: str | None = None,
        sides: tuple[str, str] | None = None,
        delay_ms: float = 0.0,
    ) -> None:
        """Set a fault on a link or on all links between two sides.

        Parameters
        ----------
        kind : str
            One of the kinds of docs/PROTOCOLS.md.
        link : str or None
            Name of the link.
        sides : tuple of str or None
            Names of the two sides whose links get the fault; an alternative to
            ``link``.
        delay_ms : float
            Delay in milliseconds if the kind is ``delay``.
        """
        body: dict[str, object] = {"kind": kind, "delay_ms": delay_ms}
        if link is not None:
            body["link"] = link
        if sides is not None:
            body["side_a"], body["side_b"] = sides
        self._call("/faults", body)

    def _call(self, path: str, body: dict[str, object]) -> None:
        request = urllib.request.Request(
            f"http://{self._address}{path}",
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            method="POST",
        )
        urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S).close()
