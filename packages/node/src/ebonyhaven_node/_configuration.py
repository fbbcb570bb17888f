"""Controller that reads configurations from the table and from peers.

Each instance polls the table; a poll returns only the rows that have changed since
the last version processed. An instance that activates a new version announces it in
its next heartbeats, and instances with an older version request the content.
Versions therefore also spread during an outage of the table and reach instances
without a connection to it. ``ebonyhaven_decisions`` decides which version becomes
active; this module performs the I/O.
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
    apply_peer_report,
    apply_table_entry,
    parse_configuration_entry,
    parse_declaration,
)
from ebonyhaven_store import PlatformError, RowSet, TableClient
from twisted.internet import task
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._active_configuration import ActiveConfiguration
from ebonyhaven_node._configuration_exchange import (
    ConfigurationPeers,
    ConfigurationResponse,
)
from ebonyhaven_node._configuration_metrics import ConfigurationMetrics
from ebonyhaven_node._controllers import start_controller

MIN_READ_PERIOD_S = 1.0
CLUSTER_READS_PER_S = 100.0  # total of all listed instances
PERIOD_JITTER_RATIO = 0.3
REQUEST_PERIOD_S = 0.3
REQUEST_BATCH_SIZE = 8

_log = structlog.get_logger()


class ConfigurationController:
    """Keeps the newest accepted configuration active.

    Parameters
    ----------
    table : TableClient
    configuration : ActiveConfiguration
        Updated with each new version.
    incarnation : int
        Incarnation of this instance.
    reactor : IReactorTime
    rng : random.Random
        Source of the jitter and of the order in which peers are queried.
    metrics : ConfigurationMetrics
    """

    def __init__(
        self,
        *,
        table: TableClient,
        configuration: ActiveConfiguration,
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
        self._unqueried_peers: list[str] = []
        self._last_rejected_version = 0
        self._stopped = False
        self._timers: dict[str, Deferred] = {}

    @property
    def version(self) -> int:
        """Active version; 0 until a configuration is active."""
        return self._view.version

    def connect_peers(self, peers: ConfigurationPeers) -> None:
        """Start exchanging configurations with other instances.

        Parameters
        ----------
        peers : ConfigurationPeers
        """
        self._peers = peers
        requests = self._run_periodically(
            "ask", self._query_peers, self._compute_request_period
        )
        start_controller("configuration of peers", requests)

    async def run(self) -> None:
        """Poll the table until `stop` is called."""
        await self._run_periodically(
            "read", self._read_table, self._compute_read_period
        )

    def stop(self) -> None:
        """Stop polling the table and the peers."""
        self._stopped = True
        for timer in list(self._timers.values()):
            timer.cancel()

    def receive_version(self, name: str, version: int) -> None:
        """Process the version announced in a peer's heartbeat.

        Parameters
        ----------
        name : str
            Name of the peer.
        version : int
            Active version on the peer.
        """
        known_version = self._view.highest_version
        report = PeerReport(name, version, version, None)
        self._observe_report(report)
        if self._peers is not None and version > max(known_version, self.version):
            self._send_request(name)

    def receive_request(
        self, name: str, incarnation: int, content_version: int
    ) -> None:
        """Respond with the active version, and its content if it is newer.

        Parameters
        ----------
        name : str
            Name of the requesting instance.
        incarnation : int
            Incarnation of the requesting instance, returned in the response.
        content_version : int
            Highest version of which the requesting instance has the content.
        """
        if self._peers is None:
            return
        entry = self._view.entry
        newer_entry = (
            entry if entry is not None and entry.version > content_version else None
        )
        response = ConfigurationResponse(
            version=self.version,
            highest_version=self._view.highest_version,
            request_incarnation=incarnation,
            entry=newer_entry,
        )
        self._peers.send_response(name, response)

    def receive_response(self, name: str, response: ConfigurationResponse) -> None:
        """Process the response to a configuration request.

        Parameters
        ----------
        name : str
            Name of the responding instance.
        response : ConfigurationResponse
        """
        report = PeerReport(
            name,
            response.version,
            response.highest_version,
            response.entry,
            response.request_incarnation,
        )
        self._observe_report(report)

    async def _run_periodically(
        self,
        name: str,
        function: Callable[[], object],
        compute_period: Callable[[], float],
    ) -> None:
        while not self._stopped:
            pending = function()
            if pending is not None:
                await pending
            period_s = compute_period() * self._rng.uniform(1 - PERIOD_JITTER_RATIO, 1)
            self._timers[name] = task.deferLater(self._reactor, period_s)
            try:
                await self._timers[name]
            except CancelledError:
                return

    def _compute_read_period(self) -> float:
        listed = self._peers.count_listed_instances() if self._peers is not None else 1
        return max(MIN_READ_PERIOD_S, listed / CLUSTER_READS_PER_S)

    def _compute_request_period(self) -> float:
        return REQUEST_PERIOD_S

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
        self._process_changes(changes)

    def _process_changes(self, changes: RowSet) -> None:
        row = changes.find(CURRENT_CONFIGURATION_KEY)
        if row.value is None:
            self._table_version = changes.version
            return
        try:
            entry = parse_configuration_entry(row.value)
        except ValueError as error:
            self._log_rejection(row.version, str(error))
            return
        if not self._is_usable(entry):
            return
        self._apply_view(apply_table_entry(self._view, entry), "table")
        if self.version >= entry.version:  # otherwise the next read returns it again
            self._table_version = changes.version

    def _query_peers(self) -> None:
        is_starting = self._view.entry is None and self._table_failed
        if not is_starting and not self._view.version_to_fetch:
            self._unqueried_peers = []
            return
        if not self._unqueried_peers:
            self._unqueried_peers = self._peers.list_names()
            self._rng.shuffle(self._unqueried_peers)
        batch, self._unqueried_peers = (
            self._unqueried_peers[:REQUEST_BATCH_SIZE],
            self._unqueried_peers[REQUEST_BATCH_SIZE:],
        )
        for name in batch:
            self._send_request(name)

    def _send_request(self, name: str) -> None:
        candidate = self._view.candidate
        content_version = max(self.version, candidate.version if candidate else 0)
        self._peers.send_request(name, content_version, self._view.incarnation)

    def _observe_report(self, report: PeerReport) -> None:
        if report.entry is not None and not self._is_usable(report.entry):
            report = report._replace(entry=None)
        listed = self._peers.count_listed_instances() if self._peers is not None else 0
        view = apply_peer_report(self._view, report, listed_instances=listed)
        self._apply_view(view, "peer")

    def _is_usable(self, entry: ConfigurationEntry) -> bool:
        """Return whether an entry is valid; only newer entries are validated."""
        if entry.version <= self.version:
            return True
        try:
            parse_declaration(entry.declaration)
        except DeclarationError as error:
            self._log_rejection(entry.version, str(error))
            return False
        return True

    def _log_rejection(self, version: int, reason: str) -> None:
        if version != self._last_rejected_version:
            self._last_rejected_version = version
            _log.error("configuration_refused", version=version, error=reason)

    def _apply_view(self, view: ConfigurationView, source: str) -> None:
        previous = self._view
        self._view = view
        if view.entry is None or view.version == previous.version:
            return
        declaration = parse_declaration(view.entry.declaration)
        self._configuration.replace(declaration, view.version)
        self._metrics.version.set(view.version)
        self._metrics.accepted.labels(source).inc()
        _log.info("configuration_in_force", version=view.version, source=source)
        if self._peers is not None:
            self._peers.announce()
