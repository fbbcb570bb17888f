"""One seeded history of servers, instances and faults, with its checks."""

from __future__ import annotations

import random
from typing import NamedTuple

from ebonyhaven_decisions.forwarding import ServerListVersion
from twisted.internet.task import Clock

from tests.platform_adapter.list_exploration._instances import (
    Network,
    SimulatedInstance,
)
from tests.platform_adapter.list_exploration._store import SimulatedStore
from tests.platform_adapter.state_sources import CONFIGURATION, SERVER

CONTACT_S = 3.0  # ``contactMs`` of the rules
DRAIN_S = 2.0  # ``drainMs`` of the rules
REQUEST_TIME_S = 0.2  # of the drain time, for requests under way
LEARN_BOUND_S = DRAIN_S - REQUEST_TIME_S
CHECK_INTERVAL_S = 0.05
SERVER_HEARTBEAT_S = 1.2
ENTRY_TTL_S = 3.6
FAULT_INTERVAL_S = (0.5, 4.0)
CALM_INTERVAL_S = (9.0, 13.0)  # leaves time to see what a fault leaves behind
RETURN_BOUND_S = 2.0 * CONTACT_S  # exceeds that in which servers write again
LEAVE_INTERVAL_S = (0.4, 2.5)
FINAL_S = 4.0  # without new faults at the end


class Finding(NamedTuple):
    """One broken promise."""

    kind: str
    at: float
    instance: str
    server: str
    detail: str


class Server:
    """One server, which heartbeats, may expire, leaves and ends."""

    def __init__(self, server_id: str, number: int):
        self.server_id = server_id
        self.number = number
        self.state = "ready"
        self.sequence = 0
        self.left_at: float | None = None  # when the store acknowledged its leave
        self.left_version = ServerListVersion(0, 0)
        self.is_ended = False
        self.written_at = 0.0

    def make_row(self) -> dict:
        self.sequence += 1
        return {
            **SERVER,
            "address": f"10.{self.number // 200}.0.{self.number % 200}:80",
            "state": self.state,
            "sequence": self.sequence,
            "born": 1000 + self.number,
        }


class Failures:
    """Times of failures of one part, to tell whether it was sound for a while."""

    def __init__(self) -> None:
        self._open = 0
        self._ended_at = -1e9

    def begin(self) -> None:
        self._open += 1

    def end(self, now: float) -> None:
        self._open -= 1
        self._ended_at = now

    def has_been_sound(self, now: float, for_s: float = CONTACT_S) -> bool:
        return self._open == 0 and now - self._ended_at >= for_s


