"""Waiting and refusal under the loads that they are designed for."""

from __future__ import annotations

import math
import random

from ebonyhaven_decisions.forwarding.waiting import (
    RANK_MEMORY_S,
    RANKS,
    PeerRanks,
    RankActivity,
    RankNews,
    WaitForecast,
    WaitingLine,
    WaitingStream,
    choose_retry_after_s,
    estimate_freed_tokens_per_s,
    forecast_wait,
    leaves_time_to_urgent,
    limit_memory_share,
    limit_patience_s,
    limit_rank,
)

TOKENS = 9_000
MEMORY_TOKENS = 88_000


def join(line, request_id, rank=1, now=0.0, **options):
    line.join(WaitingStream(request_id, rank, tokens=TOKENS, **options), now)


def list_order(line, names, now=0.0):
    return sorted(names, key=lambda name: line.count_ahead(name, now))


def serve(line, names, count, now=0.0):
    """Serve streams one after the other, and return their names."""
    served = []
    for _ in range(count):
        first = list_order(line, [each for each in names if each in line], now)[0]
        line.leave(first, is_served=True)
        served.append(first)
    return served


def test_burst_of_the_least_urgent_does_not_delay_the_urgent():
    line = WaitingLine()
    names = [f"fan-{number}" for number in range(30)]
    for name in names:
        join(line, name, rank=2)
    join(line, "sponsor", rank=0, now=1.0)
    join(line, "club", rank=1, now=1.0)
    assert serve(line, ["club", "sponsor", *names], 3) == ["sponsor", "club", "fan-0"]


def test_burst_of_the_most_urgent_is_served_in_order_of_arrival():
    line = WaitingLine()
    join(line, "fan", rank=2)
    names = [f"sponsor-{number}" for number in range(10)]
    for name in names:
        join(line, name, rank=0, now=1.0)
    assert serve(line, [*names, "fan"], 11) == [*names, "fan"]


def test_hot_workspace_delays_others_of_its_rank_by_one_stream():
    line = WaitingLine()
    hot = [f"hot-{number}" for number in range(40)]
    for name in hot:
        join(line, name, workspace="hot")
    others = [f"other-{number}" for number in range(4)]
    for name in others:
        join(line, name, workspace=name)
    served = serve(line, [*hot, *others], 5)
    assert served == ["hot-0", *others]


def test_hot_workspace_keeps_its_share_while_others_go_on():
    line = WaitingLine()
    hot = [f"hot-{number}" for number in range(20)]
    usual = [f"usual-{number}" for number in range(20)]
    for name in hot:
        join(line, name, workspace="hot")
    for name in usual:
        join(line, name, workspace="usual")
    served = serve(line, [*hot, *usual], 20)
    assert sum(name in hot for name in served) == 10


def test_workspace_that_returns_has_saved_nothing_up():
    line = WaitingLine()
    hot = [f"hot-{number}" for number in range(20)]
    for name in hot:
        join(line, name, workspace="hot")
    served = serve(line, hot, 10)
    late = [f"late-{number}" for number in range(10)]
    for name in late:
        join(line, name, workspace="late")
    served = serve(line, [*hot, *late], 6)
    assert 2 <= sum(name in late for name in served) <= 4


def test_streams_that_resume_after_the_loss_of_a_data_centre_precede_new_ones():
    line = WaitingLine()
    join(line, "new", rank=0)
    join(line, "resumed", rank=2, has_begun=True, now=1.0)
    assert list_order(line, ["new", "resumed"]) == ["resumed", "new"]


def test_streams_that_turn_late_yield_within_their_rank():
    line = WaitingLine()
    join(line, "late", on_time_until=4.0)
    join(line, "in-time", now=3.0, on_time_until=7.0)
    join(line, "less-urgent", rank=2, now=3.0, on_time_until=13.0)
    names = ["in-time", "late", "less-urgent"]
    assert list_order(line, names, 3.9) == ["late", "in-time", "less-urgent"]
    assert list_order(line, names, 4.0) == ["in-time", "late", "less-urgent"]
    assert line.sum_tokens_ahead("less-urgent", 4.0) == 2 * TOKENS
    assert line.count_by_rank(RANKS) == [0, 2, 1]


def test_equal_streams_wait_in_order_of_arrival():
    line = WaitingLine()
    names = [f"r{number}" for number in range(8)]
    for name in names:
        join(line, name)
        join(line, name)
    assert serve(line, names, 8) == names
    line.leave("r0", is_served=False)
    assert not len(line)


def test_large_line_is_cheap_to_look_at():
    line = WaitingLine()
    for number in range(3000):
        join(line, f"r{number}", workspace=f"w{number % 50}", on_time_until=number)
    assert line.count_ahead("r0", 3000.0) == 0
    for number in range(3000):
        line.leave(f"r{number}", is_served=number % 2 == 0)
    assert not len(line)


