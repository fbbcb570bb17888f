"""Command line ``ebonyhavenctl``.

Exit codes: 0 success; 1 ``diff`` found differences, ``status`` found an instance that
runs another version, or ``explain`` found no log line of the request; 2 invalid
declaration or command line; 3 conflict with another change; 4 the platform is
unavailable and nothing was changed; 5 unconfirmed, repeat the command with the printed
change id.
"""

from __future__ import annotations

import contextlib
import getpass
import json
import pathlib
import sys
import uuid
from collections.abc import Iterator
from typing import Annotated, Any

import attrs
import typer
from ebonyhaven_decisions import (
    CURRENT_CONFIGURATION_KEY,
    Declaration,
    DeclarationError,
    diff,
    parse_declaration,
)

from ebonyhaven_operator._changes import (
    AcceptedChange,
    ConfigurationChange,
    apply_change,
)
from ebonyhaven_operator._incomplete_answers import group_incomplete_answers
from ebonyhaven_operator._reading import (
    StatusReport,
    find_current_entry,
    read_history,
    read_rows_with_retry,
    read_status,
)
from ebonyhaven_operator._request_timeline import (
    LogLine,
    build_request_timeline,
    parse_log_lines,
)
from ebonyhaven_operator._session import Session, run_session
from ebonyhaven_operator.exceptions import (
    EXIT_DIFFERENT,
    EXIT_INVALID,
    CommandError,
)

DEFAULT_TIMEOUT_S = 20.0
DEFAULT_HISTORY_LENGTH = 20
EMPTY_DECLARATION = Declaration(classes={}, models={}, pools={}, workspaces={})

app = typer.Typer(
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help="Operate ebonyhaven.",
    epilog=(
        "Exit codes: 0 success; 1 differences (diff, status) or no log line "
        "(explain); 2 invalid; 3 conflict; 4 platform unavailable, nothing changed; "
        "5 unconfirmed, repeat with the printed change id."
    ),
)

FileArgument = Annotated[pathlib.Path, typer.Argument(help="Declaration file in JSON.")]
PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform", envvar="EBONYHAVEN_PLATFORM", help="IP:PORT of the platform."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
TimeoutOption = Annotated[
    float,
    typer.Option("--timeout", help="Seconds during which failed requests are retried."),
]


@app.command()
def apply(
    file: FileArgument,
    *,
    platform: PlatformOption,
    as_json: JsonOption = False,
    base: Annotated[
        int | None, typer.Option(help="Version that the change is based on.")
    ] = None,
    change_id: Annotated[
        str, typer.Option(help="Identifier that makes repeating the change safe.")
    ] = "",
    author: Annotated[str, typer.Option(help="Author of the change.")] = "",
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
) -> None:
    """Apply a declaration as the configuration of all instances."""

    async def run(session: Session) -> AcceptedChange:
        return await apply_change(
            session.table,
            change,
            clock=session.reactor,
            retry_policy=session.retry_policy,
        )

    with _handling_errors(as_json):
        change = ConfigurationChange(
            declaration=_read_declaration(file),
            change_id=change_id or uuid.uuid4().hex,
            author=author or getpass.getuser(),
            base_version=base,
        )
        accepted = run_session(platform, timeout, run)
        text = f"{accepted.outcome}: version {accepted.version}"
        details = {"version": accepted.version, "change_id": change.change_id}
        _print_result(as_json, text, outcome=accepted.outcome, **details)


@app.command("diff")
def show_differences(
    file: FileArgument,
    platform: PlatformOption,
    as_json: JsonOption = False,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
) -> None:
    """Show what applying a declaration would change; exit code 1 on differences."""
    with _handling_errors(as_json):
        proposed = _read_declaration(file)
        current = run_session(platform, timeout, _read_current)
        before = EMPTY_DECLARATION
        if current.entry is not None:
            before = parse_declaration(current.entry.declaration)
        changes = diff(before, proposed)
        lines = [f"against version {current.version}", *map(str, changes)]
        _print_result(
            as_json,
            "\n".join(lines),
            base_version=current.version,
            changes=[change._asdict() for change in changes],
        )
        if changes:
            raise typer.Exit(EXIT_DIFFERENT)


