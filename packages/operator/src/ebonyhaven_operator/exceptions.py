"""Errors of the operators' command line tool and their exit codes."""

from __future__ import annotations

from typing import Any

from ebonyhaven_decisions import ConfigurationEntry

EXIT_SUCCESS = 0
EXIT_DIFFERENT = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNCONFIRMED = 5


class CommandError(Exception):
    """A command failed.

    Parameters
    ----------
    outcome : str
        Machine-readable name of the outcome.
    message : str
        Message to the operator.
    exit_code : int
        Exit code of the process.
    **details : object
        Further fields of the JSON output.
    """

    def __init__(self, outcome: str, message: str, *, exit_code: int, **details: Any):
        super().__init__(message)
        self.outcome = outcome
        self.exit_code = exit_code
        self.details = details


def make_conflict_error(
    base_version: int, current: ConfigurationEntry | None
) -> CommandError:
    """Return the error for a change whose base version is not current.

    Parameters
    ----------
    base_version : int
        Version that the change was based on.
    current : ConfigurationEntry or None
        Current configuration; None if none has been accepted.
    """
    version = current.version if current else 0
    author = current.author if current else ""
    change_id = current.change_id if current else ""
    message = (
        f"not accepted: based on version {base_version}, but version {version} "
        f"by {author or 'nobody'} (change {change_id or 'none'}) is current; "
        f"diff against it and apply again"
    )
    return CommandError(
        "conflict",
        message,
        exit_code=EXIT_CONFLICT,
        base_version=base_version,
        winner_version=version,
        winner_author=author,
        winner_change_id=change_id,
    )
