from __future__ import annotations

import json
import pathlib
import random
import tempfile

from ebonyhaven_standins._execution_log import ExecutionLog
from ebonyhaven_standins.engine import (
    CacheEventFeed,
    Engine,
    EngineSettings,
    LoadSampler,
    PrefixCache,
    RefusedError,
    StartRequest,
    hash_prefixes,
)
from twisted.internet.task import Clock

STEP_S = 0.01


class CollectingReader:
    """Keeps what a run writes."""

    def __init__(self):
        self.data = b""
        self.ended = False

    def write(self, data):
        self.data += data

    def end(self):
        self.ended = True

    def texts(self):
        events = [json.loads(line[6:]) for line in self._data_lines()]
        return [event["choices"][0]["text"] for event in events][:-1]

    def _data_lines(self):
        lines = self.data.decode().splitlines()
        return [line for line in lines if line.startswith("data: {")]


class Bench:
    """An engine on a test clock."""

    def __init__(self, **settings):
        folder = tempfile.mkdtemp()
        self.log_path = pathlib.Path(folder) / "log"
        self.clock = Clock()
        self.engine = Engine(
            EngineSettings(name="s1", model="m", seed=1, **settings),
            ExecutionLog(str(self.log_path), "s1"),
            self.clock,
        )

    def advance(self, seconds):
        self.clock.pump([STEP_S] * round(seconds / STEP_S))

    def start(self, run_id="r1", *, prompt="p" * 64, **fields):
        body = {"run_id": run_id, "generation": "g1", "model": "m", "prompt": prompt}
        run, offset = self.engine.start(StartRequest.from_body({**body, **fields}))
        reader = CollectingReader()
        run.attach(reader, offset)
        return run, reader

    def refusal(self, **fields):
        try:
            self.start(**fields)
        except RefusedError as refused:
            return refused.status, refused.error
        return None

    def records(self, event):
        lines = self.log_path.read_text().splitlines()
        return [r for r in map(json.loads, lines) if r["event"] == event]


def test_run_ends_after_max_tokens_with_one_origin():
    bench = Bench()
    run, reader = bench.start(max_tokens=5)
    bench.advance(1.0)
    assert reader.texts() == [f"{run.origin}:{number} " for number in range(5)]
    assert reader.ended
    assert reader.data.endswith(b"data: [DONE]\n\n")


def test_continuation_keeps_the_origin_and_decodes_only_the_rest():
    bench = Bench()
    given = ["abcdef123456:0 ", "abcdef123456:1 "]
    _, reader = bench.start(max_tokens=4, continue_from=given)
    bench.advance(1.0)
    assert reader.texts() == ["abcdef123456:2 ", "abcdef123456:3 "]
    assert sum(r["decoded_tokens"] for r in bench.records("finish")) == 2
    assert bench.records("continue")[0]["offset"] == 2


def test_start_of_a_known_run_attaches_instead_of_running_again():
    bench = Bench()
    bench.start(max_tokens=20)
    bench.advance(0.2)
    _, second = bench.start(max_tokens=20, attempt=2)
    bench.advance(1.0)
    assert len(second.texts()) == 20
    assert len(bench.records("start")) == 1
    assert len(bench.records("attach")) == 1


def test_continuation_takes_the_place_of_a_known_run_once_nobody_reads_it():
    bench = Bench()
    run, reader = bench.start(max_tokens=40)
    bench.advance(0.2)
    given = [f"{run.origin}:{number} " for number in range(20)]
    assert bench.refusal(continue_from=given) == (409, "run_attended")
    bench.engine.detach(run, reader)
    _, second = bench.start(max_tokens=40, continue_from=given)
    bench.advance(1.5)
    assert len(second.texts()) == 20
    assert bench.records("continue")[0]["offset"] == 20
    assert len(bench.records("cancel")) == 1


def test_attach_ahead_of_the_output_sends_nothing_twice():
    bench = Bench()
    run, _ = bench.start(max_tokens=10)
    ahead = CollectingReader()
    run.attach(ahead, 7)
    bench.advance(1.0)
    assert ahead.texts() == [f"{run.origin}:{number} " for number in (7, 8, 9)]


def test_other_generation_and_other_digest_are_refused():
    bench = Bench()
    bench.start(digest="d1")
    assert bench.refusal(digest="d1", generation="g2") == (409, "run_exists")
    assert bench.refusal(digest="d2") == (409, "digest_mismatch")


def test_old_fence_is_refused_only_where_it_is_checked():
    checking, ignoring = Bench(checks_fence=True), Bench()
    for bench in (checking, ignoring):
        bench.start(fence=5)
        bench.engine.cancel("r1", None)
    assert checking.refusal(fence=4) == (409, "stale_fence")
    assert ignoring.refusal(fence=4) is None