class World:
    """Store, instances, servers and faults of one seed."""

    def __init__(
        self,
        seed: int,
        *,
        duration_s: float,
        faults: tuple[str, ...],
        instances: int | None = None,
        fault_interval_s: tuple[float, float] = FAULT_INTERVAL_S,
    ):
        self._fault_interval_s = fault_interval_s
        self._listed_at: dict[str, tuple[int, float]] = {}  # by server: era, time
        self.rng = random.Random(seed)  # of the history, whatever the instances do
        self._network_rng = random.Random(f"network {seed}")
        self._instance_count = instances or self.rng.randint(2, 7)
        self.clock = Clock()
        self.duration_s = duration_s
        self.store = SimulatedStore(self.clock)
        self.network = Network(self.clock, self._network_rng)
        self.store_failures = Failures()
        self.machine_failures: dict[str, Failures] = {}
        self.findings: list[Finding] = []
        self.delays_s: list[float] = []  # of leaves, at instances in touch throughout
        self._faults = faults
        self._servers: dict[str, Server] = {}
        self._seen: set[tuple[str, str]] = set()  # ready at an instance
        self._known: dict[tuple[str, str], float] = {}
        self._reported: set[tuple[str, str, str]] = set()
        self._count = 0

    # -- history -----------------------------------------------------------

    def run(self) -> None:
        """Play the history and check it."""
        self.store.write("op", "config", CONFIGURATION)
        for _ in range(4):
            self._add_server()
        for number in range(self._instance_count):
            self.machine_failures[f"n{number}"] = Failures()
            self._start_instance(f"n{number}")
        self._later(3.0, self._leave_next)
        if self._faults:
            self._later(4.0, self._fail_next)
        self._later(CHECK_INTERVAL_S, self._check)
        while self.clock.calls:
            due = self.clock.calls[0].getTime()
            if due > self.duration_s:
                return
            self.clock.advance(max(0.0, due - self.clock.seconds()))

    def _later(self, delay_s: float, call, *args) -> None:
        self.clock.callLater(delay_s, call, *args)

    def _start_instance(self, name: str) -> None:
        instance = SimulatedInstance(
            name=name,
            world=self.clock,
            store=self.store,
            network=self.network,
            rng=self._network_rng,
        )
        self._seen = {each for each in self._seen if each[0] != name}
        for key in [each for each in self._known if each[0] == name]:
            del self._known[key]
        instance.start()

    # -- servers -----------------------------------------------------------

    def _add_server(self) -> None:
        self._count += 1
        server = Server(f"s-{self._count}", self._count)
        self._servers[server.server_id] = server
        self._heartbeat(server)

    def _heartbeat(self, server: Server) -> None:
        if server.is_ended:
            return
        self._write(server)
        delay_s = SERVER_HEARTBEAT_S * self.rng.uniform(0.8, 1.2)
        self._later(delay_s, self._heartbeat, server)

    def _write(self, server: Server) -> None:
        is_leave = server.state == "draining"
        if not self.store.write("servers", server.server_id, server.make_row()):
            return
        server.written_at = self.clock.seconds()
        if is_leave:
            self._record_leave(server)

    def _remove(self, server: Server) -> None:
        server.is_ended = True
        if not self.store.write("servers", server.server_id, None):
            self._later(0.2, self._remove, server)
            return
        self._record_leave(server)

    def _record_leave(self, server: Server) -> None:
        if server.left_at is None:
            server.left_at = self.clock.seconds()
            server.left_version = ServerListVersion(self.store.era, self.store.version)

    def _leave_next(self) -> None:
        ready = [each for each in self._servers.values() if each.state == "ready"]
        if ready and len(ready) > 2:
            server = self.rng.choice(ready)
            if self.rng.random() < 0.75:
                server.state = "draining"
                self._write(server)
                self._later(self.rng.uniform(2.5, 8.0), self._remove, server)
            else:
                server.state = "gone"
                self._remove(server)
        if self.rng.random() < 0.3 and ready:
            self._expire_alive(self.rng.choice(ready))
        self._add_server()
        self._later(self.rng.uniform(*LEAVE_INTERVAL_S), self._leave_next)

    def _expire_alive(self, server: Server) -> None:
        """Let an entry lapse; its server writes it again at its next heartbeat."""
        if server.state == "ready":
            self.store.write("servers", server.server_id, None)

    def _expire_ended(self) -> None:
        """Remove the entries of ended servers that a restore brought back."""
        now = self.clock.seconds()
        for server_id, row in list(self.store.rows["servers"].items()):
            server = self._servers.get(server_id)
            if row.is_gone or server is None or not server.is_ended:
                continue
            if now - server.written_at >= ENTRY_TTL_S:
                self._remove(server)

    # -- faults ------------------------------------------------------------

    def _fail_next(self) -> None:
        if self.clock.seconds() > self.duration_s - FINAL_S:
            return
        if self.network.instances:
            getattr(self, "_" + self.rng.choice(self._faults))()
        self._later(self.rng.uniform(*self._fault_interval_s), self._fail_next)

    def _choose_instance(self) -> SimulatedInstance:
        names = sorted(self.network.instances)
        return self.network.instances[self.rng.choice(names)]

    def _impair_machine(self, name: str, duration_s: float, end) -> None:
        self.machine_failures[name].begin()

        def finish() -> None:
            self.machine_failures[name].end(self.clock.seconds())
            end()

        self._later(duration_s, finish)

    def _impair_store(self, duration_s: float, end) -> None:
        self.store_failures.begin()

        def finish() -> None:
            self.store_failures.end(self.clock.seconds())
            end()

        self._later(duration_s, finish)

    def _freeze(self) -> None:
        instance = self._choose_instance()
        if instance.reactor.is_frozen:
            return
        instance.reactor.is_frozen = True
        duration_s = self.rng.uniform(0.3, 6.0)
        self._impair_machine(instance.name, duration_s, instance.reactor.thaw)

    def _kill(self) -> None:
        instance = self._choose_instance()
        instance.reactor.is_dead = True
        del self.network.instances[instance.name]
        restart = lambda: self._start_instance(instance.name)  # noqa: E731
        self._impair_machine(instance.name, self.rng.uniform(0.3, 3.0), restart)

    def _terminate(self) -> None:
        """Stop an instance gracefully: it leaves, and ends some seconds later."""
        instance = self._choose_instance()
        instance.membership.leave()
        grace_s = self.rng.uniform(2.0, 8.0)

        def end() -> None:
            if self.network.instances.get(instance.name) is instance:
                instance.reactor.is_dead = True
                self._start_instance(instance.name)

        self._impair_machine(instance.name, grace_s, end)

    def _list_links(self, name: str) -> list[tuple[str, str]]:
        others = [each for each in self.machine_failures if each != name]
        return [(name, each) for each in others] + [(each, name) for each in others]

    def _squeeze_machine(self) -> None:
        """Delay or lose what one machine sends and receives."""
        name = self._choose_instance().name
        links = self._list_links(name)
        target = self.network.delays_s
        value = self.rng.uniform(0.3, 6.0)
        if self.rng.random() < 0.4:
            target, value = self.network.losses, self.rng.choice((0.3, 0.7, 1.0))
        for link in links:
            target[link] = value

        def end() -> None:
            for link in links:
                target.pop(link, None)

        self._impair_machine(name, self.rng.uniform(1.0, 8.0), end)

    def _cut_pair(self) -> None:
        """Delay or lose what two instances send each other; both stay in touch."""
        names = sorted(self.machine_failures)
        first, second = self.rng.sample(names, 2)
        target, value = self.network.losses, 1.0
        if self.rng.random() < 0.5:
            target, value = self.network.delays_s, self.rng.uniform(0.3, 6.0)
        links = [(first, second), (second, first)]
        for link in links:
            target[link] = value

        def end() -> None:
            for link in links:
                target.pop(link, None)

        self._later(self.rng.uniform(1.0, 10.0), end)

    def _silence_connections(self) -> None:
        """Let open connections to the store go silent, at one instance or all."""
        chosen = list(self.network.instances.values())
        if self.rng.random() < 0.5:
            chosen = [self._choose_instance()]
        for instance in chosen:
            instance.client.silence_connections()
            self._impair_machine(instance.name, 0.0, lambda: None)

    def _cut_store(self) -> None:
        """Cut one instance off from the store."""
        instance = self._choose_instance()
        instance.client.is_cut_off = True

        def end() -> None:
            instance.client.is_cut_off = False
            instance.client.silence_connections()

        self._impair_machine(instance.name, self.rng.uniform(1.0, 8.0), end)

    def _refuse_instances(self) -> None:
        names = sorted(self.machine_failures)
        chosen = self.rng.sample(names, self.rng.randint(1, len(names)))
        how = self.rng.choice(("status", "silent"))
        self.store.refused = dict.fromkeys(chosen, how)
        self._impair_store(self.rng.uniform(1.0, 8.0), self.store.refused.clear)

    def _stop_store(self) -> None:
        if self.store.is_down:
            return
        self.store.set_down(True)
        duration_s = self.rng.uniform(0.5, 6.0)
        self._impair_store(duration_s, lambda: self.store.set_down(False))

    def _slow_store(self) -> None:
        self.store.is_slow = True

        def end() -> None:
            self.store.is_slow = False

        self._impair_store(self.rng.uniform(1.0, 6.0), end)

    def _drop_history(self) -> None:
        self.store.drop_history()

    def _compact(self) -> None:
        """Drop the history, and answer whole reads from the past for a while."""
        self.store.drop_history()
        self.store.stale_by_s = self.rng.uniform(0.5, 3.0)

        def end() -> None:
            self.store.stale_by_s = 0.0

        self._impair_store(self.rng.uniform(0.5, 4.0), end)

    def _restore_store(self) -> None:
        if self.store.is_down:
            return
        self.store.set_down(True)
        age_s = self.rng.uniform(0.5, 8.0)

        def end() -> None:
            self.store.set_down(False)
            self.store.restore(age_s)
            self._record_restore()

        self._impair_store(self.rng.uniform(0.3, 2.0), end)

    def _record_restore(self) -> None:
        """Note which leaves the copy lacks; servers tell them again."""
        for server in self._servers.values():
            row = self.store.rows["servers"].get(server.server_id)
            is_listed = row is not None and not row.is_gone
            if is_listed and row.content["state"] == "ready":
                server.left_at = None
            if is_listed and server.is_ended:
                server.written_at = self.clock.seconds()
        self._later(ENTRY_TTL_S + 0.1, self._expire_ended)

    # -- checks ------------------------------------------------------------

    def is_in_touch(self, name: str, for_s: float = CONTACT_S) -> bool:
        now = self.clock.seconds()
        is_sound = self.machine_failures[name].has_been_sound(now, for_s)
        return is_sound and self.store_failures.has_been_sound(now, for_s)

    def _check(self) -> None:
        now = self.clock.seconds()
        self._check_listed(now)
        for name, instance in self.network.instances.items():
            if instance.reactor.is_frozen:
                continue
            for server in self._servers.values():
                if server.state != "ready":
                    self._check_server(name, instance, server, now)
                elif instance.may_use(server.server_id):
                    self._seen.add((name, server.server_id))
        self._later(CHECK_INTERVAL_S, self._check)

    def _check_listed(self, now: float) -> None:
        """Check that servers that are listed and stay can be used."""
        era, rows = self.store.era, self.store.rows["servers"]
        for server_id, server in self._servers.items():
            row = rows.get(server_id)
            is_listed = row is not None and not row.is_gone
            if not is_listed or server.state != "ready":
                self._listed_at.pop(server_id, None)
            elif self._listed_at.get(server_id, (-1, now))[0] != era:
                self._listed_at[server_id] = (era, now)
        due = [
            server_id
            for server_id, (_, listed_at) in self._listed_at.items()
            if now - listed_at > RETURN_BOUND_S
        ]
        for name, instance in self.network.instances.items():
            for server_id in due if self.is_in_touch(name, RETURN_BOUND_S) else ():
                if not instance.may_use(server_id):
                    self._report("not used", now, (name, server_id), f"era {era}")

    def _check_server(self, name, instance, server, now) -> None:
        key = (name, server.server_id)
        if not instance.may_use(server.server_id):
            if self._has_just_learned(instance, server, key):
                self._known[key] = now
                sound_s = now - server.left_at + CONTACT_S
                machine = self.machine_failures[name]
                parts = (machine, self.store_failures)
                if all(each.has_been_sound(now, sound_s) for each in parts):
                    self.delays_s.append(now - server.left_at)
            return
        if key in self._known:
            self._report("taken back", now, key, f"known at {self._known[key]:.2f}")
            return
        is_late = server.left_at is not None and now - server.left_at > LEARN_BOUND_S
        if is_late and self.is_in_touch(name):
            self._report("not known", now, key, f"left at {server.left_at:.2f}")

    def _has_just_learned(self, instance, server, key) -> bool:
        """Return whether the instance now knows of a leave of a server that it used.

        An entry may also be missing because it lapsed before; a later row lists it.
        """
        if server.left_at is None or key not in self._seen or key in self._known:
            return False
        backend = instance.state.backends.find(server.server_id)
        version = instance.source.read_version().server_list
        return backend is not None or version >= server.left_version

    def _report(self, kind, now, key, detail) -> None:
        if (kind, *key) not in self._reported:
            self._reported.add((kind, *key))
            self.findings.append(Finding(kind, round(now, 2), *key, detail))


FAULTS = (
    "freeze",
    "kill",
    "terminate",
    "squeeze_machine",
    "cut_pair",
    "silence_connections",
    "cut_store",
    "refuse_instances",
    "stop_store",
    "slow_store",
    "drop_history",
    "compact",
    "restore_store",
)


def explore(
    seed: int,
    *,
    duration_s: float = 40.0,
    faults: tuple[str, ...] = FAULTS,
    instances: int | None = None,
    fault_interval_s: tuple[float, float] = FAULT_INTERVAL_S,
) -> World:
    """Play one seed and return its world."""
    world = World(
        seed,
        duration_s=duration_s,
        faults=faults,
        instances=instances,
        fault_interval_s=fault_interval_s,
    )
    world.run()
    return world
