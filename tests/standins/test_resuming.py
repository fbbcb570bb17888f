from __future__ import annotations

from ebonyhaven_standins.resuming import RecoveryStrategy, run_experiment

DURATION_S = 20.0  # includes three data centre losses


def test_streams_with_copies_meet_targets_during_data_centre_losses():
    outcome = run_experiment(RecoveryStrategy.COPY, 2.0, duration_s=DURATION_S)
    assert outcome.streams > 25
    assert outcome.whole == 1
    assert outcome.in_time == 1
    assert outcome.moved_tokens > 0
    assert outcome.read_again_tokens == 0


def test_streams_with_new_prefill_complete_but_miss_targets():
    outcome = run_experiment(RecoveryStrategy.PROMPT, 2.0, duration_s=DURATION_S)
    assert outcome.whole == 1
    assert outcome.in_time < 1
    assert outcome.read_again_tokens > 0


def test_restarted_streams_miss_targets():
    outcome = run_experiment(RecoveryStrategy.RESTART, 2.0, duration_s=DURATION_S)
    assert outcome.in_time < 1
    assert outcome.moved_tokens == 0


def test_experiment_is_deterministic():
    first = run_experiment(RecoveryStrategy.COPY, 1.0, seed=3, duration_s=6.0)
    assert first == run_experiment(RecoveryStrategy.COPY, 1.0, seed=3, duration_s=6.0)