# -- room for the urgent -------------------------------------------------------


def share(more_urgent_ranks, tokens=TOKENS):
    return limit_memory_share(
        0.92,
        tokens=tokens,
        memory_tokens=MEMORY_TOKENS,
        more_urgent_ranks=more_urgent_ranks,
    )


def test_each_rank_leaves_room_for_a_run_of_the_more_urgent_ones():
    shares = [share(number) for number in range(RANKS)]
    assert shares[0] == 0.92
    for before, after in zip(shares, shares[1:], strict=False):
        assert math.isclose((before - after) * MEMORY_TOKENS, TOKENS)


def test_idle_engine_takes_the_largest_prompt_of_the_least_urgent():
    for tokens in range(1_000, 80_000, 700):
        assert share(2, tokens) * MEMORY_TOKENS >= tokens


def test_least_urgent_do_not_queue_so_long_that_the_urgent_would_be_late():
    options = {"prompt_s": 1.0, "more_urgent_targets": [4.0, 5.0]}
    assert leaves_time_to_urgent(queue_s=3.0, **options)
    assert not leaves_time_to_urgent(queue_s=3.1, **options)
    assert leaves_time_to_urgent(queue_s=0.0, prompt_s=9.0, more_urgent_targets=[4.0])
    assert leaves_time_to_urgent(queue_s=9.0, prompt_s=1.0, more_urgent_targets=[])


def test_room_is_kept_only_while_more_urgent_requests_come():
    ranks = RankActivity()
    ranks.record(0, 4.0, now=10.0)
    ranks.record(2, 10.0, now=10.0)
    assert ranks.list_more_urgent_targets(2, 10.0 + RANK_MEMORY_S) == [4.0]
    assert ranks.list_more_urgent_targets(2, 10.1 + RANK_MEMORY_S) == []
    assert ranks.list_more_urgent_targets(0, 10.0) == []


def test_ranks_and_waiting_streams_of_peers_are_known():
    here, there, peers = RankActivity(), RankActivity(), PeerRanks()
    assert here.tell([0, 0, 0], 1.0) is None
    here.record(0, 4.0, now=1.0)
    news = here.tell([3, 0, 0], 2.0)
    assert news == [RankNews(3, 4.0, 1.0), RankNews(), RankNews()]
    peers.record("n1", news, 2.0)
    there.record(0, news[0].target_s, 2.0 - news[0].idle_s)
    assert there.list_more_urgent_targets(1, 2.0) == [4.0]
    assert [peers.count_waiting(rank, 2.0) for rank in range(RANKS)] == [3, 3, 3]
    assert peers.count_waiting(2, 6.0) == 0


def test_priorities_beyond_those_of_engines_are_limited():
    assert [limit_rank(number) for number in (-1, 0, 1, 2, 9)] == [0, 0, 1, 2, 2]


# -- forecast ------------------------------------------------------------------


def test_forecast_follows_what_is_ahead_and_how_fast_room_is_freed():
    rate = estimate_freed_tokens_per_s(run_tokens=90 * TOKENS, run_s=6.0)
    forecast = forecast_wait(
        ahead_tokens=44 * TOKENS, tokens=TOKENS, freed_tokens_per_s=rate
    )
    assert math.isclose(forecast.wait_s, 3.0)
    assert not forecast.is_in_vain(remaining_s=3.1)
    assert forecast.is_in_vain(remaining_s=2.9)


def test_nothing_is_refused_before_durations_are_known():
    assert estimate_freed_tokens_per_s(run_tokens=90 * TOKENS, run_s=0.0) is None
    assert estimate_freed_tokens_per_s(run_tokens=0, run_s=6.0) is None


def test_callers_wait_for_a_multiple_of_their_target():
    options = {"remaining_s": 18.0, "waited_s": 1.0}
    assert limit_patience_s(target_s=4.0, gap_s=0.7, **options) == 15.0
    assert limit_patience_s(target_s=1.0, gap_s=1.0, **options) == 7.0
    assert limit_patience_s(target_s=math.inf, gap_s=0.0, **options) == 18.0


def test_refused_callers_return_spread_and_the_urgent_first():
    rng = random.Random(1)
    forecast = WaitForecast(8.0, 0, 1.0)
    times = [
        [choose_retry_after_s(forecast, rank=rank, rng=rng) for _ in range(50)]
        for rank in range(RANKS)
    ]
    assert min(times[0]) >= 8.0
    for urgent, other in zip(times, times[1:], strict=False):
        assert max(urgent) <= min(other)
        assert max(other) - min(other) > 1.0
