"""Finds out which losses of servers may be the work of what they were running."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

import structlog
from ebonyhaven_decisions.forwarding import (
    SETTLE_S,
    TRIAL_DELAY_S,
    Backend,
    CrashHistory,
    LossReport,
    Traits,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._connection_pool import ConnectionPool
from ebonyhaven_node.forwarding._contact_monitor import ContactMonitor
from ebonyhaven_node.forwarding._loss_probes import LossProbes, ServerFate
from ebonyhaven_node.forwarding._metrics import ForwardingMetrics

NOTIFY_INTERVAL_S = 0.01  # many losses are found at one moment
REPLACED_PROBE_INTERVAL_S = 0.2
LATE_BYTES_S = 1.0  # in which what a process sent before its end may be read
ENTRY_EXPIRY_S = 5.0  # by then the list no longer has the entry of a process that ended

_log = structlog.get_logger()


class CrashMonitor:
    """Holds traits of requests responsible for the servers lost under them.

    All kinds of requests report here each server that closed its connection before
    its response was complete. It has crashed if its process has ended: a server that
    answers nothing at all is lost for another reason. While a loss may be the last one
    that a trait is allowed, a request with it is undecided and should not be sent on.

    Parameters
    ----------
    history : CrashHistory
    pool : ConnectionPool
    metrics : ForwardingMetrics
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    on_unreachable : callable
        Called with each `Backend` that accepts no connection.
    on_loss : callable
        Called with the id of each process that ended, for each request that it was
        running.
    on_survival : callable
        Called with each trait that is no longer held responsible.
    on_change : callable
        Called when requests may have been decided.
    is_chosen : callable
        Returns whether this instance is the one that tries a trait again.
    contact : ContactMonitor
        No server has ended because this instance reaches none.
    """

    def __init__(
        self,
        *,
        history: CrashHistory,
        pool: ConnectionPool,
        metrics: ForwardingMetrics,
        reactor: IReactorTime,
        clock: Callable[[], float],
        on_unreachable: Callable[[Backend], None],
        on_loss: Callable[[str], None],
        on_survival: Callable[[str], None],
        on_change: Callable[[], None],
        is_chosen: Callable[[str], bool],
        contact: ContactMonitor,
    ):
        self._history = history
        self._probes = LossProbes(pool, reactor, contact)
        self._contact = contact
        self._metrics = metrics
        self._reactor = reactor
        self._clock = clock
        self._on_unreachable = on_unreachable
        self._on_loss = on_loss
        self._on_survival = on_survival
        self._on_change = on_change
        self._is_chosen = is_chosen
        self._tried_at: dict[str, float] = {}
        self._settled_at = -math.inf
        self._next_probe_at = -math.inf  # of a server that has ended
        self._is_notifying = False
        self._pending: Counter[str] = Counter()  # running checks by trait

    def find_blocked_trait(self, traits: Traits) -> str | None:
        """Return a trait with which requests may not be sent to servers any more.

        Parameters
        ----------
        traits : tuple of str
            Traits of a request, see `CrashHistory`.

        Returns
        -------
        str or None
            None if the request may be sent.
        """
        return self._history.find_blocked_trait(traits, self._clock())

    def begin_trial(self, trait: str) -> bool:
        """Return whether a request with a blocked trait may be sent nevertheless.

        One instance tries, with one request in `TRIAL_DELAY_S`.

        Parameters
        ----------
        trait : str
        """
        now = self._clock()
        if not self._history.may_be_tried(trait, now) or not self._is_chosen(trait):
            return False
        if now - self._tried_at.get(trait, -math.inf) < TRIAL_DELAY_S:
            return False
        self._tried_at = {
            each: tried_at
            for each, tried_at in self._tried_at.items()
            if now - tried_at < TRIAL_DELAY_S
        }
        self._tried_at[trait] = now
        _log.info("blocked_trait_tried", trait=trait)
        return True

    def is_undecided(self, traits: Traits) -> bool:
        """Return whether a request may be blocked soon.

        Parameters
        ----------
        traits : tuple of str
        """
        now = self._clock()
        if self._history.find_blocked_trait(traits, now) is not None:
            return False
        return any(
            self._history.may_be_blocked_soon(
                trait, now, unconfirmed_losses=self._pending[trait]
            )
            for trait in traits
            if self._is_recent(trait, now)
        )

    def check_loss(self, traits: Traits, backend: Backend, *, has_begun: bool) -> None:
        """Check whether a server that closed its connection has crashed.

        Parameters
        ----------
        traits : tuple of str
            Traits of the request that the server was running.
        backend : Backend
        has_begun : bool
            Whether the server had begun to answer.
        """
        lost_at = self._clock()
        self._pending.update(traits)

        def handle_fate(fate: ServerFate) -> None:
            self._pending.subtract(traits)
            self._pending = +self._pending
            self._handle_fate(backend, fate)
            if fate is ServerFate.ENDED and not backend.is_leaving:
                self._record(backend, (traits,), lost_at)
            self._log_check(traits, backend, fate, has_begun=has_begun)
            self.notify_of_losses()

        self._probes.start(backend, handle_fate)

    def check_end(self, backend: Backend) -> None:
        """Check whether a server that closed its connection has ended.

        For requests that did not cause it, see `check_loss`.

        Parameters
        ----------
        backend : Backend
        """

        def handle_fate(fate: ServerFate) -> None:
            self._handle_fate(backend, fate)
            if fate is ServerFate.ENDED:
                self.record_ended(backend)
            self._on_change()

        self._probes.start(backend, handle_fate)

    def find_fate(
        self, backend: Backend, on_result: Callable[[ServerFate], None]
    ) -> None:
        """Find out soon what became of a server, without holding anything responsible.

        Parameters
        ----------
        backend : Backend
        on_result : callable
            Called with the `ServerFate`.
        """
        self._probes.start(backend, on_result)

    def is_alive(self, backend: Backend) -> bool:
        """Return whether a server that was lost is there, as far as is known.

        Parameters
        ----------
        backend : Backend
        """
        is_gone = backend.is_leaving or self._history.is_known(backend.process_id)
        return not is_gone and self._clock() >= backend.suspect_until

    def has_ended(self, backend: Backend) -> bool:
        """Return whether the process of a server is known to have ended.

        An instance that was being cut off may have taken it for lost; what it sent
        since then shows that it was not.

        Parameters
        ----------
        backend : Backend
        """
        lost_at = self._history.get_lost_at(backend.process_id)
        return lost_at is not None and (
            backend.last_received_at <= lost_at + LATE_BYTES_S
        )

    def may_be_replaced(self, backend: Backend, *, list_current_at: float) -> bool:
        """Return whether another process may be at the address of a server.

        Its process has ended, and the list does not show yet whether another one has
        started there, perhaps under the same id and with another software version.

        Parameters
        ----------
        backend : Backend
        list_current_at : float
            Time up to which all changes of the list are known, seconds.
        """
        lost_at = self._history.get_lost_at(backend.process_id)
        return lost_at is not None and list_current_at < lost_at + ENTRY_EXPIRY_S

    def probe_replaced(self, backend: Backend) -> None:
        """Look whether a process is at the address of a server that has ended.

        Streams wait for the list then, and nobody would notice that no server can be
        reached any more.

        Parameters
        ----------
        backend : Backend
        """
        now = self._clock()
        if now < self._next_probe_at or self._probes.is_running(backend):
            return
        self._next_probe_at = now + REPLACED_PROBE_INTERVAL_S
        self._probes.start(backend, lambda _: None)

    def is_checking(self, backend: Backend) -> bool:
        """Return whether a check of a server is under way.

        Parameters
        ----------
        backend : Backend
        """
        return self._probes.is_running(backend)

    def record_ended(self, backend: Backend) -> None:
        """Record that the process of a server has ended, whatever it was running.

        Parameters
        ----------
        backend : Backend
        """
        lost_at = self._clock()

        def record() -> None:
            is_known = self._history.is_known(backend.process_id)
            if not (is_known or backend.is_leaving or self._contact.is_lost):
                self._record(backend, (), lost_at)

        self._contact.call_when_known(record)

    def record_survival(self, traits: Traits, shared_traits: Traits) -> None:
        """Record that a server ran a request to an end, or far into its stream.

        Parameters
        ----------
        traits : tuple of str
            Those that have not crashed the server.
        shared_traits : tuple of str
            Those of them that other requests have as well. It is remembered that they
            survived although no server was lost yet.
        """
        now = self._clock()
        shared = frozenset(shared_traits)
        crashes = {each: self._history.count_crashes(each, now) for each in traits}
        cleared = [
            trait
            for trait in traits
            if (crashes[trait] or trait in shared)
            and self._history.add_survival(trait, now)
        ]
        for trait in cleared:
            _log.info("crashes_cleared", trait=trait)
            # Others seldom see a content that was lost once again.
            if trait != traits[-1] or crashes[trait] > 1:
                self._on_survival(trait)
        if cleared:
            self._on_change()

    def notify_of_losses(self) -> None:
        """Have requests look at their traits again, soon and once losses settled."""
        self._settled_at = self._clock() + SETTLE_S
        if not self._is_notifying:
            self._is_notifying = True
            self._reactor.callLater(NOTIFY_INTERVAL_S, self._notify)

    def _notify(self) -> None:
        self._on_change()
        remaining_s = self._settled_at - self._clock()
        self._is_notifying = remaining_s > -NOTIFY_INTERVAL_S
        if self._is_notifying:
            delay_s = max(remaining_s, 0.0) + NOTIFY_INTERVAL_S
            self._reactor.callLater(delay_s, self._notify)

    def _is_recent(self, trait: str, now: float) -> bool:
        """Return whether a loss that may count against a trait has not settled yet."""
        settled = self._history.count_crashes(trait, now, include_recent=False)
        known = self._history.count_crashes(trait, now)
        return known > settled or trait in self._pending

    def _record(
        self, backend: Backend, requests: tuple[Traits, ...], lost_at: float
    ) -> None:
        now = self._clock()
        report = LossReport(
            backend.process_id, backend.entry.data_centre, now - lost_at, requests
        )
        if self._history.add(report, now):
            self._on_loss(backend.process_id)

    def _handle_fate(self, backend: Backend, fate: ServerFate) -> None:
        if fate is not ServerFate.ALIVE:
            self._on_unreachable(backend)

    def _log_check(
        self, traits: Traits, backend: Backend, fate: ServerFate, *, has_begun: bool
    ) -> None:
        now = self._clock()
        has_left = backend.is_leaving and fate is not ServerFate.ALIVE
        result = "left" if has_left else fate.value
        self._metrics.losses_checked.labels(result).inc()
        _log.info(
            "server_loss_checked",
            traits=traits,
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            result=result,
            has_begun=has_begun,
            crashes=[self._history.count_crashes(trait, now) for trait in traits],
        )
