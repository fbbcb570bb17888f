"""What instances tell each other of permits for brittle servers."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple


class PermitAction(enum.StrEnum):
    """What a message about a permit says; the value is its code on the wire."""

    ASK = "a"
    GRANT = "g"
    RETURN = "r"
    REFUSED = "x"
    HELD = "h"


class PermitMessage(NamedTuple):
    """Message about permits for one process of a server.

    Parameters
    ----------
    action : PermitAction
    process_id : str
        See `Backend.process_id`.
    request_ids : list of str
        Requests that the permits were asked for; for `PermitAction.HELD`, those of all
        permits whose requests are at the server.
    """

    action: PermitAction
    process_id: str
    request_ids: list[str]


def decode_permit_message(payload: Any) -> PermitMessage:
    """Return a message from its JSON value, a list of its fields.

    Parameters
    ----------
    payload : object

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    action, process_id, request_ids = payload
    return PermitMessage(
        PermitAction(action), str(process_id), [str(each) for each in request_ids]
    )
