from __future__ import annotations

import contextlib
import random
from collections.abc import Awaitable

from ebonyhaven_standins.cluster import PlatformClient
from ebonyhaven_store import (
    Condition,
    Conflict,
    InstanceListClient,
    ObjectClient,
    PlatformError,
    PlatformTransport,
    RetryPolicy,
    TableClient,
    Throttled,
    Transaction,
    Unavailable,
    Unconfirmed,
    WeightClient,
    Write,
    WriteResult,
    resolve_write,
)
from twisted.internet import reactor, task

from tests.reactor_thread import run_in_reactor
from tests.store_client.platform_process import run_platform, set_faults

SHORT_TIMEOUT_S = 0.3


def make_transaction(value: object, version: int, key: str = "a") -> Transaction:
    return Transaction("t", (Condition(key, version),), (Write(key, value),))


async def catch_error(operation: Awaitable) -> PlatformError:
    try:
        result = await operation
    except PlatformError as error:
        return error
    raise AssertionError(f"expected a PlatformError, got {result!r}")


@contextlib.asynccontextmanager
async def open_transport(address: str, timeout_s: float = 20.0):
    transport = PlatformTransport(reactor, address, timeout_s=timeout_s)
    try:
        yield transport
    finally:
        await transport.close()


def make_retry_policy(timeout_s: float = 30.0) -> RetryPolicy:
    return RetryPolicy(reactor.seconds() + timeout_s, random.Random(1))


def test_transaction_applies_all_writes_or_none():
    async def check(address: str):
        async with open_transport(address) as transport:
            table = TableClient(transport)
            transaction = Transaction(
                "t", (Condition("a", 0),), (Write("a", 1), Write("b", 2))
            )
            assert await table.transact(transaction) == 1
            conflict = await catch_error(table.transact(transaction))
            assert isinstance(conflict, Conflict)
            assert conflict.rows == (("a", 1, 1),)
            assert conflict.step == "table.transact"
            assert conflict.peer == address
            read = await table.read_rows(["a", "b", "c"])
            assert read.rows == (("a", 1, 1), ("b", 2, 1))
            assert read.find("c").version == 0

    with run_platform() as address:
        run_in_reactor(check, address)


def test_changes_include_latest_values_and_deletions_under_prefix():
    async def check(address: str):
        async with open_transport(address) as transport:
            table = TableClient(transport)
            await table.transact(make_transaction(1, 0, "p/a"))
            await table.transact(make_transaction(2, 1, "p/a"))
            await table.transact(make_transaction(3, 0, "q/b"))
            assert (await table.read_changes(0, prefix="p/")).rows == (("p/a", 2, 2),)
            await table.transact(make_transaction(None, 2, "p/a"))
            changes = await table.read_changes(2)
            assert changes.rows == (("q/b", 3, 3), ("p/a", None, 4))
            assert changes.version == 4
            assert (await table.read_range("p/")).rows == ()
            await table.transact(make_transaction(5, 0, "p/a"))

    with run_platform() as address:
        run_in_reactor(check, address)


def test_outage_is_unavailable_and_writes_nothing():
    async def check(address: str):
        async with open_transport(address) as transport:
            table = TableClient(transport)
            set_faults(address, outage=True)
            error = await catch_error(table.transact(make_transaction(1, 0)))
            assert type(error) is Unavailable
            assert type(await catch_error(table.read_rows(["a"]))) is Unavailable
            set_faults(address, outage=False)
            assert (await table.read_rows(["a"])).rows == ()

    with run_platform() as address:
        run_in_reactor(check, address)


def test_refused_connection_is_unavailable():
    async def check(address: str):
        async with open_transport(address) as transport:
            error = await catch_error(
                TableClient(transport).transact(make_transaction(1, 0))
            )
            assert type(error) is Unavailable

    with run_platform() as address:
        pass
    run_in_reactor(check, address)


def test_timed_out_write_is_unconfirmed_and_timed_out_read_unavailable():
    async def check(address: str):
        async with open_transport(address, SHORT_TIMEOUT_S) as transport:
            table = TableClient(transport)
            error = await catch_error(table.transact(make_transaction(1, 0)))
            assert type(error) is Unconfirmed
            assert type(await catch_error(table.read_rows(["a"]))) is Unavailable

    with run_platform() as address:
        set_faults(address, delay_ms=120_000)
        run_in_reactor(check, address)


