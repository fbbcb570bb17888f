"""Leases, each stored in one row of the platform's table.

Clocks of different instances are never compared. The holder measures its lease on
its monotonic clock, from just before it sent the write. Another instance may take
over after it has seen the same row version for the whole duration on its monotonic
clock: that write was sent before it was first seen, so the lease of its holder has
expired by then. Both sides allow for clock drift.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple

import attrs

LEASE_PREFIX = "leases/"


@attrs.frozen(slots=True, kw_only=True)
class LeaseTiming:
    """Durations of a lease in seconds.

    Parameters
    ----------
    duration_s : float
        Time from a write until the lease expires.
    renew_after_s : float
        Age of the last write at which the holder renews the lease.
    safety_margin_s : float
        Time before the expiry at which the holder stops using the lease.
    max_clock_drift_ratio : float
        Largest relative error of the rate of a monotonic clock.
    """

    duration_s: float = 10.0
    renew_after_s: float = 3.0
    safety_margin_s: float = 2.0
    max_clock_drift_ratio: float = 0.001

    @property
    def usable_duration_s(self) -> float:
        """Time for which the holder may use the lease after it sent a write."""
        return self.duration_s * (1 - self.max_clock_drift_ratio) - self.safety_margin_s

    @property
    def takeover_delay_s(self) -> float:
        """Time for which a row must be seen unchanged before a takeover."""
        return self.duration_s * (1 + self.max_clock_drift_ratio)


class LeaseRow(NamedTuple):
    """Content of the row of a lease.

    Parameters
    ----------
    holder : str
        Name of the holding instance; empty after a release.
    incarnation : int
        Incarnation of the holder.
    fence : int
        Fencing number, incremented by each acquisition.
    expires_at_ms : float
        Unix time of the expiry in milliseconds, by the wall clock of the holder.
        Informational; no decision depends on it.
    """

    holder: str
    incarnation: int
    fence: int
    expires_at_ms: float = 0.0

    def serialize(self) -> dict[str, Any]:
        """Return the row as a JSON value."""
        return self._asdict()


def parse_lease_row(value: Mapping[str, Any]) -> LeaseRow:
    """Parse the JSON value of a lease row.

    Raises
    ------
    ValueError
        If the value is not a lease row.
    """
    try:
        return LeaseRow(
            str(value["holder"]),
            int(value["incarnation"]),
            int(value["fence"]),
            float(value["expires_at_ms"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed lease row: {error!r}") from error


class LeaseAction(enum.Enum):
    """Next action of an instance on a lease."""

    WAIT = "wait"
    ACQUIRE = "acquire"
    RENEW = "renew"


@attrs.frozen(slots=True, kw_only=True)
class LeaseView:
    """State of a lease as known to one instance.

    Parameters
    ----------
    owner : str
        Name of this instance.
    incarnation : int
        Incarnation of this instance.
    row : LeaseRow or None
        The row as last seen; None if it is absent or was never read.
    row_version : int
        Version of the row; 0 if it is absent, -1 before the first read.
    seen_at : float
        Monotonic time at which this row version was first seen, in seconds.
    held_until : float
        Monotonic time until which this instance may use the lease, in seconds; the
        safety margin is already subtracted. Negative infinity without a lease.
    acquired_at : float
        Monotonic time at which this instance acquired the lease, in seconds;
        renewals don't change it. Infinity without a lease.
    """

    owner: str
    incarnation: int
    row: LeaseRow | None = None
    row_version: int = -1
    seen_at: float = 0.0
    held_until: float = float("-inf")
    acquired_at: float = float("inf")

    @property
    def fence(self) -> int:
        """Fencing number in the row as last seen; 0 without a row."""
        return self.row.fence if self.row else 0

    @property
    def is_row_holder(self) -> bool:
        """Whether this incarnation is the holder in the row as last seen."""
        if self.row is None:
            return False
        holder = (self.row.holder, self.row.incarnation)
        return holder == (self.owner, self.incarnation)


def decide_lease_action(
    view: LeaseView, timing: LeaseTiming, now: float
) -> LeaseAction:
    """Return the next action on the lease.

    Parameters
    ----------
    view : LeaseView
        State of the lease as known to this instance.
    timing : LeaseTiming
        Durations of the lease.
    now : float
        Monotonic time of this instance, in seconds.
    """
    if view.row_version < 0:
        return LeaseAction.WAIT
    if is_held(view, now):
        written_at = view.held_until - timing.usable_duration_s
        is_due = now - written_at >= timing.renew_after_s
        return LeaseAction.RENEW if is_due else LeaseAction.WAIT
    if view.row is None or view.row.holder == "":
        return LeaseAction.ACQUIRE
    if now - view.seen_at >= timing.takeover_delay_s:
        return LeaseAction.ACQUIRE
    return LeaseAction.WAIT


def build_lease_row(
    view: LeaseView, action: LeaseAction, timing: LeaseTiming, wall_time: float
) -> LeaseRow:
    """Return the row to write for an action; an acquisition increments the fence.

    Parameters
    ----------
    view : LeaseView
        State of the lease as known to this instance.
    action : LeaseAction
        ``ACQUIRE`` or ``RENEW``.
    timing : LeaseTiming
        Durations of the lease.
    wall_time : float
        Unix time in seconds; only used for ``expires_at_ms``.
    """
    fence = view.fence + 1 if action is LeaseAction.ACQUIRE else view.fence
    expires_at_ms = (wall_time + timing.duration_s) * 1000
    return LeaseRow(view.owner, view.incarnation, fence, expires_at_ms)


def build_release_row(view: LeaseView) -> LeaseRow:
    """Return the row that releases the lease; the fence does not change."""
    return LeaseRow("", 0, view.fence, 0.0)


def observe_lease(
    view: LeaseView, row: LeaseRow | None, row_version: int, now: float
) -> LeaseView:
    """Return the view after the row was read.

    Parameters
    ----------
    view : LeaseView
        The previous view.
    row : LeaseRow or None
        The row as read; None if it is absent.
    row_version : int
        Version of the row; 0 if it is absent.
    now : float
        Monotonic time at which the response arrived, in seconds.
    """
    if row_version <= view.row_version:
        return view
    seen = attrs.evolve(view, row=row, row_version=row_version, seen_at=now)
    if seen.is_row_holder and row is not None and row.fence == view.fence:
        return seen
    return attrs.evolve(seen, held_until=float("-inf"), acquired_at=float("inf"))


def confirm_lease(
    view: LeaseView,
    row: LeaseRow,
    row_version: int,
    timing: LeaseTiming,
    *,
    sent_at: float,
    now: float,
) -> LeaseView:
    """Return the view after a write of this instance was confirmed.

    Parameters
    ----------
    view : LeaseView
        The previous view.
    row : LeaseRow
        The written row.
    row_version : int
        Version of the written row.
    timing : LeaseTiming
        Durations of the lease.
    sent_at : float
        Monotonic time just before the write was sent, in seconds.
    now : float
        Monotonic time at which the confirmation arrived, in seconds.
    """
    if row_version < view.row_version:
        return view
    is_renewal = is_held(view, now) and row.fence == view.fence
    return attrs.evolve(
        view,
        row=row,
        row_version=row_version,
        seen_at=now,
        held_until=sent_at + timing.usable_duration_s,
        acquired_at=view.acquired_at if is_renewal else now,
    )


def is_held(view: LeaseView, now: float) -> bool:
    """Return whether this instance may use the lease at the monotonic time ``now``."""
    return now < view.held_until


def may_order(view: LeaseView, now: float, *, longest_pause_s: float) -> bool:
    """Return whether the lease allows an order to be sent now.

    Parameters
    ----------
    view : LeaseView
        State of the lease as known to this instance.
    now : float
        Monotonic time in seconds, read immediately before sending.
    longest_pause_s : float
        Longest time that an earlier holder may have been paused between its check
        and its order. 0 for servers that reject stale fencing numbers.
    """
    return is_held(view, now) and now >= view.acquired_at + longest_pause_s
