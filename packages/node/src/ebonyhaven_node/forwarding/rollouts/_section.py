"""Evidence on new software versions in the reports to other instances."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from ebonyhaven_decisions import choose_instances
from ebonyhaven_decisions.forwarding import BackendDirectory
from ebonyhaven_decisions.forwarding.rollouts import EvidenceBoard

from ebonyhaven_node.forwarding._peer_sections import PeerSection

MAX_RECEIVERS = 3  # the decider and those that would take over
MIN_INTERVAL_S = 0.25


def build_evidence_board(
    backends: BackendDirectory,
    list_instances: Callable[[], Collection[str]],
    *,
    own_name: str,
) -> EvidenceBoard:
    """Return the evidence of an instance.

    Parameters
    ----------
    backends : BackendDirectory
    list_instances : callable
        Returns the names of all live instances.
    own_name : str
        Name of the instance.
    """

    def count_in_flight(service: str) -> dict[str, int]:
        active: Counter = Counter()
        for each in backends:
            if each.entry.service == service and each.software_version is not None:
                active[each.software_version] += each.in_flight
        return dict(active)

    def read_stage_number(service: str) -> int:
        stage = backends.rollouts.find_stage(service)
        return stage.number if stage is not None else 0

    return EvidenceBoard(
        count_in_flight=count_in_flight,
        list_peers=lambda: [each for each in list_instances() if each != own_name],
        read_stage_number=read_stage_number,
    )


class EvidenceSection(PeerSection):
    """Tells the instances that may decide what this one saw, while orders are open.

    Parameters
    ----------
    board : EvidenceBoard
    list_instances : callable
        Returns the names of all live instances.
    schedule_report : callable
        Has a report sent soon.
    clock : callable
        Returns seconds.

    Attributes
    ----------
    decider : callable
        Returns the name of the instance that decides for a service, or None.
    """

    code = "rollout"
    is_private = True

    def __init__(
        self,
        *,
        board: EvidenceBoard,
        list_instances: Callable[[], Collection[str]],
        schedule_report: Callable[[], None],
        clock: Callable[[], float],
    ):
        self._board = board
        self._list_instances = list_instances
        self._schedule_report = schedule_report
        self._clock = clock
        self._sent_at = -math.inf
        self._receivers: frozenset[str] = frozenset()
        self.decider: Callable[[str], str | None] = lambda _: None

    @property
    def keeps_reporting(self) -> bool:
        """See `PeerSection.keeps_reporting`."""
        return not self._board.is_empty

    def handle_change(self) -> None:
        """Have the evidence sent if the last report is long enough ago."""
        if self._clock() - self._sent_at >= MIN_INTERVAL_S:
            self._schedule_report()

    def collect(self, now: float) -> object | None:
        """See `PeerSection.collect`."""
        payload = None
        if self._clock() - self._sent_at >= MIN_INTERVAL_S:
            payload = self._board.export()
        if payload is None:
            self._receivers = frozenset()
            return None
        self._sent_at = self._clock()
        self._receivers = self._choose_receivers()
        return payload

    def merge(self, sender: str, payload: object, now: float) -> None:
        """See `PeerSection.merge`."""
        self._board.merge(sender, payload, self._clock())

    def list_receivers(self) -> Iterable[str]:
        """Return the deciders and the instances that would take over."""
        return self._receivers

    def _choose_receivers(self) -> frozenset[str]:
        names = self._list_instances()
        receivers: set[str] = set()
        for service in self._board.list_services():
            chosen = choose_instances(f"rollout/{service}", names, MAX_RECEIVERS)
            decider = self.decider(service)
            if decider is not None and decider in names:
                others = [each for each in chosen if each != decider]
                chosen = [decider, *others][:MAX_RECEIVERS]
            receivers.update(chosen)
        return frozenset(receivers)
