"""Whether an instance reaches any server."""

from __future__ import annotations

import random

from ebonyhaven_decisions.forwarding import (
    Backend,
    BackendEntry,
    BackendState,
    ServerContact,
    choose_checked_servers,
)


def make_backend(number, service, data_centre, state=BackendState.READY):
    entry = BackendEntry(
        server_id=f"s-{number}",
        started_ms=1,
        service=service,
        address=f"10.0.0.{number}:80",
        data_centre=data_centre,
        slots=6,
        state=state,
    )
    return Backend(entry)


def test_data_of_another_server_shows_that_one_server_was_lost():
    contact = ServerContact()
    contact.record_failed("a", 10.0)
    assert contact.is_check_due(10.03)
    contact.record_received("b", 10.01)
    assert not contact.is_check_due(10.03)


def test_data_of_a_server_that_fails_shows_nothing():
    contact = ServerContact()
    contact.record_failed("a", 10.0)
    contact.record_received("a", 10.01)
    assert contact.is_check_due(10.03)


def test_open_connections_do_not_hide_that_no_new_one_is_accepted():
    contact = ServerContact()
    for address in ("a", "b", "c"):
        contact.record_failed(address, 10.0)
    contact.record_received("d", 10.01)
    assert contact.is_check_due(10.03)


def test_new_connection_shows_contact_for_some_time():
    contact = ServerContact()
    contact.record_failed("a", 10.0)
    contact.record_connected(10.01)
    assert not contact.is_check_due(10.02)
    contact.record_failed("a", 10.1)
    assert not contact.is_check_due(10.15)
    assert contact.is_check_due(10.5)


def test_server_that_accepts_shows_contact_though_another_one_answers_nothing():
    # Guards against a check that ends later than an accepted connection counts.
    contact = ServerContact()
    contact.record_failed("a", 10.0)
    contact.begin_check(10.03)
    contact.record_connected(10.032)
    contact.record_failed("b", 10.28)
    assert not contact.end_check(10.28)
    assert not contact.is_lost


def test_server_that_accepted_before_a_check_does_not_hide_a_cut():
    contact = ServerContact()
    contact.record_connected(10.0)
    contact.record_failed("a", 10.3)
    contact.begin_check(10.33)
    contact.record_failed("b", 10.58)
    assert contact.end_check(10.58)
    assert contact.is_lost


def test_contact_is_lost_until_a_server_accepts_a_connection():
    contact = ServerContact()
    contact.record_failed("a", 10.0)
    contact.begin_check(10.03)
    assert contact.end_check(10.28)
    assert contact.is_lost
    assert not contact.is_check_due(20.0)
    contact.record_connected(20.0)
    assert not contact.is_lost


def test_checked_servers_are_of_different_data_centres_and_services():
    backends = [
        make_backend(number, "engines", f"dc-{number % 3}") for number in (1, 2, 3)
    ]
    backends += [make_backend(10 + number, "engines", "dc-0") for number in range(20)]
    backends += [make_backend(40, "plain", "dc-0")]
    for seed in range(10):
        chosen = choose_checked_servers(
            backends, excluded="10.0.0.3:80", rng=random.Random(seed)
        )
        assert len(chosen) == 4
        assert {each.entry.service for each in chosen} == {"engines", "plain"}
        assert {each.entry.data_centre for each in chosen} == {"dc-0", "dc-1", "dc-2"}
        assert "10.0.0.3:80" not in {each.entry.address for each in chosen}


def test_the_only_server_is_checked_itself():
    backends = [make_backend(1, "plain", "dc-0")]
    rng = random.Random(1)
    assert choose_checked_servers(backends, excluded="10.0.0.1:80", rng=rng) == backends
    leaving = [make_backend(1, "plain", "dc-0", BackendState.LEAVING)]
    assert not choose_checked_servers(leaving, excluded=None, rng=rng)


def test_lost_contact_is_confirmed_by_another_round_of_probes():
    contact = ServerContact()
    contact.record_failed("a", 10.0)
    contact.begin_check(10.03)
    assert contact.end_check(10.28)
    assert not contact.is_confirmed_lost
    contact.record_retry_failed()
    assert contact.is_confirmed_lost
    contact.record_connected(11.0)
    contact.record_retry_failed()  # of probes that had begun before
    assert not contact.is_confirmed_lost
