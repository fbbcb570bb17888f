from __future__ import annotations

import random

from ebonyhaven_decisions import CURRENT_CONFIGURATION_KEY, ConfigurationEntry
from ebonyhaven_node._active_configuration import ActiveConfiguration
from ebonyhaven_node._configuration import (
    MIN_READ_PERIOD_S,
    REQUEST_BATCH_SIZE,
    ConfigurationController,
)
from ebonyhaven_node._configuration_exchange import (
    ConfigurationPeers,
    ConfigurationResponse,
)
from ebonyhaven_node._configuration_metrics import ConfigurationMetrics
from ebonyhaven_store import Row, RowSet, Unavailable
from prometheus_client import CollectorRegistry
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

INCARNATION = 7
EMPTY = {"classes": {}, "models": {}, "pools": {}, "workspaces": {}}


def make_entry(version: int, declaration: dict = EMPTY) -> ConfigurationEntry:
    return ConfigurationEntry(
        version=version,
        change_id=f"c{version}",
        author="operator",
        accepted_at=0.0,
        declaration=declaration,
    )


class FakeTable:
    """Returns one row from reads of changes, or fails while there is none."""

    def __init__(self):
        self.row: Row | None = None

    def write(self, value: object, version: int) -> None:
        self.row = Row(CURRENT_CONFIGURATION_KEY, value, version)

    def read_changes(self, since: int, *, prefix: str) -> Deferred[RowSet]:
        if self.row is None:
            error = Unavailable(step="table.changes", peer="platform", reason="outage")
            return fail(error)
        rows = (self.row,) if self.row.version > since else ()
        return succeed(RowSet(rows, self.row.version))


class FakePeers(ConfigurationPeers):
    """Records the requests and responses that are sent."""

    def __init__(self, count: int):
        self.names = [f"p{number}" for number in range(count)]
        self.requested: list[str] = []
        self.responses: list[ConfigurationResponse] = []
        self.announced = 0

    def list_names(self) -> list[str]:
        return list(self.names)

    def count_listed_instances(self) -> int:
        return len(self.names) + 1

    def announce(self) -> None:
        self.announced += 1

    def send_request(self, name: str, content_version: int, incarnation: int) -> None:
        assert incarnation == INCARNATION
        self.requested.append(name)

    def send_response(self, name: str, response: ConfigurationResponse) -> None:
        self.responses.append(response)


class ControllerHarness:
    """Controller with a simulated clock, a fake table and fake peers."""

    def __init__(self, peers: int = 4):
        self.clock = Clock()
        self.table = FakeTable()
        self.peers = FakePeers(peers)
        self.configuration = ActiveConfiguration()
        self.controller = ConfigurationController(
            table=self.table,
            configuration=self.configuration,
            incarnation=INCARNATION,
            reactor=self.clock,
            rng=random.Random(1),
            metrics=ConfigurationMetrics(CollectorRegistry()),
        )
        Deferred.fromCoroutine(self.controller.run())
        self.controller.connect_peers(self.peers)

    def advance_read_period(self) -> None:
        self.clock.advance(MIN_READ_PERIOD_S)

    def respond(
        self, name: str, version: int, *, request_incarnation: int = INCARNATION
    ) -> None:
        entry = make_entry(version)
        response = ConfigurationResponse(
            version=version,
            highest_version=version,
            request_incarnation=request_incarnation,
            entry=entry,
        )
        self.controller.receive_response(name, response)


def test_malformed_row_is_rejected_and_a_later_version_activated():
    harness = ControllerHarness()
    harness.table.write({"version": 1}, 1)
    harness.advance_read_period()
    assert harness.configuration.version == 0
    harness.table.write(make_entry(2, {"classes": 3}).serialize(), 2)
    harness.advance_read_period()
    assert harness.configuration.version == 0
    harness.table.write(make_entry(3).serialize(), 3)
    harness.advance_read_period()
    assert harness.configuration.version == 3
    assert harness.peers.announced == 1


def test_starting_instance_requires_responses_of_more_than_half():
    harness = ControllerHarness(peers=4)
    harness.respond("p0", 1)
    harness.respond("p1", 2)
    harness.respond("p2", 2, request_incarnation=INCARNATION - 1)
    assert harness.configuration.version == 0
    harness.respond("p3", 1)
    assert harness.configuration.version == 2


def test_starting_instance_queries_peers_in_batches_during_a_table_outage():
    harness = ControllerHarness(peers=3 * REQUEST_BATCH_SIZE)
    harness.advance_read_period()
    assert 0 < len(harness.peers.requested) <= 4 * REQUEST_BATCH_SIZE
    harness.clock.pump([MIN_READ_PERIOD_S] * 10)
    assert set(harness.peers.requested) == set(harness.peers.names)


def test_running_instance_requests_and_activates_a_higher_version():
    harness = ControllerHarness()
    harness.table.write(make_entry(1).serialize(), 1)
    harness.advance_read_period()
    harness.peers.requested.clear()
    harness.controller.receive_version("p2", 2)
    assert harness.peers.requested == ["p2"]
    harness.respond("p2", 2, request_incarnation=0)
    assert harness.configuration.version == 2
    harness.advance_read_period()
    harness.respond("p1", 1)
    assert harness.configuration.version == 2


def test_response_includes_the_content_only_of_a_newer_version():
    harness = ControllerHarness()
    harness.controller.receive_request("p0", 5, 0)
    assert harness.peers.responses[-1].version == 0
    harness.table.write(make_entry(4).serialize(), 1)
    harness.advance_read_period()
    harness.controller.receive_request("p0", 5, 3)
    harness.controller.receive_request("p0", 5, 4)
    with_content, without_content = harness.peers.responses[-2:]
    assert with_content.entry.version == 4
    assert with_content.request_incarnation == 5
    assert without_content.entry is None
