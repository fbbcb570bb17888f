"""Which instances reach no server, told to all instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions import MemberRecord, MemberState
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController

# While this instance reaches no server, as messages may be lost. With more instances
# the interval grows, so that the messages that each sends do not.
REPEAT_INTERVAL_S = 0.5
REPEATS_PER_S = 48.0
REPORT_TTL_INTERVALS = 4.0
ENTRY_EXCLUSION_REASON = "reaches no server"

_log = structlog.get_logger()


class ContactExchange:
    """Tells all instances that this one reaches no server, and takes it from others.

    Callers are not sent to such instances, as long as there are others.

    Parameters
    ----------
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        clock: Callable[[], float],
    ):
        self._membership = membership
        self._reactor = reactor
        self._clock = clock
        self._observers: list[Callable[[], None]] = []
        self._is_lost = False
        self._heard_at: dict[str, float] = {}  # by instance that reaches no server
        self._known: frozenset[str] = frozenset()
        self._repeat_timer: Any = None
        self._expiry_timer: Any = None
        channels.subscribe(FrameKind.SERVER_CONTACT, self._receive)

    @property
    def lost_names(self) -> frozenset[str]:
        """Names of the instances that reach no server, this one included."""
        return self._known

    def observe(self, observer: Callable[[], None]) -> None:
        """Call ``observer`` when the instances that reach no server have changed."""
        self._observers.append(observer)

    def publish(self, *, is_lost: bool) -> None:
        """Tell all instances whether this one reaches no server.

        Parameters
        ----------
        is_lost : bool
        """
        self._is_lost = is_lost
        self._send()
        is_long_held = self._compute_interval_s() > REPEAT_INTERVAL_S
        if not is_lost and is_long_held:  # a lost message would hold for seconds
            self._repeat_timer = self._reactor.callLater(REPEAT_INTERVAL_S, self._send)
        self._update()

    def stop(self) -> None:
        """Cancel scheduled messages."""
        for timer in (self._repeat_timer, self._expiry_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def list_reaching(self) -> list[MemberRecord]:
        """Return the other live instances that reach servers, as far as is known."""
        return [
            record
            for record in self._membership.members
            if record.state is MemberState.LIVE
            and record.name != self._membership.own.name
            and record.name not in self._known
        ]

    def _compute_interval_s(self) -> float:
        count = len(self._membership.members)
        return max(REPEAT_INTERVAL_S, count / REPEATS_PER_S)

    def _send(self) -> None:
        own_name = self._membership.own.name
        others = [
            record.name
            for record in self._membership.members
            if record.state is not MemberState.DEAD and record.name != own_name
        ]
        self._membership.send_to_all(
            others, FrameKind.SERVER_CONTACT, [not self._is_lost]
        )
        if self._is_lost:
            self._repeat_timer = self._reactor.callLater(
                self._compute_interval_s(), self._send
            )
        elif self._repeat_timer is not None and self._repeat_timer.active():
            self._repeat_timer.cancel()

    def _receive(self, frame: Frame) -> None:
        try:
            (reaches_servers,) = frame.payload
        except (TypeError, ValueError) as error:
            _log.warning("contact_malformed", peer=frame.sender, reason=str(error))
            return
        if reaches_servers:
            self._heard_at.pop(frame.sender, None)
        else:
            self._heard_at[frame.sender] = self._clock()
        self._update()

    def _update(self) -> None:
        """Forget old reports, and act on a change of the instances concerned."""
        now = self._clock()
        ttl_s = REPORT_TTL_INTERVALS * self._compute_interval_s()
        self._heard_at = {
            name: at for name, at in self._heard_at.items() if now - at < ttl_s
        }
        names = set(self._heard_at)
        if self._is_lost:
            names.add(self._membership.own.name)
        if names != self._known:
            self._known = frozenset(names)
            self._membership.set_excluded_entries(
                names, reason=ENTRY_EXCLUSION_REASON, may_exclude_all=False
            )
            _log.info("instances_without_servers", instances=sorted(names))
            for observer in self._observers:
                observer()
        is_scheduled = self._expiry_timer is not None and self._expiry_timer.active()
        if self._heard_at and not is_scheduled:
            self._expiry_timer = self._reactor.callLater(ttl_s, self._update)
