from __future__ import annotations

from unittest import mock

from ebonyhaven_node._pauses import PAUSE_THRESHOLD_S, TICK_INTERVAL_S, PauseDetector
from twisted.internet.task import Clock


def make_detector(clock):
    detector = PauseDetector(clock)
    detector.start()
    return detector


def test_only_a_late_tick_is_detected_as_a_pause():
    clock = Clock()
    with mock.patch("ebonyhaven_node._pauses.time.monotonic", clock.seconds):
        detector = make_detector(clock)
        clock.pump([TICK_INTERVAL_S] * 20)
        assert detector.find_pause_end() == float("-inf")
        clock.advance(PAUSE_THRESHOLD_S + TICK_INTERVAL_S)
        pause_ended_at = detector.find_pause_end()
        assert pause_ended_at == clock.seconds()
        clock.pump([TICK_INTERVAL_S] * 20)
        assert detector.find_pause_end() == pause_ended_at


def test_overdue_tick_is_detected_before_the_timer_runs():
    clock = Clock()
    now = 100.0
    with mock.patch("ebonyhaven_node._pauses.time.monotonic", lambda: now):
        detector = make_detector(clock)
        now += PAUSE_THRESHOLD_S + 0.1
        assert detector.find_pause_end() == now