def test_refusals_that_prove_that_nothing_ran():
    bench = Bench(capacity=1, max_waiting=1)
    assert bench.refusal(model="other") == (404, "model_not_loaded")
    bench.start("r1")
    bench.start("r2")
    assert bench.refusal(run_id="r3") == (429, "full")
    bench.engine.state.leaving = True
    assert bench.refusal(run_id="r4") == (503, "leaving")


def test_batch_slows_down_as_it_grows():
    settings = EngineSettings(name="s1", model="m")
    assert settings.compute_step_duration_s(1) == 0.02
    assert settings.compute_step_duration_s(16) == 0.04
    assert (
        settings.compute_step_duration_s(1)
        < settings.compute_step_duration_s(8)
        < settings.compute_step_duration_s(16)
    )


def test_uncached_prompt_costs_prefill_and_a_cached_one_does_not():
    bench = Bench(prefill_tokens_per_s=400.0)
    prompt = "x" * 1600
    _, first = bench.start("r1", prompt=prompt, max_tokens=1)
    bench.advance(0.9)
    assert not first.ended
    bench.advance(0.3)
    assert first.ended
    _, second = bench.start("r2", prompt=prompt, max_tokens=1)
    bench.advance(0.1)
    assert second.ended
    counted = [r["prefill_tokens"] for r in bench.records("token_count")]
    assert counted == [400, 0]


def test_higher_priority_is_admitted_first():
    bench = Bench(capacity=1)
    bench.start("busy", max_tokens=5)
    _, low = bench.start("low", priority=2, max_tokens=20)
    _, high = bench.start("high", priority=0, max_tokens=5)
    bench.advance(0.4)
    assert high.ended
    assert not low.ended


def test_cancel_spares_a_run_that_a_later_attempt_took_up():
    bench = Bench()
    run, reader = bench.start(max_tokens=50, attempt=2)
    assert not bench.engine.cancel("r1", 1)
    assert bench.engine.cancel("r1", 2)
    bench.advance(1.0)
    assert reader.ended
    assert reader.data == b""
    assert len(bench.records("cancel")) == 1


def test_unattended_run_is_cancelled_and_ended_output_is_dropped():
    bench = Bench(unattended_s=2.0, keep_s=2.0)
    lonely, reader = bench.start("lonely", max_tokens=1000)
    bench.start("short", max_tokens=1)
    bench.engine.detach(lonely, reader)
    bench.advance(1.5)
    assert bench.engine.find("lonely", "g1", 0) is lonely
    bench.advance(3.0)
    for run_id in ("lonely", "short"):
        try:
            bench.engine.find(run_id, "g1", 0)
        except RefusedError as refused:
            assert refused.error == "run_unknown"
        else:
            raise AssertionError(f"{run_id} is still known")


def test_cache_events_come_late_and_with_gaps():
    clock = Clock()
    feed = CacheEventFeed(
        delay_s=1.0, loss_share=0.3, generator=random.Random(1), clock=clock.seconds
    )
    cache = PrefixCache(2, feed)
    cache.store(hash_prefixes("a" * 64 * 40))
    assert feed.list_since(0) == ([], 0)
    clock.advance(1.0)
    events, following = feed.list_since(0)
    numbers = [event.sequence for event in events]
    assert len(numbers) < numbers[-1] == following - 1
    assert {event.kind for event in events} == {"stored", "evicted"}
    assert len(cache) == 2


def test_evicted_blocks_are_the_ends_of_prefixes():
    feed = CacheEventFeed(
        delay_s=0.0, loss_share=0.0, generator=random.Random(1), clock=Clock().seconds
    )
    cache = PrefixCache(2, feed)
    prefixes = hash_prefixes("a" * 64 * 3)
    cache.store(prefixes)
    assert cache.count_cached(prefixes) == 2


def test_load_report_lags():
    bench = Bench(load_lag_s=1.0)
    load = LoadSampler(bench.engine, bench.clock)
    bench.start(max_tokens=1000)
    bench.advance(0.5)
    assert load.report()["running"] == 0
    assert load.report()["measured_ms_ago"] >= 490
    bench.advance(0.6)
    assert load.report()["running"] == 1


def test_orders_take_time_and_old_fences_are_refused():
    bench = Bench(checks_fence=True, order_s=0.5)
    order = {"order_id": "o1", "kind": "load", "target": "model", "name": "m2"}
    bench.engine.state.accept_order({**order, "fence": 3})
    assert bench.refusal(model="m2") == (404, "model_not_loaded")
    bench.advance(0.6)
    assert bench.refusal(model="m2") is None
    assert bench.engine.state.fence == 3
    try:
        bench.engine.state.accept_order({**order, "order_id": "o2", "fence": 2})
    except Exception as error:
        assert type(error).__name__ == "StaleFenceError"
    else:
        raise AssertionError("an old fence was accepted")
