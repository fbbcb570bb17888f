"""Faults of a link."""

from __future__ import annotations

import enum

import attrs


class FaultKind(enum.StrEnum):
    """Kind of fault of a link; the values are those of the control interface.

    ``LOSE_TO_TARGET``, ``LOSE_TO_CLIENT`` and ``PARTITION`` queue the data of one or
    both directions until ``NONE`` clears the faults. ``SILENCE_OPEN`` drops all further
    data of the open connections, and ``RESET`` aborts them. ``REFUSE`` closes the
    listening port; with ``IGNORE`` it neither accepts nor refuses connections.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    LOSE_TO_TARGET = "lose_to_target"
    LOSE_TO_CLIENT = "lose_to_client"
    PARTITION = "partition"
    SILENCE_OPEN = "silence_open"
    REFUSE = "refuse"
    IGNORE = "ignore"


@attrs.define(slots=True)
class LinkFaults:
    """Active faults of a link that affect the forwarding of data.

    Parameters
    ----------
    delay_s : float
        Delay in seconds of each received chunk, in both directions.
    loses_to_target, loses_to_client : bool
        Whether the direction delivers no data until the fault is cleared.
    """

    delay_s: float = 0.0
    loses_to_target: bool = False
    loses_to_client: bool = False
