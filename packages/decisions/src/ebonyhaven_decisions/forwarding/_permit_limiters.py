"""Part of an instance in the permits for requests to one process of a server."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding._permits import (
    UNPERMITTED_PREFIX,
    Permit,
    PermitLedger,
)
from ebonyhaven_decisions.forwarding._refusal_limits import RefusalLimiter
from ebonyhaven_decisions.forwarding._room_estimates import RoomEstimate


class PermitLimiter(RefusalLimiter):
    """Bounds the requests at a brittle server by permits of its owner.

    Attributes
    ----------
    owner : str
        Name of the instance that hands out the permits.
    is_owner : bool
        Whether that is this instance.
    ledger : PermitLedger
        In use while this instance is the owner.
    """

    __slots__ = (
        "_direct",
        "_knows_owner",
        "_reported_direct",
        "_returned",
        "_unused",
        "_used",
        "is_owner",
        "ledger",
        "owner",
    )

    def __init__(self) -> None:
        super().__init__()
        self.owner = ""
        self.is_owner = True
        self.ledger = PermitLedger(RoomEstimate())
        self._knows_owner = False
        self._direct = 0  # requests at the server that needed no permit
        # As the owner was told it; -1 before.
        self._reported_direct = -1
        self._unused: list[str] = []  # permits, by request id
        self._used: list[str] = []
        self._returned: list[str] = []

    def set_limit(self, limit: int | None, *, slots: int) -> None:
        """See `RefusalLimiter.set_limit`."""
        is_new = limit != self.limit or slots != self._slots
        super().set_limit(limit, slots=slots)
        if is_new and limit is not None:
            self.ledger.room = self._estimate_anew()
            self._reported_direct = -1

    def set_share(self, *, rank: int, instances: int, owner: str = "") -> None:
        """See `RefusalLimiter.set_share`; the first in the order is the owner."""
        super().set_share(rank=rank, instances=instances, owner=owner)
        was_owner, self.is_owner = self.is_owner, rank == 0
        if self.is_owner and not was_owner and self._knows_owner:
            self.ledger = PermitLedger(self._estimate_anew(), is_taken_over=True)
        if owner != self.owner:
            self._reported_direct = -1
        self.owner = owner
        self._knows_owner = True

    def may_send(self, now: float) -> bool:
        """See `RefusalLimiter.may_send`."""
        if self.limit is None or self._unused:
            return True
        if not self.is_owner or self.ledger.has_waiting:
            return False
        return self.ledger.has_room(self._direct, now)

    def find_next(self, now: float) -> float:
        """See `RefusalLimiter.find_next`; a permit may come at any time."""
        return now

    def record_sent(self, now: float = 0.0) -> None:
        """See `RefusalLimiter.record_sent`."""
        if self._unused:
            self._used.append(self._unused.pop(0))
            return
        self._direct += 1
        if self.limit is not None and self.is_owner:
            self.ledger.record_sent(now)
            self.ledger.room.record_used(self.ledger.count(self._direct), now)

    def record_ended(self) -> None:
        """See `RefusalLimiter.record_ended`."""
        if self._used:
            self._returned.append(self._used.pop(0))
        else:
            self._direct -= 1

    def record_refused(self, now: float, jitter: float) -> None:
        """See `RefusalLimiter.record_refused`; another owner is to be told."""
        self.refused_at = now
        if self.is_owner:
            self.ledger.room.record_refused(now)

    def grant_waiting(self, now: float) -> list[Permit]:
        """Grant permits at the owner, see `PermitLedger.grant`.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return self.ledger.grant(self._direct, now) if self.is_owner else []

    def add_permit(self, request_id: str) -> None:
        """Add a permit that the owner has granted to this instance.

        Parameters
        ----------
        request_id : str
        """
        self._unused.append(request_id)

    def give_up(self, request_id: str) -> bool:
        """Give up a permit that was asked for.

        Parameters
        ----------
        request_id : str

        Returns
        -------
        bool
            Whether the owner is to be told; not if a request uses the permit, which
            is returned at its end.
        """
        if request_id in self._used or request_id in self._returned:
            return False
        if request_id in self._unused:
            self._unused.remove(request_id)
        return True

    def list_held(self) -> list[str]:
        """Return the ids of permits of all requests that are at the server.

        A request that was sent without a permit, before one was needed, has an id that
        no request has.
        """
        unpermitted = (f"{UNPERMITTED_PREFIX}{each}" for each in range(self._direct))
        return [*self._used, *unpermitted]

    def list_permits(self) -> list[str]:
        """Return the ids of the permits that requests at the server use."""
        return list(self._used)

    def take_report(self, *, is_due: bool) -> list[str] | None:
        """Return what the owner should know of the requests at the server.

        Parameters
        ----------
        is_due : bool
            Whether to repeat what it was told, so that it does not expire.

        Returns
        -------
        list of str or None
            See `list_held`; None if there is nothing to tell.
        """
        held = self.list_held()
        is_known = self._direct == self._reported_direct
        if is_known and not (is_due and held):
            return None
        self._reported_direct = self._direct
        return held

    def take_returned(self) -> list[str]:
        """Return the permits whose requests have ended since the last call."""
        returned, self._returned = self._returned, []
        return returned

    def _estimate_anew(self) -> RoomEstimate:
        return RoomEstimate(self._slots or self.limit or 1, self.limit or 0)
