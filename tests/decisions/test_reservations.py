from __future__ import annotations

from collections import Counter

from tests.decisions.scheduling import build_fair_scheduler, build_item, report_idle


def send(scheduler, prefix, count, class_name, now):
    for index in range(count):
        item = build_item(f"{prefix}{index}", class_name=class_name, arrival=now)
        scheduler.submit(item, now)
    return scheduler.next_dispatches(now).dispatches


def name_servers(dispatches):
    return Counter(each.choice.server.name for each in dispatches)


def read_reservation(scheduler, now):
    dispatcher = scheduler.dispatcher
    return dispatcher.read_reservation("dossier", 1, now)


def test_analyses_keep_off_servers_set_apart_for_look_ups():
    scheduler = build_fair_scheduler(servers=20, capacity=16)
    send(scheduler, "l", 8, "look-up", 0.0)
    kept = read_reservation(scheduler, 10.0)
    assert 1 <= len(kept.servers) <= 5
    analyses = name_servers(send(scheduler, "a", 600, "analysis", 10.0))
    assert not kept.names & analyses.keys()
    assert sum(analyses.values()) >= (20 - len(kept.servers)) * 14
    look_ups = name_servers(send(scheduler, "m", 4, "look-up", 10.1))
    assert look_ups.keys() <= kept.names


def test_servers_set_apart_are_given_back_without_demand():
    scheduler = build_fair_scheduler(servers=20, capacity=16)
    for dispatch in send(scheduler, "l", 8, "look-up", 0.0):
        scheduler.dispatcher.record_end(dispatch.item.item_id, 1.0)
    assert read_reservation(scheduler, 200.0).servers == ()


def test_lost_server_set_apart_is_replaced():
    scheduler = build_fair_scheduler(servers=20, capacity=16)
    send(scheduler, "l", 8, "look-up", 0.0)
    kept = read_reservation(scheduler, 5.0)
    kept.servers[0].record_failure(5.0)
    after = read_reservation(scheduler, 5.5)
    assert kept.servers[0] not in after.servers
    assert len(after.servers) == len(kept.servers)


def test_few_servers_keep_slots_rather_than_servers():
    scheduler = build_fair_scheduler(servers=3, capacity=8)
    analyses = send(scheduler, "a", 100, "analysis", 0.0)
    assert max(name_servers(analyses).values()) <= 6
    report_idle(scheduler, 8, now=0.1)
    assert len(send(scheduler, "l", 3, "look-up", 0.2)) == 3
