"""Measured quantities, their units and the derivation of their values."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import NamedTuple

from ebonyhaven_standins.slopes._fits import Fit, Point, fit_line, fit_mean


class Reading(enum.Enum):
    """Derivation of the value of a quantity from its measured points.

    The value is the slope or intercept of a fitted line, the mean of the points, or
    the value of the last point.
    """

    SLOPE = "slope"
    INTERCEPT = "intercept"
    MEAN = "mean"
    LAST = "last point"


class Quantity(NamedTuple):
    """Definition of a quantity: its names, units and derivation.

    Parameters
    ----------
    key : str
        Key in the JSON file of the results.
    name : str
        Name in the table.
    unit : str
        Unit of the values.
    size_unit : str
        Unit of the sizes of the points.
    reading : Reading
        Derivation of the value from the measured points.
    """

    key: str
    name: str
    unit: str
    size_unit: str
    reading: Reading


class Measurement(NamedTuple):
    """Measured points of a quantity and their fit."""

    quantity: Quantity
    points: list[Point]
    fit: Fit

    @property
    def value(self) -> float:
        """Value of the quantity in its unit."""
        if self.quantity.reading is Reading.SLOPE:
            return self.fit.slope
        if self.quantity.reading is Reading.LAST:
            return self.points[-1].value
        return self.fit.intercept  # for `Reading.MEAN`, the mean


def _make_quantity(
    key: str, name: str, unit: str, size_unit: str, reading: Reading
) -> Quantity:
    return Quantity(key, name, unit, size_unit, reading)


QUANTITIES = (
    _make_quantity(
        "bare_interpreter",
        "resident memory of a bare interpreter",
        "MB",
        "run",
        Reading.MEAN,
    ),
    _make_quantity(
        "libraries",
        "resident memory with the node's modules and libraries imported",
        "MB",
        "run",
        Reading.MEAN,
    ),
    _make_quantity(
        "node_at_rest",
        "resident memory of a node at rest",
        "MB",
        "run",
        Reading.MEAN,
    ),
    _make_quantity(
        "peer_state", "control state of a peer", "bytes", "instances", Reading.SLOPE
    ),
    _make_quantity(
        "server_state",
        "control state of a backend server",
        "bytes",
        "backend servers",
        Reading.SLOPE,
    ),
    _make_quantity(
        "workspace_state",
        "control state of a workspace",
        "bytes",
        "workspaces",
        Reading.SLOPE,
    ),
    _make_quantity(
        "workspace_metrics",
        "metrics of a workspace",
        "bytes",
        "workspaces",
        Reading.SLOPE,
    ),
    _make_quantity(
        "stream_memory",
        "resident memory of an open stream",
        "bytes",
        "streams",
        Reading.SLOPE,
    ),
    _make_quantity(
        "key_memory",
        "a finished run that is kept",
        "bytes",
        "keys",
        Reading.SLOPE,
    ),
    _make_quantity(
        "token_memory",
        "a kept token of a run",
        "bytes",
        "tokens",
        Reading.SLOPE,
    ),
    _make_quantity(
        "token_cpu",
        "processor time of a relayed token",
        "µs",
        "tokens",
        Reading.SLOPE,
    ),
    _make_quantity(
        "request_cpu",
        "processor time of a request without its tokens",
        "µs",
        "tokens",
        Reading.INTERCEPT,
    ),
    _make_quantity(
        "message_cpu",
        "processor time of a control message, both ends",
        "µs",
        "messages",
        Reading.SLOPE,
    ),
    _make_quantity(
        "routing_cpu",
        "processor time of a routing decision",
        "µs",
        "decisions",
        Reading.SLOPE,
    ),
    _make_quantity(
        "scrape_cpu",
        "processor time of a metrics scrape, for a workspace",
        "µs",
        "workspaces",
        Reading.SLOPE,
    ),
    _make_quantity(
        "membership_messages",
        "membership messages a node sends in a second",
        "messages/s",
        "instances",
        Reading.LAST,
    ),
    _make_quantity(
        "membership_bytes",
        "membership bytes a node sends in a second",
        "bytes/s",
        "instances",
        Reading.LAST,
    ),
    _make_quantity(
        "membership_cpu",
        "processor time of membership decisions in a second",
        "µs",
        "instances",
        Reading.LAST,
    ),
    _make_quantity(
        "rest_bytes",
        "control bytes a node at rest sends in a second",
        "bytes/s",
        "instances",
        Reading.LAST,
    ),
    _make_quantity(
        "rest_cpu",
        "processor time of a node at rest",
        "% of a core",
        "instances",
        Reading.LAST,
    ),
    _make_quantity(
        "rest_reads",
        "table reads of a node at rest",
        "reads/s",
        "instances",
        Reading.SLOPE,
    ),
    _make_quantity(
        "pool_reads",
        "table reads for a pool's lease, all nodes together",
        "reads/s",
        "pools",
        Reading.SLOPE,
    ),
    _make_quantity(
        "pool_writes",
        "table writes for a pool's lease, all nodes together",
        "writes/s",
        "pools",
        Reading.SLOPE,
    ),
    _make_quantity(
        "list_bytes",
        "bytes of an entry in the platform's list",
        "bytes",
        "entries",
        Reading.SLOPE,
    ),
    _make_quantity(
        "list_cpu",
        "processor time of an entry when the list is read",
        "µs",
        "entries",
        Reading.SLOPE,
    ),
    _make_quantity(
        "list_state",
        "control state of an entry of the list",
        "bytes",
        "entries",
        Reading.SLOPE,
    ),
    _make_quantity(
        "declaration_bytes",
        "bytes of the configuration's row",
        "bytes",
        "workspaces",
        Reading.LAST,
    ),
    _make_quantity(
        "loss_seconds",
        "time until all hold lost instances as suspect",
        "s",
        "instances lost of 390",
        Reading.LAST,
    ),
    _make_quantity(
        "loss_messages",
        "messages each instance sends until then",
        "messages",
        "instances lost of 390",
        Reading.LAST,
    ),
    _make_quantity(
        "loss_bytes",
        "bytes each instance sends in the busiest quarter second of it",
        "bytes/s",
        "instances lost of 390",
        Reading.LAST,
    ),
    _make_quantity(
        "heal_seconds",
        "time until all know all again after two regions were split for 30 s",
        "s",
        "instances",
        Reading.LAST,
    ),
)
QUANTITIES_BY_KEY = {quantity.key: quantity for quantity in QUANTITIES}


def make_measurement(key: str, points: Sequence[Point]) -> Measurement:
    """Return a measurement with a mean or a line fitted to the points.

    Parameters
    ----------
    key : str
        Key of the quantity.
    points : sequence of Point
        Measured points in increasing order of size.

    Returns
    -------
    Measurement
    """
    quantity = QUANTITIES_BY_KEY[key]
    fit = fit_mean(points) if quantity.reading is Reading.MEAN else fit_line(points)
    return Measurement(quantity, list(points), fit)
