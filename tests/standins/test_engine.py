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

CLOCK_STEP_S = 0.01


class RecordingReader:
    """Reader that records the output of a run."""

    def __init__(self):
        self.data = b""
        self.ended = False

    def write(self, data):
        self.data += data

    def end(self):
        self.ended = True

    def list_texts(self):
        events = [json.loads(line[6:]) for line in self._data_lines()]
        return [event["choices"][0]["text"] for event in events][:-1]

    def _data_lines(self):
        lines = self.data.decode().splitlines()
        return [line for line in lines if line.startswith("data: {")]


class EngineHarness:
    """Engine on a simulated clock, with access to its execution log."""

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
        self.clock.pump([CLOCK_STEP_S] * round(seconds / CLOCK_STEP_S))

    def start(self, run_id="r1", *, prompt="p" * 64, **fields):
        body = {"run_id": run_id, "generation": "g1", "model": "m", "prompt": prompt}
        run, offset = self.engine.start(StartRequest.from_body({**body, **fields}))
        reader = RecordingReader()
        run.attach(reader, offset)
        return run, reader

    def try_start(self, **fields):
        """Start a run; return the status and error of a refusal, None otherwise."""
        try:
            self.start(**fields)
        except RefusedError as refused:
            return refused.status, refused.error
        return None

    def read_records(self, event):
        lines = self.log_path.read_text().splitlines()
        return [r for r in map(json.loads, lines) if r["event"] == event]


def test_run_ends_after_max_tokens_with_one_origin():
    harness = EngineHarness()
    run, reader = harness.start(max_tokens=5)
    harness.advance(1.0)
    assert reader.list_texts() == [f"{run.origin}:{number} " for number in range(5)]
    assert reader.ended
    assert reader.data.endswith(b"data: [DONE]\n\n")


def test_continuation_keeps_origin_and_decodes_only_new_tokens():
    harness = EngineHarness()
    prior_texts = ["abcdef123456:0 ", "abcdef123456:1 "]
    _, reader = harness.start(max_tokens=4, continue_from=prior_texts)
    harness.advance(1.0)
    assert reader.list_texts() == ["abcdef123456:2 ", "abcdef123456:3 "]
    assert sum(r["decoded_tokens"] for r in harness.read_records("finish")) == 2
    assert harness.read_records("continue")[0]["offset"] == 2


def test_duplicate_start_attaches_to_existing_run():
    harness = EngineHarness()
    harness.start(max_tokens=20)
    harness.advance(0.2)
    _, second = harness.start(max_tokens=20, attempt=2)
    harness.advance(1.0)
    assert len(second.list_texts()) == 20
    assert len(harness.read_records("start")) == 1
    assert len(harness.read_records("attach")) == 1


def test_continuation_replaces_run_without_readers():
    harness = EngineHarness()
    run, reader = harness.start(max_tokens=40)
    harness.advance(0.2)
    prior_texts = [f"{run.origin}:{number} " for number in range(20)]
    assert harness.try_start(continue_from=prior_texts) == (409, "run_attended")
    harness.engine.detach(run, reader)
    _, second = harness.start(max_tokens=40, continue_from=prior_texts)
    harness.advance(1.5)
    assert len(second.list_texts()) == 20
    assert harness.read_records("continue")[0]["offset"] == 20
    assert len(harness.read_records("cancel")) == 1


def test_attach_beyond_output_delivers_only_later_tokens():
    harness = EngineHarness()
    run, _ = harness.start(max_tokens=10)
    ahead = RecordingReader()
    run.attach(ahead, 7)
    harness.advance(1.0)
    assert ahead.list_texts() == [f"{run.origin}:{number} " for number in (7, 8, 9)]


def test_start_with_other_generation_or_digest_is_refused():
    harness = EngineHarness()
    harness.start(digest="d1")
    assert harness.try_start(digest="d1", generation="g2") == (409, "run_exists")
    assert harness.try_start(digest="d2") == (409, "digest_mismatch")


def test_stale_fence_is_refused_only_if_fences_are_checked():
    checking, ignoring = EngineHarness(checks_fence=True), EngineHarness()
    for harness in (checking, ignoring):
        harness.start(fence=5)
        harness.engine.cancel("r1", None)
    assert checking.try_start(fence=4) == (409, "stale_fence")
    assert ignoring.try_start(fence=4) is None


def test_start_is_refused_if_model_missing_full_or_leaving():
    """The refused requests start no run."""
    harness = EngineHarness(capacity=1, max_waiting=1)
    assert harness.try_start(model="other") == (404, "model_not_loaded")
    harness.start("r1")
    harness.start("r2")
    assert harness.try_start(run_id="r3") == (429, "full")
    harness.engine.state.leaving = True
    assert harness.try_start(run_id="r4") == (503, "leaving")


