"""Controller that learns configurations from the table and from peers.

A cheap read of changes tells most instances of a new version; an instance that
has one lets its neighbours know with the next heartbeats, and they ask for the
content. So a version spreads with the table down, and also to instances that
cannot reach it. What may come into force is decided in
``ebonyhaven_decisions``; this module only carries it out.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import structlog
from ebonyhaven_decisions import (
    CURRENT_CONFIGURATION_KEY,
    ConfigurationEntry,
    ConfigurationView,
    DeclarationError,
    PeerReport,
    observe_peer,
    observe_table,
    parse_configuration_entry,
    parse_declaration,
)
from ebonyhaven_store import PlatformError, RowSet, TableClient
from twisted.internet import task
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._configuration_exchange import (
    ConfigurationMessage,
    ConfigurationPeers,
)
from ebonyhaven_node._configuration_metrics import ConfigurationMetrics
from ebonyhaven_node._configured import ConfigurationInForce
from ebonyhaven_node._controllers import start_controller

SHORTEST_PERIOD_S = 1.0
READS_PER_S = 100.0
JITTER = 0.3
ASK_PERIOD_S = 0.3
ASK_BATCH = 8

_log = structlog.get_logger()


class ConfigurationController:
    """Keeps the newest accepted configuration in force.

    Parameters
    ----------
    table : TableClient
    configuration : ConfigurationInForce
        What the rest of the node reads.
    incarnation : int
        Incarnation of this instance.
    reactor : IReactorTime
    rng : random.Random
    metrics : ConfigurationMetrics
    """

    def __init__(
        self,
        *,
        table: TableClient,
        configuration: ConfigurationInForce,
        incarnation: int,
        reactor: IReactorTime,
        rng: random.Random,
        metrics: ConfigurationMetrics,
    ):
        self._table = table
        self._configuration = configuration
        self._reactor = reactor
        self._rng = rng
        self._metrics = metrics
        self._view = ConfigurationView(incarnation=incarnation)
        self._peers: ConfigurationPeers | None = None
        self._table_version = 0
        self._table_failed = False
        self._unasked: list[str] = []
        self._refused_version = 0
        self._stopped = False
        self._waits: dict[str, Deferred] = {}

    @property
    def version(self) -> int:
        """Version in force, 0 while starting."""
        return self._view.version

    def connect(self, peers: ConfigurationPeers) -> None:
        """Begin to exchange configurations with other instances.

        Parameters
        ----------
        peers : ConfigurationPeers
        """
        self._peers = peers
        asking = self._repeat("ask", self._ask_peers, self._ask_period)
        start_controller("configuration of peers", asking)

    async def run(self) -> None:
        """Read the table again and again until `stop` is called."""
        await self._repeat("read", self._read_table, self._read_period)

    def stop(self) -> None:
        """End all activity."""
        self._stopped = True
        for waiting in list(self._waits.values()):
            waiting.cancel()

    def receive_version(self, name: str, version: int) -> None:
        """Take in the version that a neighbour's heartbeat tells.

        Parameters
        ----------
        name : str
            Name of the neighbour.
        version : int
            Version in force there.
        """
        known = self._view.highest_version
        report = PeerReport(name, version, version, None)
        self._observe_report(report)
        if self._peers is not None and version > max(known, self.version):
            self._ask(name)

    def receive_question(self, name: str, incarnation: int, held_version: int) -> None:
        """Answer what is in force here.

        Parameters
        ----------
        name : str
            Name of the instance that asks.
        incarnation : int
            What the answer must repeat.
        held_version : int
            Highest version whose content it has.
        """
        if self._peers is None:
            return
        entry = self._view.entry
        sent = entry if entry is not None and entry.version > held_version else None
        message = ConfigurationMessage(
            version=self.version,
            highest_version=self._view.highest_version,
            answers=incarnation,
            entry=sent,
        )
        self._peers.answer(name, message)

    def receive_answer(self, name: str, message: ConfigurationMessage) -> None:
        """Take in the answer to a question.

        Parameters
        ----------
        name : str
            Name of the instance that answers.
        message : ConfigurationMessage
        """
        report = PeerReport(
            name,
            message.version,
            message.highest_version,
            message.entry,
            message.answers,
        )
        self._observe_report(report)

    async def _repeat(
        self,
        name: str,
        function: Callable[[], object],
        find_period: Callable[[], float],
    ) -> None:
        while not self._stopped:
            pending = function()
            if pending is not None:
                await pending
            period_s = find_period() * self._rng.uniform(1 - JITTER, 1)
            self._waits[name] = task.deferLater(self._reactor, period_s)
            try:
                await self._waits[name]
            except CancelledError:
                return

    def _read_period(self) -> float:
        listed = self._peers.count_listed() if self._peers is not None else 1
        return max(SHORTEST_PERIOD_S, listed / READS_PER_S)

    def _ask_period(self) -> float:
        return ASK_PERIOD_S

    async def _read_table(self) -> None:
        try:
            changes = await self._table.read_changes(
                self._table_version, prefix=CURRENT_CONFIGURATION_KEY
            )
        except PlatformError:
            self._table_failed = True
            self._metrics.reads.labels("failed").inc()
            return
        self._table_failed = False
        self._metrics.reads.labels("done").inc()
        self._take_changes(changes)

    def _take_changes(self, changes: RowSet) -> None:
        row = changes.find(CURRENT_CONFIGURATION_KEY)
        if row.value is None:
            self._table_version = changes.version
            return
        try:
            entry = parse_configuration_entry(row.value)
        except ValueError as error:
            self._refuse(row.version, str(error))
            return
        if not self._is_usable(entry):
            return
        self._apply(observe_table(self._view, entry), "table")
        if self.version >= entry.version:  # else the next read asks for it again
            self._table_version = changes.version

    def _ask_peers(self) -> None:
        is_starting = self._view.entry is None and self._table_failed
        if not is_starting and not self._view.version_to_fetch:
            self._unasked = []
            return
        if not self._unasked:
            self._unasked = self._peers.list_names()
            self._rng.shuffle(self._unasked)
        batch, self._unasked = self._unasked[:ASK_BATCH], self._unasked[ASK_BATCH:]
        for name in batch:
            self._ask(name)

    def _ask(self, name: str) -> None:
        candidate = self._view.candidate
        held_version = max(self.version, candidate.version if candidate else 0)
        self._peers.ask(name, held_version, self._view.incarnation)

    def _observe_report(self, report: PeerReport) -> None:
        if report.entry is not None and not self._is_usable(report.entry):
            report = report._replace(entry=None)
        listed = self._peers.count_listed() if self._peers is not None else 0
        view = observe_peer(self._view, report, listed_instances=listed)
        self._apply(view, "peer")

    def _is_usable(self, entry: ConfigurationEntry) -> bool:
        if entry.version <= self.version:
            return True
        try:
            parse_declaration(entry.declaration)
        except DeclarationError as error:
            self._refuse(entry.version, str(error))
            return False
        return True

    def _refuse(self, version: int, reason: str) -> None:
        if version != self._refused_version:
            self._refused_version = version
            _log.error("configuration_refused", version=version, error=reason)

    def _apply(self, view: ConfigurationView, source: str) -> None:
        before = self._view
        self._view = view
        if view.entry is None or view.version == before.version:
            return
        declaration = parse_declaration(view.entry.declaration)
        self._configuration.replace(declaration, view.version)
        self._metrics.version.set(view.version)
        self._metrics.accepted.labels(source).inc()
        _log.info("configuration_in_force", version=view.version, source=source)
        if self._peers is not None:
            self._peers.announce()
