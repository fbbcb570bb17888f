"""Runs the program with its connections to servers led through its own links.

All instances know a server by the same address. Only a link of its own lets one of them
be cut off from the servers while the others reach them.
"""

from __future__ import annotations

import json
import pathlib
import sys

from ebonyhaven_adapter.__main__ import main
from twisted.internet import reactor


def route_connections(routes: dict[str, str]) -> None:
    """Lead connections to some addresses to others.

    Parameters
    ----------
    routes : dict of str to str
        Addresses of links by address of a server.
    """
    connect = reactor.connectTCP

    def connect_routed(host, port, *arguments, **options):
        host, _, port = routes.get(f"{host}:{port}", f"{host}:{port}").rpartition(":")
        return connect(host, int(port), *arguments, **options)

    reactor.connectTCP = connect_routed


if __name__ == "__main__":
    route_connections(json.loads(pathlib.Path(sys.argv[1]).read_text()))
    sys.exit(main())
