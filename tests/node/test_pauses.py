from __future__ import annotations

from unittest import mock

from ebonyhaven_node._pauses import PAUSE_THRESHOLD_S, TICK_INTERVAL_S, PauseDetector
from twisted.internet.task import Clock


def make_detector(clock):
    detector = PauseDetector(clock)
    detector.start()
    return detector


def test_steady_ticks_are_no_pause_and_a_late_one_is():
    clock = Clock()
    with mock.patch("ebonyhaven_node._pauses.time.monotonic", clock.seconds):
        detector = make_detector(clock)
        clock.pump([TICK_INTERVAL_S] * 20)
        assert detector.find_pause_end() == float("-inf")
        clock.advance(PAUSE_THRESHOLD_S + TICK_INTERVAL_S)
        woke_at = detector.find_pause_end()
        assert woke_at == clock.seconds()
        clock.pump([TICK_INTERVAL_S] * 20)
        assert detector.find_pause_end() == woke_at


def test_overdue_tick_counts_before_the_timer_has_run():
    clock = Clock()
    now = 100.0
    with mock.patch("ebonyhaven_node._pauses.time.monotonic", lambda: now):
        detector = make_detector(clock)
        now += PAUSE_THRESHOLD_S + 0.1
        assert detector.find_pause_end() == now
