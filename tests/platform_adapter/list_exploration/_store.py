"""Simulated store of the platform, and the client of one instance."""

from __future__ import annotations

import random

from ebonyhaven_adapter._store import Row, RowBatch
from ebonyhaven_adapter.exceptions import StoreError
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.platform_adapter.list_exploration._reactors import InstanceReactor

LATENCY_S = 0.003
SLOW_LATENCY_S = 0.5


class Snapshot:
    """Rows of all tables at one version."""

    def __init__(self, rows, version, taken_at):
        self.rows = {table: dict(content) for table, content in rows.items()}
        self.version = version
        self.taken_at = taken_at


class SimulatedStore:
    """Tables with one version counter, a feed with a bounded history, and eras."""

    def __init__(self, world: Clock):
        self.world = world
        self.rows: dict[str, dict[str, Row]] = {"op": {}, "servers": {}}
        self.version = 10
        self.era = 0
        self.history_start = 0
        self.is_down = False
        self.is_slow = False
        self.refused: dict[str, str] = {}  # by instance: "status" or "silent"
        self.stale_by_s = 0.0
        self.calls = 0
        self._snapshots = [Snapshot(self.rows, self.version, 0.0)]
        self._waiting: list[tuple[str, int, Deferred]] = []

    def write(self, table: str, key: str, content: object | None) -> bool:
        """Write or remove a row; return whether the store acknowledged it."""
        if self.is_down:
            return False
        self.version += 1
        self.rows[table][key] = Row(key, content, self.version, content is None)
        self._snapshots.append(Snapshot(self.rows, self.version, self.world.seconds()))
        self._snapshots = self._snapshots[-400:]
        self._wake(table)
        return True

    def drop_history(self) -> None:
        self.history_start = self.version

    def restore(self, age_s: float) -> None:
        """Come back from the copy that was taken some seconds ago."""
        copy = self._find_snapshot(age_s)
        self.rows = {table: dict(content) for table, content in copy.rows.items()}
        self.version = copy.version
        self.era += 1
        self.history_start = self.version
        self._snapshots = [Snapshot(self.rows, self.version, self.world.seconds())]
        waiting, self._waiting = self._waiting, []
        for _, _, answer in waiting:
            answer.errback(make_error("reset"))

    def set_down(self, is_down: bool) -> None:
        self.is_down = is_down
        if is_down:
            waiting, self._waiting = self._waiting, []
            for _, _, answer in waiting:
                answer.errback(make_error("reset"))

    def read_table(self, table: str) -> RowBatch:
        copy = self._find_snapshot(self.stale_by_s) if self.stale_by_s else self
        rows = tuple(row for row in copy.rows[table].values() if not row.is_gone)
        return self._make_batch(rows, copy.version)

    def read_feed(self, table: str, after: int) -> RowBatch:
        if after < self.history_start:
            raise make_error("history gone", status=410)
        changed = [row for row in self.rows[table].values() if row.version > after]
        changed.sort(key=lambda row: row.version)
        return self._make_batch(tuple(changed), self.version)

    def wait(self, table: str, after: int) -> Deferred:
        answer = Deferred()
        self._waiting.append((table, after, answer))
        return answer

    def _wake(self, table: str) -> None:
        due = [each for each in self._waiting if each[0] == table]
        self._waiting = [each for each in self._waiting if each[0] != table]
        for _, _, answer in due:
            answer.callback(None)

    def _make_batch(self, rows: tuple[Row, ...], version: int) -> RowBatch:
        return RowBatch(rows, version, False, self.era, self.world.seconds())

    def _find_snapshot(self, age_s: float) -> Snapshot:
        wanted = self.world.seconds() - age_s
        older = [each for each in self._snapshots if each.taken_at <= wanted]
        return older[-1] if older else self._snapshots[0]


def make_error(reason: str, status: int | None = None) -> StoreError:
    return StoreError(step="read", peer="store", reason=reason, status=status)


