from __future__ import annotations

from collections import Counter

from tests.decisions.scheduling import (
    build_fair_scheduler,
    build_item,
    report_local_load,
)


def submit_and_dispatch(scheduler, prefix, count, class_name, now):
    for index in range(count):
        item = build_item(f"{prefix}{index}", class_name=class_name, arrival=now)
        scheduler.submit(item, now)
    return scheduler.collect_decisions(now).dispatches


def count_by_server(dispatches):
    return Counter(each.choice.server.name for each in dispatches)


def read_reservation(scheduler, now):
    dispatcher = scheduler.dispatcher
    return dispatcher.read_reservation("dossier", 1, now)


def test_analyses_avoid_servers_dedicated_to_look_ups():
    scheduler = build_fair_scheduler(servers=20, capacity=16)
    submit_and_dispatch(scheduler, "l", 8, "look-up", 0.0)
    reservation = read_reservation(scheduler, 10.0)
    assert 1 <= len(reservation.servers) <= 5
    analyses = count_by_server(
        submit_and_dispatch(scheduler, "a", 600, "analysis", 10.0)
    )
    assert not reservation.server_names & analyses.keys()
    assert sum(analyses.values()) >= (20 - len(reservation.servers)) * 14
    look_ups = count_by_server(submit_and_dispatch(scheduler, "m", 4, "look-up", 10.1))
    assert look_ups.keys() <= reservation.server_names


def test_dedicated_servers_are_released_without_demand():
    scheduler = build_fair_scheduler(servers=20, capacity=16)
    for dispatch in submit_and_dispatch(scheduler, "l", 8, "look-up", 0.0):
        scheduler.dispatcher.record_end(dispatch.item.item_id, 1.0)
    assert read_reservation(scheduler, 200.0).servers == ()


def test_lost_dedicated_server_is_replaced():
    scheduler = build_fair_scheduler(servers=20, capacity=16)
    submit_and_dispatch(scheduler, "l", 8, "look-up", 0.0)
    reservation = read_reservation(scheduler, 5.0)
    reservation.servers[0].record_failure(5.0)
    after = read_reservation(scheduler, 5.5)
    assert reservation.servers[0] not in after.servers
    assert len(after.servers) == len(reservation.servers)


def test_few_servers_reserve_slots_instead_of_servers():
    scheduler = build_fair_scheduler(servers=3, capacity=8)
    analyses = submit_and_dispatch(scheduler, "a", 100, "analysis", 0.0)
    assert max(count_by_server(analyses).values()) <= 6
    report_local_load(scheduler, 8, now=0.1)
    assert len(submit_and_dispatch(scheduler, "l", 3, "look-up", 0.2)) == 3
