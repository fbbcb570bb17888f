"""Runs the program with the connections that it opens led through its own links.

All instances know a server or another instance by the same address. Only a link of its
own lets one of them be cut off while the others reach them.
"""

from __future__ import annotations

import json
import pathlib
import sys

from ebonyhaven_adapter.__main__ import end_process, main
from ebonyhaven_adapter._hangups import EarlyHangups


def route_connections(routes: dict[str, str]) -> None:
    """Lead connections to some addresses to others.

    Parameters
    ----------
    routes : dict of str to str
        Addresses of links by address of a server, or control address of an instance.
    """
    import pynng
    from twisted.internet import reactor

    connect, dial = reactor.connectTCP, pynng.Push0.dial

    def connect_routed(host, port, *arguments, **options):
        host, _, port = routes.get(f"{host}:{port}", f"{host}:{port}").rpartition(":")
        return connect(host, int(port), *arguments, **options)

    def dial_routed(socket, url, **options):
        scheme, _, address = url.partition("://")
        return dial(socket, f"{scheme}://{routes.get(address, address)}", **options)

    reactor.connectTCP = connect_routed
    pynng.Push0.dial = dial_routed


if __name__ == "__main__":
    EarlyHangups()  # before the slow imports
    route_connections(json.loads(pathlib.Path(sys.argv[1]).read_text()))
    end_process(main())