def test_step_time_grows_with_batch_size():
    settings = EngineSettings(name="s1", model="m")
    assert settings.compute_step_duration_s(1) == 0.02
    assert settings.compute_step_duration_s(16) == 0.04
    assert (
        settings.compute_step_duration_s(1)
        < settings.compute_step_duration_s(8)
        < settings.compute_step_duration_s(16)
    )


def test_only_uncached_prompt_requires_prefill():
    harness = EngineHarness(prefill_tokens_per_s=400.0)
    prompt = "x" * 1600
    _, first = harness.start("r1", prompt=prompt, max_tokens=1)
    harness.advance(0.9)
    assert not first.ended
    harness.advance(0.3)
    assert first.ended
    _, second = harness.start("r2", prompt=prompt, max_tokens=1)
    harness.advance(0.1)
    assert second.ended
    counted = [r["prefill_tokens"] for r in harness.read_records("token_count")]
    assert counted == [400, 0]


def test_higher_priority_is_admitted_first():
    harness = EngineHarness(capacity=1)
    harness.start("busy", max_tokens=5)
    _, low = harness.start("low", priority=2, max_tokens=20)
    _, high = harness.start("high", priority=0, max_tokens=5)
    harness.advance(0.4)
    assert high.ended
    assert not low.ended


def test_cancel_by_earlier_attempt_is_ignored():
    harness = EngineHarness()
    run, reader = harness.start(max_tokens=50, attempt=2)
    assert not harness.engine.cancel("r1", 1)
    assert harness.engine.cancel("r1", 2)
    harness.advance(1.0)
    assert reader.ended
    assert reader.data == b""
    assert len(harness.read_records("cancel")) == 1


def test_unattended_run_is_cancelled_and_finished_output_expires():
    harness = EngineHarness(unattended_s=2.0, keep_s=2.0)
    unattended_run, reader = harness.start("unattended", max_tokens=1000)
    harness.start("short", max_tokens=1)
    harness.engine.detach(unattended_run, reader)
    harness.advance(1.5)
    assert harness.engine.find("unattended", "g1", 0) is unattended_run
    harness.advance(3.0)
    for run_id in ("unattended", "short"):
        try:
            harness.engine.find(run_id, "g1", 0)
        except RefusedError as refused:
            assert refused.error == "run_unknown"
        else:
            raise AssertionError(f"run {run_id} is still known")


def test_cache_events_are_delayed_and_lossy():
    clock = Clock()
    feed = CacheEventFeed(
        delay_s=1.0, loss_share=0.3, rng=random.Random(1), clock=clock.seconds
    )
    cache = PrefixCache(2, feed)
    cache.store(hash_prefixes("a" * 64 * 40))
    assert feed.list_since(0) == ([], 0)
    clock.advance(1.0)
    events, next_sequence = feed.list_since(0)
    numbers = [event.sequence for event in events]
    assert len(numbers) < numbers[-1] == next_sequence - 1
    assert {event.kind for event in events} == {"stored", "evicted"}
    assert len(cache) == 2


def test_last_blocks_of_prefix_are_evicted_first():
    feed = CacheEventFeed(
        delay_s=0.0, loss_share=0.0, rng=random.Random(1), clock=Clock().seconds
    )
    cache = PrefixCache(2, feed)
    prefixes = hash_prefixes("a" * 64 * 3)
    cache.store(prefixes)
    assert cache.count_cached(prefixes) == 2


def test_load_report_is_delayed():
    harness = EngineHarness(load_lag_s=1.0)
    load = LoadSampler(harness.engine, harness.clock)
    harness.start(max_tokens=1000)
    harness.advance(0.5)
    assert load.report()["running"] == 0
    assert load.report()["measured_ms_ago"] >= 490
    harness.advance(0.6)
    assert load.report()["running"] == 1


def test_orders_are_delayed_and_stale_fences_refused():
    harness = EngineHarness(checks_fence=True, order_s=0.5)
    order = {"order_id": "o1", "kind": "load", "target": "model", "name": "m2"}
    harness.engine.state.accept_order({**order, "fence": 3})
    assert harness.try_start(model="m2") == (404, "model_not_loaded")
    harness.advance(0.6)
    assert harness.try_start(model="m2") is None
    assert harness.engine.state.fence == 3
    try:
        harness.engine.state.accept_order({**order, "order_id": "o2", "fence": 2})
    except Exception as error:
        assert type(error).__name__ == "StaleFenceError"
    else:
        raise AssertionError("a stale fence was accepted")
