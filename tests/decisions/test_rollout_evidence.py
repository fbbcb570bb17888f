"""Verdicts on new versions that are sound, or bad in one of several ways."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding.rollouts import VersionQuality
from nose2.tools import params

from tests.decisions.rollouts import (
    NEW,
    OLD,
    ORDER,
    ROUTES,
    SERVICE,
    AnswerReplay,
    count_verdicts,
    make_board,
)

SEEDS = 20
ALLOWED_BAD = 50


def assert_found_bad(limit_s, seeds=SEEDS, **options):
    for seed in range(seeds):
        replay = AnswerReplay(seed, **options)
        at, verdict = replay.run()
        assert verdict.quality is VersionQuality.BAD, (seed, verdict)
        assert at <= limit_s, (seed, at)
        assert replay.bad_answers < ALLOWED_BAD


def test_good_version_is_found_sound_before_the_limit():
    sound_at = sorted(AnswerReplay(seed).run()[0] or 99.0 for seed in range(SEEDS))
    assert sound_at[SEEDS // 2] <= 7.0
    assert sound_at[-2] <= 10.5


def test_good_version_is_rarely_found_bad():
    assert count_verdicts(100) == 0


def test_good_version_beside_an_old_one_with_failures_is_rarely_found_bad():
    assert count_verdicts(100, old_failures=0.05) <= 1


def test_version_that_fails_at_once_is_found():
    assert_found_bad(6.0, fails=lambda route, at: 0.4)


def test_version_that_fails_from_the_fifth_second_on_is_found():
    assert_found_bad(11.0, fails=lambda route, at: 0.4 if at > 5.0 else 0.0)


def test_slow_version_is_found():
    assert_found_bad(5.0, factor=lambda route, at: 4.0)


def test_version_that_fails_on_a_single_route_is_found():
    assert_found_bad(12.1, fails=lambda route, at: 0.6 if route == ROUTES[2] else 0.0)


def test_version_that_fails_under_load_is_found_within_the_exposure():
    # The share grows from a tenth to all requests after five seconds.
    for seed in range(SEEDS):
        replay = AnswerReplay(seed)
        replay.run(5.0)
        before = replay.exposed
        replay.share, replay.fails = 1.0, lambda route, at: 0.4
        at, verdict = replay.run(7.0)
        assert verdict.quality is VersionQuality.BAD
        assert replay.exposed - before < 2 * ALLOWED_BAD
        assert at <= 6.0


def judge_times(*, old_idle, old_loaded, new_loaded):
    """Judge a loaded new version by times, in seconds, of 40 answers each."""
    board = make_board()
    for version, is_loaded, time_s in (
        (OLD, False, old_idle),
        (OLD, True, old_loaded),
        (NEW, True, new_loaded),
    ):
        for _ in range(40 if time_s else 0):
            board.record(SERVICE, version, "r0", is_loaded=is_loaded, time_s=time_s)
    return board.judge(ORDER, (OLD,), 0.0).quality


def test_version_that_is_slow_under_load_is_compared_with_the_loaded_old_one():
    times = {"old_idle": 0.05, "old_loaded": 0.1}
    assert judge_times(**times, new_loaded=0.4) is VersionQuality.BAD
    assert judge_times(**times, new_loaded=0.1) is VersionQuality.SOUND


def test_load_that_the_old_version_never_had_excuses_a_factor_of_two():
    times = {"old_idle": 0.05, "old_loaded": None}
    assert judge_times(**times, new_loaded=0.1) is VersionQuality.SOUND
    assert judge_times(**times, new_loaded=0.4) is VersionQuality.BAD


def test_few_answers_leave_the_verdict_open():
    board = make_board()
    for _ in range(3):
        board.record(SERVICE, NEW, "r0", is_failure=True)
    assert board.judge(ORDER, (OLD,), 0.0).quality is VersionQuality.UNDECIDED


def test_version_without_answers_on_a_route_is_not_called_sound():
    board = make_board()
    for _ in range(100):
        board.record(SERVICE, OLD, "r0", time_s=0.05)
        board.record(SERVICE, OLD, "r1", time_s=0.05)
        board.record(SERVICE, NEW, "r0", time_s=0.05)
    verdict = board.judge(ORDER, (OLD,), 0.0)
    assert verdict.quality is VersionQuality.UNDECIDED
    assert "r1" in verdict.reason


def test_crash_of_one_new_server_is_no_verdict_on_its_version():
    # Its losses on five routes were taken for failures of all of them.
    board = make_board()
    for route in ROUTES:
        for _ in range(8):
            board.record(SERVICE, OLD, route, time_s=0.05)
            board.record(SERVICE, NEW, route, time_s=0.05)
        for _ in range(6):
            board.record(SERVICE, NEW, route, is_failure=True, lost_process="s-1/1@500")
    verdict = board.judge(ORDER, (OLD,), 0.0)
    assert verdict.quality is not VersionQuality.BAD
    assert verdict.bad_answers == 2


def test_answers_that_a_living_server_breaks_off_again_and_again_count():
    board = make_board()
    for second in range(10):
        board.record(SERVICE, OLD, "r0", time_s=0.05)
        board.record(SERVICE, NEW, "r0", time_s=0.05)
        board.record(
            SERVICE, NEW, "r0", is_failure=True, lost_process=f"s-1/1@{second}"
        )
    assert board.judge(ORDER, (OLD,), 0.0).quality is VersionQuality.BAD


def test_evidence_of_other_instances_counts_together():
    board = make_board(peers=[f"n{number}" for number in range(8)])
    for number in range(8):
        peer = make_board()
        peer.record_sent(SERVICE, NEW, is_first=True)
        peer.record(SERVICE, NEW, "r0", is_failure=True)
        for now in (0.0, 0.1):  # the same news twice
            board.merge(f"n{number}", peer.export(), now)
    verdict = board.judge(ORDER, (OLD,), 0.2)
    assert verdict.quality is VersionQuality.BAD
    assert (verdict.answers, verdict.requests, verdict.exposed) == (8, 8, 8)


def test_evidence_of_an_instance_that_started_again_is_kept():
    board = make_board(peers=["n2"])
    for count in (5, 2):
        peer = make_board()
        for _ in range(count):
            peer.record_sent(SERVICE, NEW, is_first=True)
        board.merge("n2", peer.export(), 0.0)
    assert board.judge(ORDER, (OLD,), 0.0).exposed == 7


def test_requests_in_flight_are_unknown_without_the_news_of_an_instance():
    board = make_board(peers=["n2", "n3"], active={OLD: 1})
    peer = make_board(active={OLD: 2, NEW: 5})
    board.merge("n2", peer.export(), 0.0)
    assert board.count_active(SERVICE, [OLD], 0.1) is None
    board.merge("n3", peer.export(), 0.0)
    assert board.count_active(SERVICE, [OLD], 0.1) == 5
    assert board.count_active(SERVICE, [OLD], 9.0) is None


def test_requests_in_flight_are_unknown_while_an_instance_lags_a_stage():
    board = make_board(stage=2, peers=["n2"])
    board.merge("n2", make_board(stage=1, active={OLD: 0}).export(), 0.0)
    assert board.count_active(SERVICE, [OLD], 0.1) is None


@params(
    [],
    {"o-1": 3},
    {"o-1": [1, 2, 3, {}]},
    {"o-1": [-1, 0, 0, {}, []]},
    {"o-1": [1, 0, 0, {"v1": "x"}, []]},
    {"o-1": [1, 0, 0, {}, [["r0", "v2", 0, {"z9": 1}]]]},
    {"o-1": [1, 0, 0, {}, [["r0", "v2", 0, {"n": True}]]]},
)
def test_malformed_news_are_refused(payload):
    board = make_board(peers=["n2"])
    try:
        board.merge("n2", payload, 0.0)
    except (AttributeError, TypeError, ValueError):
        pass
    else:
        raise AssertionError("merged")
    assert board.judge(ORDER, (OLD,), 0.0).requests == 0


def test_news_of_an_unknown_order_are_skipped():
    board = make_board()
    board.merge("n2", {"other": [5, 5, 1, {}, []]}, 0.0)
    assert board.judge(ORDER, (OLD,), 0.0).requests == 0


def test_nothing_is_counted_while_no_order_is_open():
    board = make_board()
    board.follow(SERVICE, None)
    board.record(SERVICE, NEW, "r0", is_failure=True)
    assert board.is_empty
    assert board.export() is None


def answer_without(route, *, earlier, seconds=6.0):
    """Return the verdict on a version, with no request on a route since the order."""
    board = make_board(earlier=earlier)
    others = [each for each in ROUTES if each != route]
    for step in range(int(90 * seconds)):
        version = NEW if step % 5 == 0 else OLD
        board.record_sent(SERVICE, version, is_first=True)
        board.record(SERVICE, version, others[step % len(others)], time_s=0.05)
    return board.judge(ORDER, (OLD,), seconds)


def test_version_is_not_sound_before_a_route_that_pauses_has_answers():
    # Guards against a version that fails on one route, on which callers sent nothing
    # from the order to the hand-over: the soak saw it completed (EXPOSURE).
    earlier = dict.fromkeys(ROUTES, 100)
    verdict = answer_without("r2", earlier=earlier)
    assert verdict.quality is VersionQuality.UNDECIDED
    assert "r2" in verdict.reason


def test_a_route_that_was_hardly_used_is_not_waited_for():
    earlier = {**dict.fromkeys(ROUTES, 100), "r2": 2}
    assert answer_without("r2", earlier=earlier).quality is VersionQuality.SOUND


def test_a_route_that_was_used_elsewhere_is_waited_for():
    board = make_board(peers=["n2"])
    teller = make_board(earlier={"r2": 50})
    board.merge("n2", teller.export(), 1.0)
    for step in range(500):
        version = NEW if step % 5 == 0 else OLD
        board.record_sent(SERVICE, version, is_first=True)
        board.record(SERVICE, version, "r0", time_s=0.05)
    assert board.judge(ORDER, (OLD,), 6.0).quality is VersionQuality.UNDECIDED


def test_news_of_a_build_that_tells_no_earlier_requests_is_read():
    board, teller = make_board(peers=["n2"]), make_board()
    teller.record_sent(SERVICE, NEW, is_first=True)
    payload = {order: fields[:5] for order, fields in teller.export().items()}
    board.merge("n2", payload, 1.0)
    assert board.judge(ORDER, (OLD,), 1.0).exposed == 1
