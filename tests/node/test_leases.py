from __future__ import annotations

import random

from ebonyhaven_decisions import LeaseTiming
from ebonyhaven_node._guarded_body import GuardedBody, GuardError
from ebonyhaven_node._leases import (
    Candidacy,
    LeaseController,
    LeaseIdentity,
    LeaseMetrics,
)
from ebonyhaven_node._pool_controllers import CANDIDATES_PER_LEASE, choose_candidates
from ebonyhaven_store import PlatformTransport, TableClient
from prometheus_client import CollectorRegistry
from twisted.internet import reactor, task
from twisted.internet.defer import Deferred

from tests.reactor_thread import run_in_reactor
from tests.store_client.platform_process import run_platform, set_faults

TIMING = LeaseTiming(duration_s=600.0, renew_after_s=0.01, safety_margin_s=1.0)
LOST_RESPONSES = 3


class AlwaysCandidate(Candidacy):
    def is_candidate(self, lease: str) -> bool:
        return True


class Contender:
    """Lease controller and metrics of one instance."""

    def __init__(self, name: str, transport: PlatformTransport):
        self.registry = CollectorRegistry()
        self.lease = LeaseController(
            lease="orders",
            owner=LeaseIdentity(name, 1),
            table=TableClient(transport),
            reactor=reactor,
            rng=random.Random(name),
            candidacy=AlwaysCandidate(),
            metrics=LeaseMetrics(self.registry),
            timing=TIMING,
        )

    def count_writes(self, result: str) -> float:
        labels = {"action": "renew", "result": result}
        return self.registry.get_sample_value("ebonyhaven_lease_writes_total", labels)


async def wait_until(condition) -> None:
    while not condition():
        await task.deferLater(reactor, 0.02)


async def run_contenders(address: str, check) -> None:
    transport = PlatformTransport(reactor, address, timeout_s=20.0)
    contenders = [Contender(name, transport) for name in ("a", "b")]
    for contender in contenders:
        Deferred.fromCoroutine(contender.lease.run())
    try:
        await check(contenders)
    finally:
        for contender in contenders:
            contender.lease.stop()
        await transport.close()


def find_holder(contenders: list[Contender]) -> Contender:
    (holder,) = [item for item in contenders if item.lease.is_held()]
    return holder


def test_holder_keeps_its_lease_when_write_responses_are_lost():
    async def check(contenders: list[Contender]) -> None:
        await wait_until(lambda: any(item.lease.is_held() for item in contenders))
        holder = find_holder(contenders)
        set_faults(address, lose_answers=LOST_RESPONSES)
        await wait_until(lambda: holder.count_writes("unconfirmed") == LOST_RESPONSES)
        done = holder.count_writes("done") or 0
        await wait_until(lambda: (holder.count_writes("done") or 0) > done)
        assert find_holder(contenders) is holder
        assert holder.lease.fence == 1
        assert not holder.count_writes("conflict")

    with run_platform() as address:
        run_in_reactor(run_contenders, address, check)


def test_acquisition_with_a_lost_response_is_confirmed_by_a_read():
    async def check(contenders: list[Contender]) -> None:
        await wait_until(lambda: any(item.lease.is_held() for item in contenders))
        assert find_holder(contenders).lease.fence == 1

    with run_platform() as address:
        set_faults(address, lose_answers=1)
        run_in_reactor(run_contenders, address, check)


def test_released_lease_is_acquired_with_a_higher_fence():
    async def check(contenders: list[Contender]) -> None:
        await wait_until(lambda: any(item.lease.is_held() for item in contenders))
        holder = find_holder(contenders)
        (other,) = [item for item in contenders if item is not holder]
        await holder.lease.release()
        assert not holder.lease.is_held()
        await wait_until(other.lease.is_held)
        assert other.lease.fence == 2

    with run_platform() as address:
        run_in_reactor(run_contenders, address, check)


def test_order_is_not_written_after_the_lease_has_expired():
    written: list[bytes] = []

    class Consumer:
        write = staticmethod(written.append)

    failures: list = []
    withheld = GuardedBody(b"order", lambda: False).startProducing(Consumer())
    withheld.addErrback(failures.append)
    assert failures[0].check(GuardError)
    assert written == []
    GuardedBody(b"order", lambda: True).startProducing(Consumer())
    assert written == [b"order"]


def test_candidates_are_few_and_differ_between_leases():
    instances = [f"n{number}" for number in range(390)]
    chosen = [tuple(choose_candidates(f"l{n}", instances)) for n in range(10)]
    assert all(len(names) == CANDIDATES_PER_LEASE for names in chosen)
    assert len(set(chosen)) == len(chosen)
    assert choose_candidates("l0", reversed(instances)) == list(chosen[0])
