"""Which versions get requests at each stage of a roll-out."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import SendObstacle
from ebonyhaven_decisions.forwarding.rollouts import RolloutState

from tests.decisions.rollouts import (
    NEW,
    OLD,
    ORDER,
    ORDERED_AT_S,
    SERVICE,
    RolloutClock,
    make_directory,
    make_stage,
    put_server,
    replay_exposure,
)

INSTANCES = 70
SEEDS = 20


def list_versions(directory, now=0.0, version=None):
    usable = directory.list_usable(SERVICE, now, version=version)
    return {each.software_version for each in usable}


def fill_credit(directory, requests=30):
    for _ in range(requests):
        directory.rollouts.record_request(SERVICE)


def find_new(directory):
    return next(each for each in directory if each.software_version == NEW)


def test_share_holds_over_instances_that_see_few_requests_each():
    for seed in range(SEEDS):
        requests, exposed = replay_exposure(
            seed, instances=INSTANCES, restart_share=0.0
        )
        assert 0.05 * requests < exposed <= 0.1 * requests + 50


def test_share_holds_while_instances_start_again_and_again():
    for seed in range(SEEDS):
        requests, exposed = replay_exposure(
            seed, instances=INSTANCES, restart_share=0.3
        )
        assert 0.05 * requests < exposed <= 0.1 * requests + 50


def test_version_with_an_order_gets_nothing_before_a_stage_is_known():
    directory = make_directory()
    directory.rollouts.apply_order(ORDER, 0.0)
    fill_credit(directory)
    assert list_versions(directory) == {OLD}
    assert directory.list_ready(SERVICE, 0.0) == directory.list_usable(SERVICE, 0.0)


def test_version_gets_nothing_after_its_stage_expired():
    clock = RolloutClock()
    directory = make_directory(clock=clock)
    directory.rollouts.apply_stage(make_stage(0.5), 0.0)
    fill_credit(directory)
    assert list_versions(directory) == {OLD, NEW}
    clock.seconds = ORDERED_AT_S + 100.0
    assert list_versions(directory) == {OLD}


def test_version_gets_nothing_while_the_time_of_the_store_is_unknown():
    clock = RolloutClock()
    directory = make_directory(clock=clock)
    directory.rollouts.apply_stage(make_stage(1.0), 0.0)
    clock.seconds = None
    assert list_versions(directory) == {OLD}


def test_stage_that_expires_while_a_connection_is_made_keeps_the_request_back():
    clock = RolloutClock()
    directory = make_directory(clock=clock)
    directory.rollouts.apply_stage(make_stage(0.5), 0.0)
    fill_credit(directory)
    backend = find_new(directory)
    assert directory.rollouts.acquire(backend, 0.0)
    assert directory.find_obstacle(backend, 0.0) is None
    clock.seconds = None
    assert directory.find_obstacle(backend, 0.0) is SendObstacle.ROLLOUT


def test_request_that_was_not_sent_gives_its_credit_back():
    directory = make_directory()
    directory.rollouts.apply_stage(make_stage(0.1), 0.0)
    fill_credit(directory, 9)
    backend = find_new(directory)
    assert directory.rollouts.acquire(backend, 0.0)
    assert not directory.rollouts.acquire(backend, 0.0)
    directory.rollouts.refund(backend)
    assert directory.rollouts.acquire(backend, 0.0)


def test_new_servers_that_come_late_get_no_burst():
    directory = make_directory(versions=(OLD, OLD))
    directory.rollouts.apply_stage(make_stage(0.1), 0.0)
    fill_credit(directory, 500)
    backend = put_server(directory, 7, NEW)
    sent = sum(directory.rollouts.acquire(backend, 0.0) for _ in range(10))
    assert sent <= 2


def test_new_work_goes_to_the_new_version_only_in_the_hand_over():
    directory = make_directory()
    directory.rollouts.apply_stage(make_stage(1.0), 0.0)
    assert list_versions(directory) == {NEW}


def test_stream_goes_on_at_the_old_version_in_the_hand_over():
    directory = make_directory()
    directory.rollouts.apply_stage(make_stage(1.0), 0.0)
    assert list_versions(directory, version=OLD) == {OLD}


def test_old_servers_get_nothing_while_the_new_ones_are_down_in_the_hand_over():
    directory = make_directory(versions=(OLD, OLD))
    directory.rollouts.apply_stage(make_stage(1.0), 0.0)
    assert list_versions(directory) == set()


def test_old_servers_get_nothing_after_the_completion():
    directory = make_directory()
    directory.rollouts.apply_stage(
        make_stage(1.0, RolloutState.COMPLETED, valid_until_s=ORDERED_AT_S), 0.0
    )
    assert list_versions(directory) == {NEW}
    assert list_versions(directory, version=OLD) == set()


def test_plain_release_after_a_completed_roll_out_is_served():
    clock = RolloutClock()
    directory = make_directory(clock=clock)
    directory.rollouts.apply_stage(make_stage(1.0, RolloutState.COMPLETED), 0.0)
    put_server(directory, 8, "v3")
    assert list_versions(directory) == {NEW, "v3"}
    clock.seconds += 60.0  # the same software as before may come back
    assert list_versions(directory) == {OLD, NEW, "v3"}


def test_reverted_version_gets_nothing_not_even_its_streams():
    directory = make_directory()
    stage = make_stage(0.0, RolloutState.REVERTED)
    directory.rollouts.apply_stage(stage, 0.0)
    assert list_versions(directory) == {OLD}
    assert list_versions(directory, version=NEW) == set()
    assert not directory.versions.may_serve(SERVICE, NEW, 0.0)


def test_reverted_roll_out_is_not_taken_up_by_a_stage_that_comes_late():
    directory = make_directory()
    directory.rollouts.apply_stage(make_stage(0.0, RolloutState.REVERTED), 0.0)
    directory.rollouts.apply_stage(make_stage(1.0), 0.0)
    assert list_versions(directory) == {OLD}


def test_stage_of_an_earlier_order_is_ignored():
    directory = make_directory()
    directory.rollouts.apply_order(ORDER, 0.0)
    earlier = ORDER._replace(order_id="o-0", ordered_at_s=ORDERED_AT_S - 5.0)
    directory.rollouts.apply_stage(make_stage(1.0, order=earlier), 0.0)
    assert list_versions(directory) == {OLD}


def test_version_of_a_replaced_order_stays_shut_out():
    directory = make_directory(versions=(OLD, NEW, "v3"))
    directory.rollouts.apply_stage(make_stage(0.5), 0.0)
    second = ORDER._replace(order_id="o-2", version="v3", ordered_at_s=ORDERED_AT_S + 2)
    directory.rollouts.apply_stage(make_stage(0.5, order=second), 0.0)
    fill_credit(directory)
    assert list_versions(directory) == {OLD, "v3"}


def test_version_ordered_again_after_it_was_reverted_is_tried_again():
    directory = make_directory()
    directory.rollouts.apply_stage(make_stage(0.0, RolloutState.REVERTED), 0.0)
    second = ORDER._replace(order_id="o-2", ordered_at_s=ORDERED_AT_S + 20)
    directory.rollouts.apply_stage(make_stage(0.5, order=second), 0.0)
    fill_credit(directory)
    assert list_versions(directory) == {OLD, NEW}


def test_stream_that_goes_on_at_the_new_version_takes_credit():
    directory = make_directory()
    directory.rollouts.apply_stage(make_stage(0.1), 0.0)
    backend = find_new(directory)
    assert directory.rollouts.acquire(backend, 0.0, is_bound=True)
    fill_credit(directory, 8)
    assert list_versions(directory) == {OLD}


def test_versions_without_an_order_are_served_as_before():
    directory = make_directory()
    assert list_versions(directory) == {OLD, NEW}


def test_version_whose_order_was_not_read_yet_is_held_back():
    directory = make_directory(versions=(OLD,))
    directory.rollouts.unordered.hold_s = 2.0
    directory.rollouts.unordered.record_orders_read()
    old = put_server(directory, 1, OLD, started_ms=1)
    put_server(directory, 2, NEW, started_ms=5000, now=10.0)
    assert list_versions(directory, 11.9) == {OLD}
    assert list_versions(directory, 12.1) == {OLD, NEW}
    old.suspect_until = 11.0
    directory.remove("s-0", 10.0)
    assert list_versions(directory, 10.5) == {NEW}
