"""JSON form of orders and stages, in messages and in the store."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from ebonyhaven_decisions._documents import check_integer, check_number
from ebonyhaven_decisions.forwarding.rollouts._stages import (
    RolloutOrder,
    RolloutStage,
    RolloutState,
)


def encode_order(order: RolloutOrder) -> list[Any]:
    """Return an order as a list.

    Parameters
    ----------
    order : RolloutOrder
    """
    return list(order)


def decode_order(values: Sequence[Any]) -> RolloutOrder:
    """Return the order of a list; later fields of other builds are left out.

    Parameters
    ----------
    values : sequence

    Raises
    ------
    TypeError, ValueError
        If it is malformed.
    """
    order_id, service, version, duration_s, ordered_at_s, *_ = values
    return RolloutOrder(
        _check_text(order_id),
        _check_text(service),
        _check_text(version),
        check_number(duration_s, minimum=0),
        check_number(ordered_at_s),
    )


def encode_stage(stage: RolloutStage) -> list[Any]:
    """Return a stage as a list.

    Parameters
    ----------
    stage : RolloutStage
    """
    return [
        encode_order(stage.order),
        stage.state.value,
        *stage[2:-1],
        list(stage.old_versions),
    ]


def decode_stage(values: Sequence[Any]) -> RolloutStage:
    """Return the stage of a list; later fields of other builds are left out.

    Parameters
    ----------
    values : sequence

    Raises
    ------
    TypeError, ValueError
        If it is malformed.
    """
    order, state, number, share, started_at, valid_until, decider, reason, old, *_ = (
        values
    )
    return RolloutStage(
        order=decode_order(order),
        state=RolloutState(state),
        number=check_integer(number),
        share=min(1.0, check_number(share, minimum=0)),
        started_at_s=check_number(started_at),
        valid_until_s=check_number(valid_until),
        decider=_check_text(decider),
        reason=_check_text(reason),
        old_versions=tuple(map(_check_text, old)),
    )


def _check_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("expected a string")
    return value
