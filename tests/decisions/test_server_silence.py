from __future__ import annotations

from ebonyhaven_decisions.forwarding import ServerSilence, compute_patience_s

PATIENCE_S = 0.5


def make_silence(now=10.0):
    silence = ServerSilence()
    silence.record_sent(now, PATIENCE_S)
    return silence


def test_server_is_unresponsive_after_it_left_a_request_without_a_byte():
    silence = make_silence()
    assert not silence.is_unresponsive(10.0 + PATIENCE_S)
    assert silence.is_unresponsive(10.1 + PATIENCE_S)


def test_bytes_of_any_response_end_the_silence():
    silence = make_silence()
    silence.record_sent(10.4, PATIENCE_S)
    silence.record_received(10.4)
    silence.record_ended(10.4, PATIENCE_S)
    assert not silence.is_unresponsive(10.6)
    assert silence.is_unresponsive(11.0)


def test_silence_lasts_when_all_requests_are_given_up():
    silence = make_silence()
    silence.record_ended(10.1 + PATIENCE_S, PATIENCE_S)
    assert silence.is_unresponsive(20.0)
    silence.record_received(20.0)
    assert not silence.is_unresponsive(30.0)


def test_request_that_is_given_up_early_proves_nothing():
    silence = make_silence()
    silence.record_ended(10.2, PATIENCE_S)
    assert not silence.is_unresponsive(20.0)
    silence.record_sent(20.0, PATIENCE_S)
    assert not silence.is_unresponsive(20.2)


def test_server_may_be_silent_as_long_as_its_slowest_request_allows():
    silence = make_silence()
    silence.record_sent(10.1, 3.0)
    assert not silence.is_unresponsive(12.9)
    assert silence.is_unresponsive(13.1)


def test_request_with_little_time_left_proves_nothing():
    silence = ServerSilence()
    silence.record_sent(10.0, 0.01)
    silence.record_ended(10.02, 0.01)
    assert not silence.is_unresponsive(11.0)


def test_server_that_is_there_but_slow_may_be_silent_for_longer_each_time():
    silence = make_silence()
    silence.record_alive(11.0)
    assert not silence.is_unresponsive(11.9)
    silence.record_alive(12.1)
    assert not silence.is_unresponsive(14.0)
    assert silence.is_unresponsive(14.2)
    silence.record_received(15.0)
    silence.record_ended(15.0, PATIENCE_S)
    silence.record_sent(15.0, PATIENCE_S)
    assert silence.is_unresponsive(15.1 + PATIENCE_S)


def test_patience_with_a_busy_server_does_not_grow_with_each_pause():
    # Guards against a server with requests at all times that may stand still unnoticed.
    silence = make_silence()
    for now in (11.0, 13.0, 17.0):
        silence.record_alive(now)
    silence.record_sent(20.0, PATIENCE_S)
    silence.record_received(20.0)
    silence.record_ended(20.0, PATIENCE_S)
    assert not silence.is_unresponsive(20.0 + PATIENCE_S)
    assert silence.is_unresponsive(20.1 + PATIENCE_S)


def test_patience_with_a_busy_server_ends_with_the_request_that_needed_it():
    silence = make_silence()
    silence.record_sent(10.1, 6.0)
    silence.record_received(10.2)
    silence.record_ended(10.2, 6.0)
    silence.record_received(10.3)
    assert not silence.is_unresponsive(10.3 + PATIENCE_S)
    assert silence.is_unresponsive(10.4 + PATIENCE_S)


def test_patience_follows_target_and_usual_latency_within_the_timeout():
    def compute(target_s, latency_s):
        return compute_patience_s(
            target_latency_s=target_s, latency_s=latency_s, timeout_s=1.0
        )

    assert compute(0.5, 0.05) == 0.5
    assert compute(0.3, 0.15) == 0.6
    assert compute(0.3, 0.9) < 1.0
