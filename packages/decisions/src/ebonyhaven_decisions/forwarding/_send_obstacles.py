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
    ``ROLLOUT``
        Its version gets no requests at this stage of a roll-out.
    ``CRASHING``
        The request crashes servers.
    """

    LEFT = "the server left"
    RESTING = "the server wants no requests for some time"
    SILENT = "the server answers nothing"
    LIMITED = "the servers limit their requests"
    ROLLOUT = "the version of the server gets no requests now"
    CRASHING = "the request crashes servers"
