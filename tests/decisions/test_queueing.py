from __future__ import annotations

import random

from ebonyhaven_decisions import FairQueue, FifoQueue, UsageLedger
from hypothesis import given
from hypothesis import strategies as st

from tests.decisions.scheduling import POLICIES, build_item

ANALYSIS_A = ("analysis", "a")


def build_queue():
    ledger = UsageLedger(0.0)
    return FairQueue(POLICIES, ledger), ledger


def serve_next(queue, ledger, now, cost=100.0):
    key = queue.list_subqueues()[0]
    item = queue.peek(key)
    queue.remove(item.item_id)
    ledger.charge((item.class_name, item.workspace), cost, now)
    return item


def compute_jain_index(values):
    return sum(values) ** 2 / (len(values) * sum(value**2 for value in values))


def test_backlogged_workspaces_get_equal_service_for_any_request_size():
    queue, ledger = build_queue()
    sizes = {"a": 10.0, "b": 100.0, "c": 40.0}
    for workspace, count in (("a", 2000), ("b", 200), ("c", 500)):
        for index in range(count):
            item = build_item(f"{workspace}{index}", workspace=workspace)
            queue.push(item, sizes[workspace], 0.0)
    served = dict.fromkeys(sizes, 0.0)
    for step in range(300):
        item = queue.peek(queue.list_subqueues()[0])
        served[item.workspace] += sizes[item.workspace]
        serve_next(queue, ledger, step * 0.01, sizes[item.workspace])
    assert compute_jain_index(list(served.values())) >= 0.98


def test_idle_share_is_used_until_its_workspace_submits():
    queue, ledger = build_queue()
    for index in range(50):
        queue.push(build_item(f"a{index}", workspace="a"), 100.0, 0.0)
    for step in range(20):
        assert serve_next(queue, ledger, step * 0.1).workspace == "a"
    queue.push(build_item("b0", workspace="b"), 100.0, 2.0)
    assert serve_next(queue, ledger, 2.0).workspace == "b"


def test_idle_workspace_accumulates_no_credit():
    queue, ledger = build_queue()
    ledger.charge(ANALYSIS_A, 10000.0, 0.0)
    later = 300.0
    for index in range(20):
        queue.push(build_item(f"a{index}", workspace="a"), 100.0, later)
        queue.push(build_item(f"b{index}", workspace="b"), 100.0, later)
    served = [serve_next(queue, ledger, later).workspace for _ in range(10)]
    assert served.count("a") == 5


def test_urgent_class_is_served_first_up_to_its_share():
    queue, ledger = build_queue()
    for index in range(20):
        queue.push(build_item(f"a{index}"), 100.0, 0.0)
        queue.push(build_item(f"l{index}", class_name="look-up"), 100.0, 0.0)
    assert queue.list_subqueues()[0].class_name == "look-up"
    ledger.charge(("look-up", "studio-a"), 1000.0, 0.0)
    assert queue.list_subqueues()[0].class_name == "analysis"


def test_order_is_preserved_by_a_rebase():
    queue, ledger = build_queue()
    for index in range(4):
        queue.push(build_item(f"a{index}", workspace="a"), 100.0, 0.0)
        queue.push(build_item(f"b{index}", workspace="b"), 100.0, 0.0)
    ledger.charge(ANALYSIS_A, 50.0, 700.0)
    assert queue.peek(queue.list_subqueues()[0]).workspace == "b"
    ledger.charge(("analysis", "b"), 100.0, 900.0)
    assert ledger.rebases == 1
    assert queue.peek(queue.list_subqueues()[0]).workspace == "a"


def test_consumption_at_other_instances_counts():
    queue, ledger = build_queue()
    other = UsageLedger(50.0)
    other.charge(ANALYSIS_A, 1000.0, 100.0)
    ledger.merge_digest("n2", other.build_digest({}, 101.0, random.Random(1)), 101.0)
    queue.push(build_item("a", workspace="a"), 100.0, 101.0)
    queue.push(build_item("b", workspace="b"), 100.0, 101.0)
    assert serve_next(queue, ledger, 101.0).workspace == "b"


def test_instance_yields_to_a_less_served_workspace_of_a_peer():
    queue, ledger = build_queue()
    ledger.charge(ANALYSIS_A, 2000.0, 0.0)
    queue.push(build_item("a", workspace="a"), 100.0, 0.0)
    key = queue.list_subqueues()[0]
    assert not queue.must_yield(key, 0.0)
    other = UsageLedger(0.0)
    digest = other.build_digest({("analysis", "b"): 500.0}, 0.0, random.Random(1))
    ledger.merge_digest("n2", digest, 0.0)
    assert queue.must_yield(key, 0.0)
    ledger.drop_silent_peers(30.0)
    assert not queue.must_yield(key, 30.0)


def test_digest_is_bounded_and_lists_backlogged_workspaces_first():
    ledger = UsageLedger(0.0)
    for index in range(920):
        ledger.charge(("analysis", f"w{index}"), 100.0 + index, 0.0)
    digest = ledger.build_digest({("analysis", "w3"): 5.0}, 0.0, random.Random(1))
    assert len(digest) == 16
    assert digest[0].workspace == "w3"


def test_usage_of_sampled_peers_is_scaled_to_all_instances():
    ledger = UsageLedger(0.0)
    ledger.instances = 391
    for peer in range(100):
        other = UsageLedger(0.0)
        other.charge(ANALYSIS_A, 10.0, 0.0)
        digest = other.build_digest({}, 0.0, random.Random(peer))
        ledger.merge_digest(f"n{peer}", digest, 0.0)
    assert abs(ledger.read_tokens(ANALYSIS_A, 0.0) - 3900.0) < 1.0
    assert len(ledger) <= 32 * 16


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["push", "serve", "remove"]),
            st.integers(0, 4),
            st.sampled_from(["look-up", "analysis"]),
        ),
        max_size=80,
    )
)
def test_each_request_leaves_the_queue_once(events):
    queue, ledger = build_queue()
    waiting = []
    for now, (kind, number, class_name) in enumerate(events):
        if kind == "push":
            item = build_item(now, workspace=f"w{number}", class_name=class_name)
            queue.push(item, 10.0 + number, now)
            waiting.append(item)
        elif kind == "serve" and waiting:
            waiting.remove(serve_next(queue, ledger, now))
        elif kind == "remove" and waiting:
            item = waiting.pop(number % len(waiting))
            assert queue.remove(item.item_id) is item
            assert queue.remove(item.item_id) is None
        assert len(queue) == len(waiting)
    assert sum(queue.sum_queued_tokens().values()) >= 10.0 * len(waiting) - 1e-6
    while waiting:
        waiting.remove(serve_next(queue, ledger, len(events)))
    assert queue.list_subqueues() == []


def test_fifo_serves_in_order_of_arrival():
    queue = FifoQueue()
    for index in range(5):
        queue.push(build_item(index, workspace=f"w{index % 2}"), 1.0, index)
    key = queue.list_subqueues()[0]
    queue.remove("0")
    assert queue.peek(key).item_id == "1"
    assert queue.estimate_tokens_ahead(build_item(9), 1.0, 9.0) == 4.0