class SimulatedClient:
    """Calls of one instance; each takes place over a connection that may go silent."""

    def __init__(
        self,
        *,
        store: SimulatedStore,
        name: str,
        reactor: InstanceReactor,
        rng: random.Random,
    ):
        self._store = store
        self._name = name
        self._reactor = reactor
        self._rng = rng
        self._connections = 0
        self._silent_before = 0
        self.is_cut_off = False

    def silence_connections(self) -> None:
        """Let the calls in progress never be answered."""
        self._silent_before = self._connections

    async def read_table(self, table, *, timeout_s):
        return await self._call(lambda: self._store.read_table(table), timeout_s)

    def close_idle_connections(self):
        """Do nothing; each call here has a connection of its own."""

    async def read_changes(self, table, after, *, wait_s, timeout_s):
        store = self._store

        def read():
            rows = store.read_feed(table, after)
            return rows if rows.rows or wait_s <= 0.0 else None

        waited = (lambda: store.wait(table, after)) if wait_s > 0.0 else None
        return await self._call(
            read,
            wait_s + timeout_s,
            waited=waited,
            wait_s=wait_s,
            final=lambda: store.read_feed(table, after),
        )

    async def _call(self, read, timeout_s, *, waited=None, wait_s=0.0, final=None):
        self._store.calls += 1
        self._connections += 1
        call = _Call(
            self, self._connections, read, waited=waited, wait_s=wait_s, final=final
        )
        timer = self._reactor.callLater(timeout_s, call.expire)
        call.send()
        try:
            return await call.response
        finally:
            if timer.active():
                timer.cancel()

    def draw_latency_s(self) -> float:
        base = SLOW_LATENCY_S if self._store.is_slow else LATENCY_S
        return base * self._rng.uniform(0.5, 1.3)

    def find_refusal(self) -> str | None:
        if self.is_cut_off:
            return "silent"
        return self._store.refused.get(self._name)

    def is_silent(self, number: int) -> bool:
        return number <= self._silent_before or self.is_cut_off


class _Call:
    """One call and its response."""

    def __init__(self, client, number, read, *, waited, wait_s, final):
        self._client = client
        self._number = number
        self._read = read
        self._waited = waited
        self._wait_s = wait_s
        self._final = final
        self._is_answered = False
        self.response = Deferred()

    def send(self) -> None:
        world = self._client._store.world
        world.callLater(self._client.draw_latency_s() / 2, self._arrive)

    def expire(self) -> None:
        self._finish(make_error("timed out"))

    def _arrive(self) -> None:
        store = self._client._store
        refusal = self._client.find_refusal()
        if refusal == "silent" or self._client.is_silent(self._number):
            return
        if store.is_down or refusal is not None:
            self._answer(make_error("refused", status=503))
            return
        self._answer_or_wait(self._read)

    def _answer_or_wait(self, read) -> None:
        try:
            rows = read()
        except StoreError as error:
            self._answer(error)
            return
        if rows is not None:
            self._answer(rows)
            return
        waiting = self._waited()
        waiting.addCallbacks(
            lambda _: self._answer_or_wait(self._final),
            lambda failure: self._answer(failure.value),
        )
        world = self._client._store.world
        world.callLater(self._wait_s, self._end_wait)

    def _end_wait(self) -> None:
        if not self._is_answered and not self._client._store.is_down:
            self._answer_or_wait(self._final)

    def _answer(self, result) -> None:
        if self._is_answered:
            return
        self._is_answered = True
        if self._client.is_silent(self._number):
            return
        delay_s = self._client.draw_latency_s() / 2
        self._client._reactor.callLater(delay_s, self._deliver, result)

    def _deliver(self, result) -> None:
        if not self._client.is_silent(self._number):
            self._finish(result)

    def _finish(self, result) -> None:
        if self.response.called:
            return
        if isinstance(result, Exception):
            self.response.errback(result)
        else:
            self.response.callback(result)
