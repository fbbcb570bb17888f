from __future__ import annotations

import io
import json

from ebonyhaven_adapter._http_calls import HttpResponse
from ebonyhaven_adapter._rollouts import StoreRolloutRecords
from ebonyhaven_adapter._store import StoreClient
from ebonyhaven_decisions.forwarding.rollouts import RolloutState
from ebonyhaven_node.forwarding.interfaces import RecordStoreError, StageConflict
from twisted.web.test.requesthelper import DummyRequest

from tests.decisions.rollout_views import make_stage
from tests.platform_adapter.fed_instances import start_fed
from tests.platform_adapter.state_sources import (
    CONFIGURATION,
    make_rows,
    start_with_complete_state,
)
from tests.platform_adapter.store_stand_in import StoreStandIn
from tests.platform_adapter.test_stream_records import run

KEY = "rollout/plain"


class DirectClient(StoreClient):
    """Calls a stand-in without a network."""

    def __init__(self, store):
        super().__init__(pool=None, reactor=None, address="store")
        self.store = store
        self.bodies = []

    async def _call(self, step, target, timeout_s, body=b""):
        self.bodies.append(body)
        path, _, query = target.decode().partition("?")
        request = DummyRequest([])
        request.path = path.encode()
        request.args = {
            each.partition("=")[0].encode(): [each.partition("=")[2].encode()]
            for each in query.split("&")
        }
        request.content = io.BytesIO(body)
        answer = self.store.render(request)
        return HttpResponse(request.responseCode or 200, [], answer)


def make_order(**changes):
    return {"service": "plain", "to": "v2", "durationS": 12, **changes}


def start_records():
    client = DirectClient(StoreStandIn())
    return client, StoreRolloutRecords(client)


def read_status(client):
    status = client.store.rows.get(("status", KEY))
    return status and status[0]


def write(records, stage, row_version, *, tells_operators=True):
    return run(
        records.write(stage, row_version=row_version, tells_operators=tells_operators)
    )


def test_stage_and_status_are_written_in_one_transaction():
    client, records = start_records()
    stage = make_stage(state=RolloutState.REVERTED, share=0.0)
    version = write(records, stage, 0)
    (stored,) = run(records.read())
    assert stored.stage == stage
    assert version >= stored.row_version
    (body, _) = client.bodies
    rows = json.loads(body)["write"]
    assert [(each["tableName"], each["key"]) for each in rows] == [
        ("rollouts", "plain"),
        ("status", KEY),
    ]


def test_renewal_leaves_the_status_alone():
    client, records = start_records()
    write(records, make_stage(), 0, tells_operators=False)
    assert read_status(client) is None


def test_write_under_a_condition_that_no_longer_holds_tells_the_present_stage():
    client, records = start_records()
    write(records, make_stage(decider="n2", number=4), 0)
    status = read_status(client)
    try:
        write(records, make_stage(state=RolloutState.COMPLETED), 0)
    except StageConflict as conflict:
        assert conflict.current.stage.number == 4
        assert conflict.row_version == conflict.current.row_version > 0
    else:
        raise AssertionError("no conflict")
    assert read_status(client) == status


def test_row_that_is_gone_or_odd_can_be_written_again():
    client, records = start_records()
    for content, expected in ((None, 0), (b"7", client.store.version + 1)):
        if content is not None:
            client.store.put_bytes("rollouts", "plain", content)
        try:
            write(records, make_stage(), 3)
        except StageConflict as conflict:
            assert (conflict.current, conflict.row_version) == (None, expected)
        else:
            raise AssertionError("no conflict")


def test_store_that_is_down_is_reported():
    client, records = start_records()
    client.store.is_down = True
    for call in (lambda: write(records, make_stage(), 0), lambda: run(records.read())):
        try:
            call()
        except StageConflict as conflict:
            raise AssertionError("taken for a conflict") from conflict
        except RecordStoreError:
            continue
        raise AssertionError("no error")


def test_order_of_the_operator_is_read_with_the_polls_that_exist():
    _, store, state, _ = start_with_complete_state()
    store.push("op", make_rows(17, **{KEY: make_order()}))
    order = state.rollouts.find_order("plain")
    assert (order.version, order.duration_s, order.order_id) == ("v2", 12, "0.17")
    assert {call[1] for call in store.calls} == {"op", "servers"}


def test_order_that_was_deleted_is_taken_back():
    clock, store, state, _ = start_with_complete_state()
    store.push("op", make_rows(17, **{KEY: make_order()}))
    clock.advance(1.0)
    store.push("op", make_rows(18, **{KEY: None}))
    assert state.rollouts.is_withdrawn("plain")


def test_unreadable_orders_are_counted_once_and_ignored():
    clock, store, state, _ = start_with_complete_state()
    store.push("op", make_rows(17, **{KEY: make_order()}))
    odd = (
        7,
        {},
        make_order(service="other"),
        make_order(to=3),
        make_order(durationS=0),
        make_order(durationS="soon"),
        make_order(durationS=1e400),
    )
    for number, document in enumerate(odd, 1):
        for version in (20 + number, 20 + number):
            clock.advance(1.0)
            store.push("op", make_rows(version, **{KEY: document}))
        assert state.rollouts.unreadable_orders == number
    assert state.rollouts.find_order("plain").version == "v2"
    assert not state.rollouts.is_withdrawn("plain")
    assert state.configuration.version == CONFIGURATION["version"]


def test_reader_passes_orders_on_apart_from_the_configuration():
    # Builds before refuse messages of the configuration that hold more.
    feed = start_fed()
    feed.group.instances = 195
    news = []
    feed.state.rollouts.observe(news.append)
    feed.store.push("op", make_rows(17, **{KEY: make_order()}))
    assert news == [True]
    assert feed.group.states == []
