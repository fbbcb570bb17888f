from __future__ import annotations

from ebonyhaven_standins.resuming import RecoveryStrategy, run_experiment

LENGTH_S = 20.0  # three losses of a data centre


def test_streams_with_copies_stay_on_time_through_losses_of_data_centres():
    outcome = run_experiment(RecoveryStrategy.COPY, 2.0, duration_s=LENGTH_S)
    assert outcome.streams > 25
    assert outcome.whole == 1
    assert outcome.in_time == 1
    assert outcome.moved_tokens > 0
    assert outcome.read_again_tokens == 0


def test_fresh_prompts_keep_streams_whole_and_make_them_late():
    outcome = run_experiment(RecoveryStrategy.PROMPT, 2.0, duration_s=LENGTH_S)
    assert outcome.whole == 1
    assert outcome.in_time < 1
    assert outcome.read_again_tokens > 0


def test_restarts_cut_streams():
    outcome = run_experiment(RecoveryStrategy.RESTART, 2.0, duration_s=LENGTH_S)
    assert outcome.in_time < 1
    assert outcome.moved_tokens == 0


def test_experiment_repeats():
    first = run_experiment(RecoveryStrategy.COPY, 1.0, seed=3, duration_s=6.0)
    assert first == run_experiment(RecoveryStrategy.COPY, 1.0, seed=3, duration_s=6.0)
