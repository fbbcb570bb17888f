"""What keeps an instance from sending a request to a server that it has chosen."""

from __future__ import annotations

import enum


class SendObstacle(enum.Enum):
    """What an instance knows of a server that forbids to send it a request now.

    ``LEFT``
        It said that it leaves, or is no longer listed.
    ``RESTING``
        It turned a request away and named a time for which it wants none.
    ``SILENT``
        It leaves requests of this instance unanswered.
    ``LIMITED``
        The limits that it names forbid it.
    ``CRASHING``
        The request crashes servers.
    """

    LEFT = "the server left"
    RESTING = "the server wants no requests for some time"
    SILENT = "the server answers nothing"
    LIMITED = "the servers limit their requests"
    CRASHING = "the request crashes servers"
