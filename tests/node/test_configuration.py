from __future__ import annotations

import random

from ebonyhaven_decisions import CURRENT_CONFIGURATION_KEY, ConfigurationEntry
from ebonyhaven_node._configuration import (
    ASK_BATCH,
    SHORTEST_PERIOD_S,
    ConfigurationController,
)
from ebonyhaven_node._configuration_exchange import (
    ConfigurationMessage,
    ConfigurationPeers,
)
from ebonyhaven_node._configuration_metrics import ConfigurationMetrics
from ebonyhaven_node._configured import ConfigurationInForce
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
    """Answers reads of changes with one row, or not at all."""

    def __init__(self):
        self.row: Row | None = None

    def write(self, value: object, version: int) -> None:
        self.row = Row(CURRENT_CONFIGURATION_KEY, value, version)

    def read_changes(self, since: int, *, prefix: str) -> Deferred[RowSet]:
        if self.row is None:
            error = Unavailable(step="table.changes", peer="platform", reason="out")
            return fail(error)
        rows = (self.row,) if self.row.version > since else ()
        return succeed(RowSet(rows, self.row.version))


class FakePeers(ConfigurationPeers):
    """Notes what is asked and answered."""

    def __init__(self, count: int):
        self.names = [f"p{number}" for number in range(count)]
        self.asked: list[str] = []
        self.answers: list[ConfigurationMessage] = []
        self.announced = 0

    def list_names(self) -> list[str]:
        return list(self.names)

    def count_listed(self) -> int:
        return len(self.names) + 1

    def announce(self) -> None:
        self.announced += 1

    def ask(self, name: str, held_version: int, incarnation: int) -> None:
        assert incarnation == INCARNATION
        self.asked.append(name)

    def answer(self, name: str, message: ConfigurationMessage) -> None:
        self.answers.append(message)


class Instance:
    """A controller on a clock that the test moves."""

    def __init__(self, peers: int = 4):
        self.clock = Clock()
        self.table = FakeTable()
        self.peers = FakePeers(peers)
        self.in_force = ConfigurationInForce()
        self.controller = ConfigurationController(
            table=self.table,
            configuration=self.in_force,
            incarnation=INCARNATION,
            reactor=self.clock,
            rng=random.Random(1),
            metrics=ConfigurationMetrics(CollectorRegistry()),
        )
        Deferred.fromCoroutine(self.controller.run())
        self.controller.connect(self.peers)

    def read(self) -> None:
        self.clock.advance(SHORTEST_PERIOD_S)

    def tell(self, name: str, version: int, *, answers: int = INCARNATION) -> None:
        entry = make_entry(version)
        message = ConfigurationMessage(
            version=version, highest_version=version, answers=answers, entry=entry
        )
        self.controller.receive_answer(name, message)


def test_malformed_row_is_refused_and_a_later_version_taken():
    instance = Instance()
    instance.table.write({"version": 1}, 1)
    instance.read()
    assert instance.in_force.version == 0
    instance.table.write(make_entry(2, {"classes": 3}).serialize(), 2)
    instance.read()
    assert instance.in_force.version == 0
    instance.table.write(make_entry(3).serialize(), 3)
    instance.read()
    assert instance.in_force.version == 3
    assert instance.peers.announced == 1


def test_starting_instance_waits_for_more_than_half():
    instance = Instance(peers=4)
    instance.tell("p0", 1)
    instance.tell("p1", 2)
    instance.tell("p2", 2, answers=INCARNATION - 1)
    assert instance.in_force.version == 0
    instance.tell("p3", 1)
    assert instance.in_force.version == 2


def test_starting_instance_asks_in_batches_while_the_table_is_out():
    instance = Instance(peers=3 * ASK_BATCH)
    instance.read()
    assert 0 < len(instance.peers.asked) <= 4 * ASK_BATCH
    instance.clock.pump([SHORTEST_PERIOD_S] * 10)
    assert set(instance.peers.asked) == set(instance.peers.names)


def test_running_instance_asks_whoever_has_a_higher_version_and_goes_on_to_it():
    instance = Instance()
    instance.table.write(make_entry(1).serialize(), 1)
    instance.read()
    instance.peers.asked.clear()
    instance.controller.receive_version("p2", 2)
    assert instance.peers.asked == ["p2"]
    instance.tell("p2", 2, answers=0)
    assert instance.in_force.version == 2
    instance.read()
    instance.tell("p1", 1)
    assert instance.in_force.version == 2


def test_question_is_answered_with_content_that_is_lacking():
    instance = Instance()
    instance.controller.receive_question("p0", 5, 0)
    assert instance.peers.answers[-1].version == 0
    instance.table.write(make_entry(4).serialize(), 1)
    instance.read()
    instance.controller.receive_question("p0", 5, 3)
    instance.controller.receive_question("p0", 5, 4)
    with_content, without = instance.peers.answers[-2:]
    assert with_content.entry.version == 4
    assert with_content.answers == 5
    assert without.entry is None
