from __future__ import annotations

from ebonyhaven_standins.bench import _load_measures as measures
from ebonyhaven_standins.bench._load_measures import LatencyTargets, Window
from ebonyhaven_standins.bench._open_loop import parse_error_outcome

TARGETS = {"look-up": LatencyTargets(first_token_s=0.5, gap_s=0.062)}


def make_record(**options):
    record = {
        "at_s": 1.0,
        "workspace": "w",
        "class_name": "look-up",
        "max_tokens": 3,
        "outcome": "completed",
        "attempts": 1,
        "server": "s1",
        "first_token_s": 1.2,
        "ended_s": 1.3,
        "tokens": 3,
        "longest_gap_s": 0.05,
        "token_times": [(1.2, 1), (1.25, 1), (1.3, 1)],
    }
    return record | options


def test_late_interrupted_or_slow_requests_miss_target():
    assert measures.is_in_target(make_record(), TARGETS)
    assert not measures.is_in_target(make_record(first_token_s=1.6), TARGETS)
    assert not measures.is_in_target(make_record(outcome="cut"), TARGETS)
    assert not measures.is_in_target(make_record(ended_s=2.0), TARGETS)


def test_goodput_counts_only_in_target_tokens_of_window():
    late = make_record(first_token_s=1.6)
    window = Window(1.22, 2.22)
    assert measures.measure_goodput([make_record(), late], TARGETS, window) == 2.0


def test_jain_index_of_equal_and_unequal_service():
    assert measures.compute_jain_index([5, 5, 5]) == 1.0
    assert measures.compute_jain_index([1, 0, 0]) == 0.3333
    assert measures.compute_jain_index([0, 0]) is None


def test_backlogged_workspaces_exceed_their_max_min_share():
    demands = {"a": 60.0, "b": 50.0, "c": 10.0}
    assert set(measures.find_backlogged(demands, 100.0)) == {"a", "b"}
    assert measures.find_backlogged(demands, 120.0) == []


def test_recovery_time_ends_at_last_step_below_target():
    in_target = [
        make_record(at_s=at_s / 10, first_token_s=at_s / 10) for at_s in range(90)
    ]
    rejected = [make_record(at_s=2.5, outcome="refused") for _ in range(5)]
    recovery_s = measures.measure_recovery_s(
        in_target + rejected, TARGETS, fault_s=1.0, end_s=9.0
    )
    assert recovery_s == 2.0
    rejected_until_end = [make_record(at_s=8.5, outcome="refused") for _ in range(5)]
    assert (
        measures.measure_recovery_s(
            in_target + rejected_until_end, TARGETS, fault_s=1.0, end_s=9.0
        )
        is None
    )


def test_refusal_is_parsed_with_retry_delay():
    text = b'{"error": {"outcome": "not_run", "retry_after_s": 2.5}}'
    assert parse_error_outcome(text) == ("refused", 2.5)
    assert parse_error_outcome(b'{"error": {"outcome": "unknown"}}') == (
        "unknown",
        None,
    )
    assert parse_error_outcome(b"nonsense") == ("malformed", None)
