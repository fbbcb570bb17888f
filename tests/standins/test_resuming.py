from __future__ import annotations

from ebonyhaven_standins.resuming import (
    OVERLOAD_END_S,
    WINDOW_S,
    RecoveryStrategy,
    run_experiment,
    run_overload,
)

DURATION_S = 20.0  # includes three data centre losses
RECOVERY_S = 5.0


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


def test_streams_are_in_time_soon_after_an_overload():
    # Replays a burst of three times the streams while a fifth of the engines is lost
    # and a third of the others is slow. Served in order of arrival, the streams that
    # had piled up made later ones late for as long again.
    outcome = run_overload(seed=1, duration_s=32.0)
    recovered = int((OVERLOAD_END_S + RECOVERY_S) / WINDOW_S)
    windows = outcome.windows[recovered:]
    assert sum(windows) / len(windows) >= 0.95
    assert outcome.whole >= 0.95
