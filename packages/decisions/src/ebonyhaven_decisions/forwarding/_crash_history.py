"""Losses of servers, and what the requests that they were running have in common.

A request is described by its *traits*: the parts of its prompt that other requests may
have, then its whole content. A trait that crashes servers comes again, at any instance,
and each time it ends the other requests of its server as well. One loss says little,
since all requests of the server are lost with it; the trait that crashes servers is
lost each time.

A data centre that fails loses many servers at about the same moment, whatever they run.
If a server that ran nothing with a trait is lost beside others of its data centre that
did, those losses therefore count as one against the trait.

A trait that crashes servers does so each time. Losses before a server ran a request
with it to an end, or far into its stream, are therefore not counted against it.

What is merely present is lost as well: the other traits of the request, and of those
beside it. A request is therefore not blocked for a trait if another one, which the
request lacks, explains the losses: it was there each time, and is as suspect. Of two
traits, the one that servers last ran to an end longer ago, or never, is more suspect.
The order of the parts in a prompt says nothing.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence

from ebonyhaven_decisions.forwarding._loss_explanations import is_explained
from ebonyhaven_decisions.forwarding._losses import (
    COMMON_CAUSE_WINDOW_S,
    Loss,
    LossReport,
    Traits,
)
from ebonyhaven_decisions.forwarding._trait_survivals import TraitSurvivals

MAX_CRASHES_PER_TRAIT = 3
EVIDENCE_TTL_S = 600.0
SETTLE_S = 0.15  # instances find and report losses within tens of milliseconds
TRIAL_DELAY_S = 10.0  # after the last loss; by then its servers are back
TRIAL_MAX_SPREAD_S = 1.0  # of losses that one failure may have caused
MAX_FAILED_TRIALS = 2  # of a trait that servers ran before
MAX_LOSSES = 512
MAX_REQUESTS_PER_LOSS = 64
# About 25 bytes each: a row of the store takes 64 KiB, a message to a peer 1 MiB.
MAX_STORED_TRAITS = 512
MAX_STORED_CRASHES = 4  # of one trait; one more than block it
MAX_SENT_TRAITS = 8192
MAX_COMPANIONS = 32  # losses at about the same moment that are kept with a loss
MAX_SENT_WITNESSES = 2  # of these, told with a loss; its own finder tells each of them


class CrashHistory:
    """Losses of servers known to this instance; the oldest one is evicted first.

    Parameters
    ----------
    max_crashes : int
        Number of servers that may be lost under a trait before it is blocked.
    """

    __slots__ = (
        "_idle_losses",
        "_losses",
        "_max_crashes",
        "_processes_by_trait",
        "_survivals",
    )

    def __init__(self, max_crashes: int = MAX_CRASHES_PER_TRAIT):
        self._max_crashes = max_crashes
        self._losses: dict[str, Loss] = {}
        self._idle_losses: dict[str, Loss] = {}  # under no request that is known
        self._processes_by_trait: dict[str, dict[str, None]] = {}
        self._survivals = TraitSurvivals()

    def __len__(self) -> int:
        return len(self._losses)

    def add(self, report: LossReport, now: float) -> list[Traits]:
        """Add the loss of a server, or further requests to a known one.

        Parameters
        ----------
        report : LossReport
        now : float
            Seconds.

        Returns
        -------
        list of tuple of str
            The requests that were not known to have been lost with the server.
        """
        self._evict(now)
        self._drop_premature(report, now)
        loss = self._find(report.process) or self._create(report, now)
        added = loss.select_new(report.requests, limit=MAX_REQUESTS_PER_LOSS)
        if added:
            self._idle_losses.pop(report.process, None)
            self._losses[report.process] = loss
        for traits in added:
            loss.requests[traits] = None
            loss.traits.update(traits)
            for trait in traits:
                processes = self._processes_by_trait.setdefault(trait, {})
                processes[report.process] = None
        return added

    def add_survival(self, trait: str, now: float, *, age_s: float = 0.0) -> bool:
        """Record that a server ran a request with a trait without a crash.

        Parameters
        ----------
        trait : str
        now : float
            Seconds.
        age_s : float
            Time since then, seconds.

        Returns
        -------
        bool
            Whether losses that counted against the trait no longer do.
        """
        before = self.count_crashes(trait, now)
        survived_at = self._survivals.record(trait, now - age_s)
        for process in list(self._processes_by_trait.get(trait, ())):
            if self._losses[process].lost_at <= survived_at:
                self._forget(trait, process)
        return self.count_crashes(trait, now) < before

    def is_known(self, process: str) -> bool:
        """Return whether the loss of a server is known.

        Parameters
        ----------
        process : str
        """
        return self._find(process) is not None

    def get_lost_at(self, process: str) -> float | None:
        """Return when a server was lost, seconds; None if its loss is not known.

        Parameters
        ----------
        process : str
        """
        loss = self._find(process)
        return None if loss is None else loss.lost_at

    def count_crashes(
        self, trait: str, now: float, *, include_recent: bool = True
    ) -> int:
        """Return the number of servers whose loss counts against a trait.

        Parameters
        ----------
        trait : str
        now : float
            Seconds.
        include_recent : bool
            Whether to include losses of the last `SETTLE_S`, which may turn out to be
            those of a data centre.

        Returns
        -------
        int
        """
        latest = now if include_recent else now - SETTLE_S
        return len(self._list_crashes(trait, now, latest))

    def find_blocked_trait(self, traits: Sequence[str], now: float) -> str | None:
        """Return a trait with which requests may not be sent to servers any more.

        Parameters
        ----------
        traits : sequence of str
            Traits of a request.
        now : float
            Seconds.

        Returns
        -------
        str or None
            The most suspect of those that keep the request back, the most specific one
            if several are; None if it may be sent.
        """
        own = frozenset(traits)
        blocked = [
            trait for trait in reversed(traits) if self._is_blocked(trait, own, now)
        ]
        return min(blocked, key=self._survivals.get, default=None)

    def may_be_tried(self, trait: str, now: float) -> bool:
        """Return whether one request with a blocked trait may be sent.

        If all losses came at about the same moment, they may have another cause. A
        trial that fails adds a later one, so that there is no second trial. If servers
        have run the trait before, the losses may be the work of one that is not known,
        and there are up to `MAX_FAILED_TRIALS`.

        Parameters
        ----------
        trait : str
        now : float
            Seconds.
        """
        crashes = self._list_crashes(trait, now, now)
        lost_at = sorted(self._losses[process].lost_at for process in crashes)
        if not lost_at or now - lost_at[-1] < TRIAL_DELAY_S:
            return False
        if lost_at[-1] - lost_at[0] <= TRIAL_MAX_SPREAD_S:
            return True
        failed = sum(
            later - earlier >= TRIAL_DELAY_S
            for earlier, later in itertools.pairwise(lost_at)
        )
        return trait in self._survivals and failed < MAX_FAILED_TRIALS

    def may_be_blocked_soon(
        self, trait: str, now: float, *, unconfirmed_losses: int
    ) -> bool:
        """Return whether recent losses block a trait if they count against it.

        Parameters
        ----------
        trait : str
        now : float
            Seconds.
        unconfirmed_losses : int
            Servers that may have been lost as well.
        """
        crashes = self.count_crashes(trait, now) + unconfirmed_losses
        return crashes >= self._max_crashes

    def export(
        self, now: float, processes: Iterable[str] | None = None
    ) -> list[LossReport]:
        """Return what other instances should know.

        Parameters
        ----------
        now : float
            Seconds.
        processes : iterable of str or None
            Restricts the reports to the losses of these, and to a few that show that
            theirs may be those of a data centre, without the requests of the latter.

        Returns
        -------
        list of LossReport
            The newest ones, if they are too many for a message.
        """
        if processes is None:
            processes = reversed(self._losses)
        wanted = [self._losses[each] for each in processes if each in self._losses]
        reports: dict[str, LossReport] = {}
        witnesses: dict[str, LossReport] = {}
        exported = 0
        for loss in wanted:
            if now - loss.lost_at >= EVIDENCE_TTL_S:
                continue
            exported += sum(map(len, loss.requests))
            if exported > MAX_SENT_TRAITS:
                break
            reports[loss.process] = loss.make_report(loss.requests, now)
            for each in loss.list_witnesses(MAX_SENT_WITNESSES):
                witnesses[each.process] = each.make_report((), now)
        for process in reports:
            witnesses.pop(process, None)
        return [*reports.values(), *witnesses.values()]

    def export_survivals(
        self, now: float, traits: Iterable[str] | None = None
    ) -> dict[str, float]:
        """Return when servers ran requests without a crash.

        Parameters
        ----------
        now : float
            Seconds.
        traits : iterable of str or None
            Restricts the result to these.

        Returns
        -------
        dict of str to float
            Ages in seconds, by trait.
        """
        return self._survivals.list_ages(now, traits)

    def export_repeated(self, now: float, min_crashes: int) -> list[LossReport]:
        """Return the losses that count against traits that several do.

        Parameters
        ----------
        now : float
            Seconds.
        min_crashes : int
            Number of losses that a trait must have.

        Returns
        -------
        list of LossReport
            With the requests that have such a trait; the newest ones, if they are too
            many for a row of the store.
        """
        requests_by_process: dict[str, dict[Traits, None]] = {}
        for trait in reversed(self._processes_by_trait):
            crashes = self._list_crashes(trait, now, now)
            if len(crashes) < min_crashes:
                continue
            for process in crashes[-MAX_STORED_CRASHES:]:
                found = [
                    each for each in self._losses[process].requests if trait in each
                ]
                chosen = requests_by_process.setdefault(process, {})
                chosen.update(dict.fromkeys(found))
            if _count_traits(requests_by_process) > MAX_STORED_TRAITS:
                break
        return [
            self._losses[process].make_report(requests, now)
            for process, requests in requests_by_process.items()
        ]

    def _list_crashes(self, trait: str, now: float, latest: float) -> list[str]:
        """Return the processes whose loss until `latest` counts against a trait."""
        processes = self._processes_by_trait.get(trait)
        if not processes:
            return []
        earliest = max(now - EVIDENCE_TTL_S, self._survivals.get(trait))
        crashes: dict[str, Loss] = {}
        for process in processes:
            loss = self._losses[process]
            if not earliest < loss.lost_at <= latest:
                continue
            is_counted = any(each in loss.companions for each in crashes.values())
            if not is_counted or not loss.may_be_common_failure(trait):
                crashes[process] = loss
        return list(crashes)

    def _is_blocked(self, trait: str, own: frozenset[str], now: float) -> bool:
        if len(self._processes_by_trait.get(trait, ())) < self._max_crashes:
            return False
        crashes = self._list_crashes(trait, now, now - SETTLE_S)
        if len(crashes) < self._max_crashes:
            return False
        losses = [self._losses[process] for process in crashes]
        return not is_explained(
            losses,
            own=own,
            survived_at=self._survivals.get(trait),
            survivals=self._survivals,
            max_crashes=self._max_crashes,
        )

    def _find(self, process: str) -> Loss | None:
        return self._losses.get(process) or self._idle_losses.get(process)

    def _drop_premature(self, report: LossReport, now: float) -> None:
        """Drop an earlier loss of a process that went on to run requests after it.

        An instance that is cut off from servers takes them for lost, all at one moment.
        """
        loss = self._idle_losses.get(report.process)
        if loss is None or not report.requests:
            return
        if now - report.age_s <= loss.lost_at + COMMON_CAUSE_WINDOW_S:
            return
        del self._idle_losses[report.process]
        for other in loss.companions:
            other.companions.remove(loss)

    def _create(self, report: LossReport, now: float) -> Loss:
        loss = Loss(report.process, report.data_centre, now - report.age_s)
        known = itertools.chain(self._losses.values(), self._idle_losses.values())
        companions = filter(loss.may_share_cause, known)
        for other in itertools.islice(companions, MAX_COMPANIONS):
            loss.companions.append(other)
            other.companions.append(loss)
        self._idle_losses[report.process] = loss
        return loss

    def _evict(self, now: float) -> None:
        for losses in (self._losses, self._idle_losses):
            while losses:
                process, loss = next(iter(losses.items()))
                is_expired = now - loss.lost_at >= EVIDENCE_TTL_S
                if len(losses) < MAX_LOSSES and not is_expired:
                    break
                self._remove(process)

    def _remove(self, process: str) -> None:
        if self._idle_losses.pop(process, None) is not None:
            return
        for trait in self._losses[process].traits:
            self._forget(trait, process)
        del self._losses[process]

    def _forget(self, trait: str, process: str) -> None:
        processes = self._processes_by_trait.get(trait, {})
        processes.pop(process, None)
        if not processes:
            self._processes_by_trait.pop(trait, None)


def _count_traits(requests_by_process: dict[str, dict[Traits, None]]) -> int:
    return sum(len(traits) for each in requests_by_process.values() for traits in each)
