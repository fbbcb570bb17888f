"""Permits for requests to brittle servers, asked of other instances and granted."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection

import structlog
from ebonyhaven_decisions import MemberRecord, MemberState
from ebonyhaven_decisions.forwarding import (
    PERMIT_TTL_S,
    Backend,
    BackendLimits,
    Permit,
    PermitLimiter,
)
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._permit_messages import (
    PermitAction,
    PermitMessage,
    decode_permit_message,
)

ASK_AGAIN_S = 0.1  # after which the owner of another server is asked as well
# A refusal is told with the return of its permit, so that no other is granted before.
RETURN_DELAY_S = 0.002
REPORT_INTERVAL_S = 0.4 * PERMIT_TTL_S

_log = structlog.get_logger()


class PermitExchange:
    """Asks the owners of brittle servers for permits, and grants those of its own.

    Until `connect` is called, this instance owns all servers.

    Parameters
    ----------
    backends : BackendLimits
    reactor : IReactorTime
    rng : random.Random
    clock : callable
        Returns seconds.
    on_granted : callable
        Called without arguments when waiting requests may be sent.
    """

    def __init__(
        self,
        *,
        backends: BackendLimits,
        reactor: IReactorTime,
        rng: random.Random,
        clock: Callable[[], float],
        on_granted: Callable[[], None],
    ):
        self._backends = backends
        self._reactor = reactor
        self._rng = rng
        self._clock = clock
        self._on_granted = on_granted
        self._own_name = ""
        self._membership: MembershipController | None = None
        self._has_new_deaths = False
        self._asked: dict[str, dict[str, float]] = {}  # by request: time by process
        self._due: dict[str, None] = {}  # processes with permits to return or grant
        self._refused: dict[str, None] = {}  # processes that refused a request
        self._logged_rooms: dict[str, int] = {}  # by process
        self._timer = None
        self._report_timer: IDelayedCall | None = None
        self._pause_timers: dict[str, IDelayedCall] = {}  # by process

    def connect(self, membership: MembershipController, channels: Channels) -> None:
        """Start to exchange permits with other instances.

        Parameters
        ----------
        membership : MembershipController
        channels : Channels
        """
        self._membership = membership
        self._own_name = membership.own.name
        channels.subscribe(FrameKind.SERVER_PERMITS, self._receive)
        membership.observe(self._note_death)
        membership.observe_view(self._take_back_permits)
        self._backends.observe(self._handle_limits)

    def stop(self) -> None:
        """Cancel scheduled messages."""
        timers = (self._timer, self._report_timer, *self._pause_timers.values())
        for timer in timers:
            if timer is not None and timer.active():
                timer.cancel()

    def read_rooms(self) -> dict[str, int]:
        """Return by server how many requests those that this instance owns take."""
        return {
            backend.server_id: _get_limiter(backend).ledger.room.room
            for backend in self._backends
            if _get_limiter(backend).limit is not None
            and _get_limiter(backend).is_owner
        }

    # -- requests of this instance -------------------------------------------

    def ask(
        self, service: str, request_id: str, excluded: Collection[tuple[str, int]] = ()
    ) -> None:
        """Ask for a permit for a request that may be sent to no server now.

        One server is asked for at a time: a second permit would be unused, and look
        like a request at its server.

        Parameters
        ----------
        service : str
        request_id : str
        excluded : collection of (str, int)
            Keys of processes to leave out.
        """
        now = self._clock()
        asked = self._asked.get(request_id, {})
        if asked and now - max(asked.values()) < ASK_AGAIN_S:
            return
        candidates = [
            each
            for each in self._backends
            if each.entry.service == service
            and _needs_permit(each, now)
            and each.process_id not in asked
            and each.key not in excluded
        ]
        if candidates:
            backend = self._rng.choice(candidates)
            self._asked.setdefault(request_id, {})[backend.process_id] = now
            self._ask_owner(backend, request_id, now)

    def ask_for(self, backend: Backend, request_id: str) -> None:
        """Ask for a permit for a request to one server, whether or not it answers.

        Parameters
        ----------
        backend : Backend
        request_id : str
            Of the request, which goes to no other server.
        """
        now = self._clock()
        asked = self._asked.setdefault(request_id, {})
        if now - asked.get(backend.process_id, -math.inf) >= ASK_AGAIN_S:
            asked[backend.process_id] = now
            self._ask_owner(backend, request_id, now)

    def withdraw(self, request_id: str) -> None:
        """Give up the permits that a request asked for and has not used.

        Parameters
        ----------
        request_id : str
        """
        for process_id in self._asked.pop(request_id, ()):
            backend = self._backends.find_process(process_id)
            if backend is None:
                continue
            if _get_limiter(backend).give_up(request_id):
                self._return(backend, [request_id])

    def handle_ended(self, backend: Backend) -> None:
        """Return the permit of a request that has ended at its server.

        Parameters
        ----------
        backend : Backend
        """
        if backend.limiter.has_limits:
            self._schedule_flush(backend)

    def handle_refused(self, backend: Backend) -> None:
        """Tell the owner of a server that it had no room for a request.

        Parameters
        ----------
        backend : Backend
        """
        if backend.limiter.has_limits and not _get_limiter(backend).is_owner:
            self._refused[backend.process_id] = None
            self._schedule_flush()

    def _ask_owner(self, backend: Backend, request_id: str, now: float) -> None:
        limiter = _get_limiter(backend)
        if limiter.is_owner:
            limiter.ledger.ask(Permit(self._own_name, request_id), now)
            self._schedule_flush(backend)
        else:
            self._send(limiter.owner, PermitAction.ASK, backend, [request_id])

    def _return(self, backend: Backend, request_ids: list[str]) -> None:
        limiter = _get_limiter(backend)
        if limiter.is_owner:
            for request_id in request_ids:
                limiter.ledger.release(Permit(self._own_name, request_id))
            self._schedule_flush(backend)
        else:
            self._send(limiter.owner, PermitAction.RETURN, backend, request_ids)

    # -- scheduled work --------------------------------------------------------

    def _schedule_flush(self, backend: Backend | None = None) -> None:
        if backend is not None:
            self._due[backend.process_id] = None
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(RETURN_DELAY_S, self._flush)

    def _flush(self) -> None:
        due, self._due = self._due, {}
        refused, self._refused = self._refused, {}
        now = self._clock()
        for process_id in {**due, **refused}:
            backend = self._backends.find_process(process_id)
            if backend is None:
                self._forget(process_id)
            else:
                self._flush_process(backend, process_id in refused, now)

    def _forget(self, process_id: str) -> None:
        self._logged_rooms.pop(process_id, None)
        self._pause_timers.pop(process_id, None)

    def _flush_process(self, backend: Backend, was_refused: bool, now: float) -> None:
        """Return the permits of requests that ended, and grant what is free."""
        limiter = _get_limiter(backend)
        returned = limiter.take_returned()
        if not limiter.is_owner and limiter.limit is not None:
            self._report(backend, is_due=False)
        if limiter.is_owner:
            for request_id in returned:
                limiter.ledger.release(Permit(self._own_name, request_id))
            self._grant(backend, now)
        elif was_refused:
            self._send(limiter.owner, PermitAction.REFUSED, backend, returned)
        elif returned:
            self._send(limiter.owner, PermitAction.RETURN, backend, returned)

    # -- reports -----------------------------------------------------------------

    def _handle_limits(self, backend: Backend) -> None:
        """Tell the owner of a server what it may not know, now and from then on."""
        limiter = _get_limiter(backend)
        if limiter.limit is None:
            return
        if not limiter.is_owner:
            self._schedule_flush(backend)
        if self._report_timer is None or not self._report_timer.active():
            self._report_timer = self._reactor.callLater(
                REPORT_INTERVAL_S, self._report_all
            )

    def _report_all(self) -> None:
        """Repeat which permits are held; owners take the others back."""
        brittle = [
            each for each in self._backends if _get_limiter(each).limit is not None
        ]
        for backend in brittle:
            self._report(backend, is_due=True)
        if brittle:
            self._report_timer = self._reactor.callLater(
                REPORT_INTERVAL_S, self._report_all
            )

    def _report(self, backend: Backend, *, is_due: bool) -> None:
        limiter = _get_limiter(backend)
        if limiter.is_owner:
            used = limiter.list_permits()
            limiter.ledger.record_held(self._own_name, used, self._clock())
            return
        held = limiter.take_report(is_due=is_due)
        if held is not None:
            self._send(limiter.owner, PermitAction.HELD, backend, held)

    # -- grants ------------------------------------------------------------------

    def _log_room(self, backend: Backend) -> None:
        room = _get_limiter(backend).ledger.room.room
        before = self._logged_rooms.get(backend.process_id, backend.entry.slots)
        if room != before:
            self._logged_rooms[backend.process_id] = room
            _log.info(
                "backend_room_changed",
                server=backend.server_id,
                room=room,
                before=before,
                slots=backend.entry.slots,
            )

    def _grant(self, backend: Backend, now: float) -> None:
        self._log_room(backend)
        granted: dict[str, list[str]] = {}
        for permit in _get_limiter(backend).grant_waiting(now):
            granted.setdefault(permit.instance, []).append(permit.request_id)
        for instance, request_ids in granted.items():
            if instance == self._own_name:
                self._accept(backend, request_ids)
            else:
                self._send(instance, PermitAction.GRANT, backend, request_ids)
        self._wake_after_pause(backend, now)
        if not granted:  # requests of the owner need no permit while there is room
            self._on_granted()

    def _wake_after_pause(self, backend: Backend, now: float) -> None:
        """Grant permits again when a server that is left alone may get others."""
        ledger = _get_limiter(backend).ledger
        pause_s = ledger.find_opening(now) - now
        if pause_s <= 0.0 or not ledger.has_waiting:
            return
        timer = self._pause_timers.get(backend.process_id)
        if timer is None or not timer.active():
            self._pause_timers[backend.process_id] = self._reactor.callLater(
                pause_s, self._schedule_flush, backend
            )

    def _accept(self, backend: Backend, request_ids: list[str]) -> None:
        """Use permits for waiting requests, and return those that came too late."""
        late = []
        for request_id in request_ids:
            if backend.process_id in self._asked.get(request_id, ()):
                _get_limiter(backend).add_permit(request_id)
            else:
                late.append(request_id)
        if late:
            self._return(backend, late)
        if len(late) < len(request_ids):
            self._on_granted()

    # -- messages ----------------------------------------------------------------

    def _send(
        self,
        instance: str,
        action: PermitAction,
        backend: Backend,
        request_ids: list[str],
    ) -> None:
        if self._membership is not None:
            message = PermitMessage(action, backend.process_id, request_ids)
            self._membership.send(instance, FrameKind.SERVER_PERMITS, list(message))

    def _receive(self, frame: Frame) -> None:
        try:
            message = decode_permit_message(frame.payload)
        except (TypeError, ValueError) as error:
            _log.warning("permits_malformed", peer=frame.sender, reason=str(error))
            return
        backend = self._backends.find_process(message.process_id)
        if backend is not None:
            self._handle(frame.sender, message, backend)

    def _handle(self, sender: str, message: PermitMessage, backend: Backend) -> None:
        now = self._clock()
        limiter = _get_limiter(backend)
        match message.action:
            case PermitAction.GRANT:
                self._accept(backend, message.request_ids)
            case PermitAction.ASK:
                for request_id in message.request_ids:
                    limiter.ledger.ask(Permit(sender, request_id), now)
                self._grant(backend, now)
            case PermitAction.HELD:
                limiter.ledger.record_held(sender, message.request_ids, now)
                self._grant(backend, now)
            case PermitAction.RETURN | PermitAction.REFUSED:
                if message.action is PermitAction.REFUSED:
                    limiter.ledger.room.record_refused(now)
                for request_id in message.request_ids:
                    limiter.ledger.release(Permit(sender, request_id))
                self._grant(backend, now)

    def _note_death(self, record: MemberRecord) -> None:
        self._has_new_deaths |= record.state is MemberState.DEAD

    def _take_back_permits(self) -> None:
        """Take back the permits of instances that are dead."""
        if not self._has_new_deaths:
            return
        self._has_new_deaths = False
        alive = {
            each.name
            for each in self._membership.members
            if each.state is not MemberState.DEAD
        }
        for backend in self._backends:
            limiter = _get_limiter(backend)
            if backend.limiter.has_limits and limiter.is_owner:
                limiter.ledger.keep_instances(alive)
                self._schedule_flush(backend)


def _get_limiter(backend: Backend) -> PermitLimiter:
    return backend.limiter.refusals


def _needs_permit(backend: Backend, now: float) -> bool:
    """Return whether a server could take a request if its owner permitted it."""
    limiter = _get_limiter(backend)
    if limiter.limit is None or backend.is_leaving or now < backend.suspect_until:
        return False
    if backend.silence.is_unresponsive(now) or not backend.limiter.rest.may_send(now):
        return False
    return backend.limiter.pacer.may_send(now)
