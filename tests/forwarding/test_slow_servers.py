"""Slow servers: alive, but silent for longer than a working one."""

from __future__ import annotations

import random

from ebonyhaven_decisions.forwarding import (
    BackendDirectory,
    TokenDemand,
    choose_memory_share,
    rank_engines,
)
from ebonyhaven_decisions.forwarding._backends import SLOW_S

from tests.forwarding.harness import (
    STREAM_END,
    chunk,
    decode_headers,
    event,
    make_entry,
    stream_head,
)
from tests.forwarding.streaming import open_stream, read_body, start_stream

DEMAND = TokenDemand(8000, 700)
MEMORY_TOKENS = 88000


def find_backend(harness, server):
    return next(
        each for each in harness.state.backends if each.entry.address == server.address
    )


def test_prompt_stays_on_a_slow_server_that_another_stream_found_silent():
    # A third of the engines is four times slower during a burst. Guards against
    # abandoning half-read prompts there, which were read again elsewhere.
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    harness.advance(0.5)
    backend = find_backend(harness, server)
    harness.gateway._context.suspicion_notifier.notify(backend)
    harness.advance(1.0)
    assert not server.is_closed
    assert harness.count_waiting() == 0
    server.receive(stream_head("r1") + chunk(event(1)) + STREAM_END)
    assert read_body(caller) == event(1)


def test_prompt_leaves_a_lost_server_that_another_stream_found_silent():
    harness, _ = start_stream()
    server, _, _ = harness.take_request()
    harness.advance(0.5)
    harness.silent.add(server.address)
    harness.gateway._context.suspicion_notifier.notify(find_backend(harness, server))
    harness.advance(0.3)
    assert server.is_closed
    assert harness.count_waiting() == 1


def test_stream_leaves_a_slow_server_by_its_copy_without_reporting_it_lost():
    harness, _ = start_stream()
    server, headers = open_stream(harness, 1, 2)
    harness.advance(0.4)
    resumed, head, _ = harness.take_request()
    assert decode_headers(head)["kv-from"].startswith(resumed.address)
    assert headers["x-kv-backup"] == resumed.address
    backend = find_backend(harness, server)
    now = harness.reactor.seconds()
    assert now < backend.slow_until
    assert now >= backend.suspect_until
    directory = harness.state.backends
    assert not directory.data_centres.is_suspect_data_centre(
        backend.entry.data_centre, now
    )


def test_silent_server_that_accepts_no_connection_is_reported_lost():
    harness, _ = start_stream()
    server, _ = open_stream(harness, 1, 2)
    harness.silent.add(server.address)
    harness.advance(0.4)
    backend = find_backend(harness, server)
    assert harness.reactor.seconds() < backend.suspect_until
    assert harness.count_waiting() == 1


def test_slow_server_gets_new_prompts_only_if_the_others_are_full():
    directory = BackendDirectory()
    for number in range(3):
        directory.put(make_entry(f"e-{number}", "engines"), 10.0)
    slow = directory.find("e-0")
    slow.record_slow(10.0)
    options = {
        "demand": DEMAND,
        "memory_tokens": MEMORY_TOKENS,
        "peers": {},
        "rng": random.Random(1),
    }
    engines = directory.list_usable("engines", 10.0)
    assert rank_engines(engines, now=10.1, **options)[0] is not slow
    for each in engines:
        if each is not slow:
            each.run_tokens = MEMORY_TOKENS
    assert rank_engines(engines, now=10.1, **options)[0] is slow
    slow.run_tokens = 8000
    for each in engines:
        if each is not slow:
            each.run_tokens = 16000
    assert rank_engines(engines, now=10.1, **options)[0] is not slow
    assert rank_engines(engines, now=10.1 + SLOW_S, **options)[0] is slow


def test_late_prompt_leaves_memory_to_those_that_can_meet_their_target():
    directory = BackendDirectory()
    engine = directory.put(make_entry("e-0", "engines"), 10.0)
    engine.run_tokens = int(0.75 * MEMORY_TOKENS)
    options = {
        "demand": DEMAND,
        "memory_tokens": MEMORY_TOKENS,
        "peers": {},
        "rng": random.Random(1),
    }
    for waited_s, expected in ((4.0, [engine]), (5.0, [])):
        share = choose_memory_share(waited_s=waited_s, target_s=4.5)
        ranked = rank_engines([engine], memory_share=share, **options)
        assert ranked == expected
