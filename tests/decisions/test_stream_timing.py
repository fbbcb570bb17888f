from __future__ import annotations

from ebonyhaven_decisions.forwarding import (
    PrefillRate,
    StreamDurations,
    choose_engine_priority,
    compute_first_event_limits,
    compute_gap_limits,
)


def test_stream_with_a_copy_resumes_within_the_gap_target():
    limits = compute_gap_limits(target_gap_s=0.7, longest_gap_s=0.02, has_copy=True)
    assert limits.resume_after_s == 0.35
    slow = compute_gap_limits(target_gap_s=0.7, longest_gap_s=0.2, has_copy=True)
    assert 0.35 < slow.resume_after_s <= 0.7


def test_stream_with_long_gaps_knows_of_a_lost_server_in_time_to_resume():
    # A prompt that an engine reads stretches the gaps of its streams to 0.25 s. Guards
    # against streams that paused for 0.71 s, as the probe was answered at 0.64 s.
    probed_s, resume_s = 0.15, 0.1
    for gap_s in (0.02, 0.25, 0.5):
        limits = compute_gap_limits(
            target_gap_s=0.7, longest_gap_s=gap_s, has_copy=True
        )
        assert limits.probe_after_s + probed_s + resume_s <= 0.7
        assert limits.probe_after_s < limits.resume_after_s
    assert limits.resume_after_s == 0.7


def test_stream_without_a_copy_waits_for_a_server_that_accepts_connections():
    limits = compute_gap_limits(target_gap_s=0.7, longest_gap_s=0.02, has_copy=False)
    assert limits.probe_after_s == 0.35
    assert limits.resume_after_s > 2.0


def test_first_event_limits_grow_with_the_prefill_estimate():
    without_queue = compute_first_event_limits(target_latency_s=4.5, estimate_s=1.0)
    with_queue = compute_first_event_limits(target_latency_s=4.5, estimate_s=2.5)
    assert without_queue.probe_after_s < without_queue.resume_after_s
    assert with_queue.resume_after_s > 5.0
    assert with_queue.probe_after_s > 3.0


def test_prefill_rate_follows_observations():
    rate = PrefillRate()
    for _ in range(60):
        rate.record(4000, 1.0)
    assert 3900 < rate.tokens_per_s < 4200
    rate.record(0, 1.0)
    assert 1.8 < rate.estimate_s(8000) < 2.1


def observe_streams(**options) -> StreamDurations:
    durations = StreamDurations()
    values = {"first_event_s": 1.0, "streaming_s": 8.0, "events": 120, **options}
    for _ in range(20):
        durations.record(**values)
    return durations


def test_no_request_is_rejected_before_a_stream_completed():
    durations = StreamDurations()
    assert durations.can_finish_in_time(
        remaining_s=0.01, events_delivered=0, has_copy=False
    )


def test_request_with_time_for_a_short_stream_is_not_rejected():
    durations = observe_streams()
    assert durations.can_finish_in_time(
        remaining_s=6.8, events_delivered=0, has_copy=False
    )
    assert not durations.can_finish_in_time(
        remaining_s=6.7, events_delivered=0, has_copy=False
    )


def test_request_with_little_time_is_tried_while_engines_have_room():
    durations = observe_streams()
    options = {"events_delivered": 0, "has_copy": False, "has_room": True}
    assert durations.can_finish_in_time(remaining_s=5.5, **options)
    assert not durations.can_finish_in_time(remaining_s=5.3, **options)


def test_only_remaining_events_count_for_the_expected_duration():
    durations = observe_streams()
    assert durations.can_finish_in_time(
        remaining_s=3.8, events_delivered=60, has_copy=False
    )
    assert not durations.can_finish_in_time(
        remaining_s=3.7, events_delivered=60, has_copy=False
    )
    assert durations.can_finish_in_time(
        remaining_s=3.1, events_delivered=60, has_copy=True
    )
    assert durations.can_finish_in_time(
        remaining_s=0.8, events_delivered=500, has_copy=False
    )


def test_request_with_its_full_timeout_remaining_is_never_rejected():
    # Otherwise slow streams could lead to all requests being rejected, and without
    # completed streams the averages would never recover.
    durations = observe_streams(first_event_s=2.0, streaming_s=3.0)
    assert durations.can_finish_in_time(
        remaining_s=5.0, events_delivered=0, has_copy=False
    )


def test_streams_with_events_go_first_and_late_ones_last():
    assert choose_engine_priority(is_late=False, is_resumed=True, priority=2) == 2
    assert choose_engine_priority(is_late=True, is_resumed=True, priority=0) == 7
    new = [
        choose_engine_priority(is_late=False, is_resumed=False, priority=number)
        for number in range(4)
    ]
    assert new == [4, None, 6, 6]
