"""Command line of the fault proxy."""

from __future__ import annotations

from typing import Annotated

import typer

from ebonyhaven_standins._serving import serve_app
from ebonyhaven_standins.fault_proxy import ControlInterface


def main(
    *,
    control: Annotated[str, typer.Option(help="IP:PORT of the control interface.")],
) -> None:
    """Run the fault proxy until it is killed."""
    serve_app(ControlInterface().app, control)


if __name__ == "__main__":
    typer.run(main)