@app.command()
def show(
    platform: PlatformOption,
    as_json: JsonOption = False,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
) -> None:
    """Show the current configuration."""
    with _handling_errors(as_json):
        current = run_session(platform, timeout, _read_current)
        entry = {"version": 0}
        if current.entry is not None:
            entry = attrs.asdict(current.entry)
        _print_result(as_json, json.dumps(entry, indent=2), **entry)


@app.command()
def history(
    platform: PlatformOption,
    as_json: JsonOption = False,
    length: Annotated[
        int, typer.Option(help="Maximum number of versions to show.", min=1)
    ] = DEFAULT_HISTORY_LENGTH,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
) -> None:
    """Show the latest accepted versions, newest first."""

    async def run(session: Session) -> list:
        return await read_history(
            session.table, length, session.reactor, session.retry_policy
        )

    with _handling_errors(as_json):
        entries = run_session(platform, timeout, run)
        lines = [
            f"{entry.version}  {entry.accepted_at:.0f}  {entry.author}  "
            f"{entry.change_id}"
            for entry in entries
        ]
        summaries = [
            {
                "version": entry.version,
                "accepted_at": entry.accepted_at,
                "author": entry.author,
                "change_id": entry.change_id,
            }
            for entry in entries
        ]
        _print_result(as_json, "\n".join(lines), versions=summaries)


@app.command()
def status(platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Show the version of each instance; exit code 1 if one is not current."""

    async def run(session: Session) -> StatusReport:
        return await read_status(session.table, session.instances, session.reactor)

    with _handling_errors(as_json):
        report = run_session(platform, DEFAULT_TIMEOUT_S, run)
        _print_result(
            as_json,
            _describe_status(report),
            version=report.version,
            shares={
                str(version): share for version, share in report.version_shares.items()
            },
            instances=[item._asdict() for item in report.instances],
        )
        if not report.is_rolled_out:
            raise typer.Exit(EXIT_DIFFERENT)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[list[pathlib.Path], typer.Argument(help="Log files of instances.")],
) -> None:
    """Print the log lines relevant to one request in time order."""
    timeline = build_request_timeline(request_id, _read_logs(logs))
    if not timeline:
        print(f"no log line of request {request_id} found", file=sys.stderr)
        raise typer.Exit(EXIT_DIFFERENT)
    for line in timeline:
        print(line.describe())


@app.command()
def incomplete(
    logs: Annotated[list[pathlib.Path], typer.Argument(help="Log files of instances.")],
) -> None:
    """Count the requests without a complete answer by cause, with ids of some."""
    for group in group_incomplete_answers(_read_logs(logs)):
        print(group.describe())


def _read_logs(paths: list[pathlib.Path]) -> Iterator[LogLine]:
    for path in paths:
        try:
            with path.open(errors="replace") as file:
                yield from parse_log_lines(path.stem, file)
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            raise typer.Exit(EXIT_INVALID) from error


def _describe_status(report: StatusReport) -> str:
    table_version = "unknown" if report.version is None else report.version
    lines = [f"version in the table: {table_version}"]
    for version, share in report.version_shares.items():
        lines.append(f"version {version}: {share:.1%} of the reachable instances")
    for item in report.instances:
        version = "-" if item.version is None else item.version
        lines.append(f"{item.instance}  {item.address}  {item.status}  {version}")
    return "\n".join(lines)


async def _read_current(session: Session) -> Any:
    rows = await read_rows_with_retry(
        session.table,
        [CURRENT_CONFIGURATION_KEY],
        session.reactor,
        session.retry_policy,
    )
    return find_current_entry(rows)


def _read_declaration(path: pathlib.Path) -> Declaration:
    try:
        return parse_declaration(json.loads(path.read_text()))
    except DeclarationError as error:
        message = "\n".join(str(problem) for problem in error.problems)
        raise CommandError("invalid", message, exit_code=EXIT_INVALID) from error
    except (OSError, ValueError) as error:
        message = f"{path}: {error}"
        raise CommandError("invalid", message, exit_code=EXIT_INVALID) from error


@contextlib.contextmanager
def _handling_errors(as_json: bool) -> Iterator[None]:
    """Print a command error and exit with its exit code."""
    try:
        yield
    except CommandError as error:
        if as_json:
            body = {"outcome": error.outcome, "reason": str(error), **error.details}
            print(json.dumps(body))
        else:
            print(error, file=sys.stderr)
        raise typer.Exit(error.exit_code) from error


def _print_result(as_json: bool, text: str, **details: Any) -> None:
    print(json.dumps(details) if as_json else text)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
