"""Command line of the node."""

from __future__ import annotations

import importlib.metadata
import pathlib
import sys
from typing import Annotated

import typer
from twisted.internet import epollreactor

from ebonyhaven_node._log_writer import configure_logs
from ebonyhaven_node._settings import Settings, read_settings
from ebonyhaven_node.exceptions import SettingsError

EXIT_INVALID_SETTINGS = 2

app = typer.Typer(add_completion=False, rich_markup_mode=None)
SettingsPath = Annotated[pathlib.Path, typer.Option("--settings", help="JSON file.")]


def _load_settings(path: pathlib.Path) -> Settings:
    try:
        return read_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error


def _print_version(wanted: bool) -> None:
    if wanted:
        print(importlib.metadata.version("ebonyhaven-node"))
        raise typer.Exit


@app.callback()
def describe(
    version: Annotated[
        bool, typer.Option("--version", callback=_print_version, is_eager=True)
    ] = False,
) -> None:
    """Run a node and check its settings."""


@app.command("check-settings")
def check_settings(path: Annotated[pathlib.Path, typer.Argument()]) -> None:
    """Check a settings file; the exit code is 2 if it is invalid."""
    _load_settings(path)
    print("settings are valid")


@app.command()
def serve(settings: SettingsPath) -> None:
    """Run a node until SIGTERM or SIGINT."""
    loaded = _load_settings(settings)
    log_output = configure_logs(sys.stdout.fileno())
    epollreactor.install()
    # Imports the reactor, which has to be installed before.
    from ebonyhaven_node._node_runner import run_node

    raise typer.Exit(run_node(loaded, log_output))


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
