"""Leases that live in one row of the platform's table.

No two clocks are compared. The holder counts its lease from the moment before
it sent the write, on its own monotonic clock. Another instance may take over
once it has seen the same row version for the whole duration on its own clock:
the write it first saw was sent before that, so the holder's lease ended before.
Both sides allow for clocks that run at slightly different rates.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple

import attrs

LEASE_PREFIX = "leases/"


@attrs.frozen(slots=True, kw_only=True)
class LeaseTerms:
    """Durations of a lease in seconds.

    Parameters
    ----------
    duration_s : float
        How long a write keeps the lease.
    renew_after_s : float
        Age of the last write at which the holder renews.
    margin_s : float
        The holder stops acting this long before the end.
    rate_error : float
        Largest relative error of the rate of a clock.
    """

    duration_s: float = 10.0
    renew_after_s: float = 3.0
    margin_s: float = 2.0
    rate_error: float = 0.001

    @property
    def holder_duration_s(self) -> float:
        """How long the holder relies on a write, by its own clock."""
        return self.duration_s * (1 - self.rate_error) - self.margin_s

    @property
    def observer_duration_s(self) -> float:
        """How long others see an unchanged row before they take over."""
        return self.duration_s * (1 + self.rate_error)


class LeaseRow(NamedTuple):
    """Content of the lease's row.

    Parameters
    ----------
    holder : str
        Name of the instance; empty after a release.
    incarnation : int
        Incarnation of that instance.
    fence : int
        Grows with every change of holder.
    expires_at_ms : float
        For operators only, by the holder's wall clock.
    """

    holder: str
    incarnation: int
    fence: int
    expires_at_ms: float = 0.0

    def serialize(self) -> dict[str, Any]:
        """Return the row as a JSON value."""
        return self._asdict()


def parse_lease_row(value: Mapping[str, Any]) -> LeaseRow:
    """Return the lease that a row's JSON value holds.

    Raises
    ------
    ValueError
        If the value is no lease.
    """
    try:
        return LeaseRow(
            str(value["holder"]),
            int(value["incarnation"]),
            int(value["fence"]),
            float(value["expires_at_ms"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"no lease: {error!r}") from error


class LeaseAction(enum.Enum):
    """What an instance should do about a lease now."""

    WAIT = "wait"
    ACQUIRE = "acquire"
    RENEW = "renew"


@attrs.frozen(slots=True, kw_only=True)
class LeaseView:
    """What one instance knows of a lease.

    Parameters
    ----------
    owner : str
        Name of this instance.
    incarnation : int
        Its incarnation.
    row : LeaseRow or None
        The row as last seen; None if absent or never read.
    row_version : int
        Version of the row, 0 if absent; -1 before the first read.
    seen_at : float
        When this row version was first seen, in seconds of the own clock.
    held_until : float
        End of the own lease in seconds of the own clock, margin taken off.
    acquired_at : float
        When the present term of the own lease began.
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
        """Fencing number of the row as last seen."""
        return self.row.fence if self.row else 0

    @property
    def is_row_owner(self) -> bool:
        """Whether the row as last seen names this incarnation."""
        if self.row is None:
            return False
        named = (self.row.holder, self.row.incarnation)
        return named == (self.owner, self.incarnation)


def decide_lease(view: LeaseView, terms: LeaseTerms, now: float) -> LeaseAction:
    """Return what to do about the lease.

    Parameters
    ----------
    view : LeaseView
        What is known.
    terms : LeaseTerms
        Durations.
    now : float
        Seconds of the own clock.
    """
    if view.row_version < 0:
        return LeaseAction.WAIT
    if is_held(view, now):
        last_write = view.held_until - terms.holder_duration_s
        due = now - last_write >= terms.renew_after_s
        return LeaseAction.RENEW if due else LeaseAction.WAIT
    if view.row is None or view.row.holder == "":
        return LeaseAction.ACQUIRE
    if now - view.seen_at >= terms.observer_duration_s:
        return LeaseAction.ACQUIRE
    return LeaseAction.WAIT


def draft_row(
    view: LeaseView, action: LeaseAction, terms: LeaseTerms, wall_time: float
) -> LeaseRow:
    """Return the row to write for an action; a new term has a higher fence.

    Parameters
    ----------
    view : LeaseView
        What is known.
    action : LeaseAction
        ``ACQUIRE`` or ``RENEW``.
    terms : LeaseTerms
        Durations.
    wall_time : float
        Seconds since the epoch, for operators.
    """
    fence = view.fence + 1 if action is LeaseAction.ACQUIRE else view.fence
    expires_at_ms = (wall_time + terms.duration_s) * 1000
    return LeaseRow(view.owner, view.incarnation, fence, expires_at_ms)


def draft_release(view: LeaseView) -> LeaseRow:
    """Return the row that gives the lease up; the fence is kept."""
    return LeaseRow("", 0, view.fence, 0.0)


def observe_lease(
    view: LeaseView, row: LeaseRow | None, row_version: int, now: float
) -> LeaseView:
    """Return the view after the row was read.

    Parameters
    ----------
    view : LeaseView
        The view before.
    row : LeaseRow or None
        The row read; None if it is absent.
    row_version : int
        Its version, 0 if it is absent.
    now : float
        When the answer came, in seconds of the own clock.
    """
    if row_version <= view.row_version:
        return view
    seen = attrs.evolve(view, row=row, row_version=row_version, seen_at=now)
    if seen.is_row_owner and row is not None and row.fence == view.fence:
        return seen
    return attrs.evolve(seen, held_until=float("-inf"), acquired_at=float("inf"))


def confirm_lease(
    view: LeaseView,
    row: LeaseRow,
    row_version: int,
    terms: LeaseTerms,
    *,
    sent_at: float,
    now: float,
) -> LeaseView:
    """Return the view after an own write was confirmed.

    Parameters
    ----------
    view : LeaseView
        The view before.
    row : LeaseRow
        The row written.
    row_version : int
        Its version.
    terms : LeaseTerms
        Durations.
    sent_at : float
        Moment before the write was sent, in seconds of the own clock.
    now : float
        When the confirmation came.
    """
    if row_version < view.row_version:
        return view
    same_term = is_held(view, now) and row.fence == view.fence
    return attrs.evolve(
        view,
        row=row,
        row_version=row_version,
        seen_at=now,
        held_until=sent_at + terms.holder_duration_s,
        acquired_at=view.acquired_at if same_term else now,
    )


def is_held(view: LeaseView, now: float) -> bool:
    """Return whether the lease is safely held at ``now`` on the own clock."""
    return now < view.held_until


def may_order(view: LeaseView, now: float, *, longest_pause_s: float) -> bool:
    """Return whether an order may be sent right now.

    Parameters
    ----------
    view : LeaseView
        What is known of the lease.
    now : float
        Seconds of the own clock, read right before sending.
    longest_pause_s : float
        0 for servers that refuse old fencing numbers; for others how long an
        earlier holder may have paused between its check and its order.
    """
    return is_held(view, now) and now >= view.acquired_at + longest_pause_s