def test_timed_out_write_is_still_applied():
    async def check(address: str):
        async with open_transport(address, SHORT_TIMEOUT_S) as transport:
            error = await catch_error(
                TableClient(transport).transact(make_transaction(1, 0))
            )
            assert type(error) is Unconfirmed
        set_faults(address, delay_ms=0)
        async with open_transport(address) as transport:
            table = TableClient(transport)
            while not (await table.read_rows(["a"])).rows:
                await task.deferLater(reactor, 0.05)

    with run_platform() as address:
        set_faults(address, delay_ms=1000)
        run_in_reactor(check, address)


def test_write_with_lost_response_is_unconfirmed_and_applied():
    async def check(address: str):
        async with open_transport(address) as transport:
            table = TableClient(transport)
            set_faults(address, lose_answers=1)
            error = await catch_error(table.transact(make_transaction("x", 0)))
            assert type(error) is Unconfirmed
            assert (await table.read_rows(["a"])).rows == (("a", "x", 1),)

    with run_platform() as address:
        run_in_reactor(check, address)


def test_exceeded_rate_limits_are_throttled():
    async def check(address: str):
        async with open_transport(address) as transport:
            table = TableClient(transport)
            await table.transact(make_transaction(1, 0))
            error = await catch_error(table.transact(make_transaction(2, 1)))
            assert isinstance(error, Throttled)
            assert error.retry_after_s > 1.0
            weights = WeightClient(transport)
            await weights.request_fetch("dossier")
            assert isinstance(
                await catch_error(weights.request_fetch("dossier")), Throttled
            )

    with run_platform("--writes-per-s", "0.01", "--weights-per-s", "0.01") as address:
        run_in_reactor(check, address)


def test_resolve_write_confirms_a_commit_whose_response_was_lost():
    async def check(address: str):
        async with open_transport(address) as transport:
            table = TableClient(transport)
            set_faults(address, lose_answers=1)
            result = await resolve_write(
                table,
                make_transaction("mine", 0),
                marker_key="a",
                clock=reactor,
                retry_policy=make_retry_policy(),
            )
            assert result == WriteResult(1, confirmed_by_conflict=True)

    with run_platform() as address:
        run_in_reactor(check, address)


def test_resolve_write_reports_the_row_of_a_conflicting_write():
    async def check(address: str):
        async with open_transport(address) as transport:
            table = TableClient(transport)
            await table.transact(make_transaction("theirs", 0))
            set_faults(address, lose_answers=1)
            error = await catch_error(
                resolve_write(
                    table,
                    make_transaction("mine", 0),
                    marker_key="a",
                    clock=reactor,
                    retry_policy=make_retry_policy(),
                )
            )
            assert isinstance(error, Conflict)
            assert error.rows == (("a", "theirs", 1),)

    with run_platform() as address:
        run_in_reactor(check, address)


def test_resolve_write_retries_through_an_outage_until_its_deadline():
    async def write(table: TableClient, timeout_s: float) -> WriteResult:
        return await resolve_write(
            table,
            make_transaction("mine", 0),
            marker_key="a",
            clock=reactor,
            retry_policy=make_retry_policy(timeout_s),
        )

    async def check(address: str):
        async with open_transport(address) as transport:
            table = TableClient(transport)
            set_faults(address, outage=True)
            assert type(await catch_error(write(table, 0.5))) is Unavailable
            reactor.callLater(0.5, reactor.callInThread, end_outage, address)
            assert (await write(table, 30.0)).version == 1

    def end_outage(address: str) -> None:
        set_faults(address, outage=False)

    with run_platform() as address:
        run_in_reactor(check, address)


def test_objects_are_readable_until_deleted():
    async def check(address: str):
        async with open_transport(address) as transport:
            objects = ObjectClient(transport)
            assert await objects.read("a/b") is None
            await objects.write("a/b", b"\x00content")
            assert await objects.read("a/b") == b"\x00content"
            await objects.delete("a/b")
            assert await objects.read("a/b") is None

    with run_platform() as address:
        run_in_reactor(check, address)


def test_instance_list_lags_and_may_be_unavailable():
    entry = {"kind": "instance", "address": "127.0.0.1:1", "data_centre": "dc-a"}

    async def check(address: str):
        async with open_transport(address) as transport:
            client = InstanceListClient(transport)
            set_faults(address, list_lag_ms=600_000)
            PlatformClient(address).register("n1", entry)
            assert (await client.read()).processes == ()
            set_faults(address, list_lag_ms=0)
            listed = await client.read()
            assert [item.name for item in listed.instances] == ["n1"]
            assert listed.backend_servers == ()
            set_faults(address, refuse_list=True)
            assert type(await catch_error(client.read())) is Unavailable

    with run_platform() as address:
        run_in_reactor(check, address)
