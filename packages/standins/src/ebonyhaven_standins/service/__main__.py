"""Command line of the plain service stand-in.

SIGUSR1 marks the service as leaving: it refuses new requests.
"""

from __future__ import annotations

import signal
from typing import Annotated

import typer

from ebonyhaven_standins._execution_log import ExecutionLog
from ebonyhaven_standins._serving import serve_app
from ebonyhaven_standins.service import ServiceHttpApi, ServiceSettings


def main(
    *,
    name: Annotated[str, typer.Option()],
    address: Annotated[str, typer.Option()],
    log: Annotated[str, typer.Option(help="File of the execution log.")],
    delay_ms: float = 0.0,
    request_limit: float | None = None,
) -> None:
    """Run one plain service until it is killed."""
    from twisted.internet import reactor

    settings = ServiceSettings(
        name=name, delay_ms=delay_ms, request_limit=request_limit
    )
    service = ServiceHttpApi(settings, ExecutionLog(log, name), reactor)
    signal.signal(signal.SIGUSR1, lambda *_: _mark_leaving(service))
    serve_app(service.app, address)


def _mark_leaving(service: ServiceHttpApi) -> None:
    service.leaving = True


if __name__ == "__main__":
    typer.run(main)
