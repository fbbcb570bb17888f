"""Faults that a link can have."""

from __future__ import annotations

import enum

import attrs


class FaultKind(enum.StrEnum):
    """Kind of fault, as named by the control interface."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    LOSE_TO_TARGET = "lose_to_target"
    LOSE_TO_CLIENT = "lose_to_client"
    PARTITION = "partition"
    SILENCE_OPEN = "silence_open"
    REFUSE = "refuse"


@attrs.define(slots=True)
class LinkFaults:
    """Present faults of a link.

    Parameters
    ----------
    delay_s : float
        Delay of each chunk of bytes in either direction, in seconds.
    loses_to_target, loses_to_client : bool
        Directions in which nothing arrives until the fault ends.
    """

    delay_s: float = 0.0
    loses_to_target: bool = False
    loses_to_client: bool = False
