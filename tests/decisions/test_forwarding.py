from __future__ import annotations

import random

from ebonyhaven_decisions.forwarding import (
    Backend,
    BackendDirectory,
    BackendEntry,
    BackendState,
    EngineUse,
    PrefillRate,
    ServiceRetryBudget,
    StreamDurations,
    TokenDemand,
    choose_backend,
    choose_copy_holder,
    choose_engine,
    compute_first_event_limits,
    compute_gap_limits,
    count_queued_prefill_tokens,
    is_prompt_admitted,
    select_preferred_engines,
)

MEMORY = 88000
NEED = TokenDemand(8000, 780)


def entry(server_id, data_centre="dc-a", **options):
    values = {
        "server_id": server_id,
        "started_ms": 1,
        "service": "engines",
        "address": f"10.0.0.{server_id[1:]}:80",
        "data_centre": data_centre,
        "slots": 64,
        "state": BackendState.READY,
    }
    values.update(options)
    return BackendEntry(**values)


def build(count=6):
    directory = BackendDirectory()
    for number in range(count):
        directory.put(entry(f"s{number}", f"dc-{'abc'[number % 3]}"), 0.0)
    return directory


def place(directory, peers=None, now=10.0, seed=1, **options):
    return choose_engine(
        directory.list_usable("engines", now),
        demand=NEED,
        memory_tokens=MEMORY,
        peers=peers or {},
        rng=random.Random(seed),
        **options,
    )


# -- load at its worst: a burst of prompts ---------------------------------


def test_burst_of_prompts_is_spread_over_all_engines():
    directory = build(6)
    for number in range(6):
        chosen = place(directory, seed=number, prompt_id=f"p{number}")
        chosen.run_tokens += NEED.tokens
        chosen.prefill_tokens += NEED.prompt_tokens
    assert all(each.prefill_tokens == NEED.prompt_tokens for each in directory)


def test_prompts_that_other_instances_are_sending_count_like_own():
    directory = build(3)
    peers = {"s0": EngineUse(8780, 0, 8000), "s1": EngineUse(8780, 0, 8000)}
    chosen = {place(directory, peers, seed=seed).server_id for seed in range(20)}
    assert chosen == {"s2"}


def test_instances_that_know_nothing_of_each_other_rarely_meet():
    directory = build(18)
    met = 0
    for trial in range(300):
        chosen = {
            place(directory, seed=7 * trial + each, prompt_id=f"{trial}/{each}")
            for each in range(3)
        }
        met += len(chosen) < 3
    assert met / 300 < 0.25  # three draws from 18 without any rule: 0.16


def test_same_prompt_goes_to_the_same_engines_wherever_it_arrives():
    directory = build(18)
    candidates = directory.list_usable("engines", 10.0)
    preferred = select_preferred_engines("prompt", candidates)
    for seed in range(20):
        chosen = place(directory, seed=seed, prompt_id="prompt")
        assert chosen.server_id in preferred


def test_engine_without_memory_is_not_chosen():
    directory = build(2)
    directory.find("s0").run_tokens = MEMORY - 100
    directory.find("s1").copy_tokens = MEMORY - 100
    assert place(directory) is None
    directory.find("s1").copy_tokens = 0
    assert place(directory).server_id == "s1"


# -- load at its worst: the loss of a data centre --------------------------


def test_copies_lie_in_another_data_centre_and_are_spread():
    directory = build(6)
    source = directory.find("s0")
    holders = set()
    for seed in range(4):
        holder = choose_copy_holder(
            directory.list_usable("engines", 10.0),
            source=source,
            demand=NEED,
            memory_tokens=MEMORY,
            peers={},
            rng=random.Random(seed),
        )
        assert holder.entry.data_centre != "dc-a"
        holder.copy_tokens += NEED.tokens
        holders.add(holder.server_id)
    assert len(holders) == 4


def test_a_lost_data_centre_takes_no_engine_over_its_memory():
    directory = build(6)
    rng = random.Random(3)
    for number in range(30):
        source = place(directory, seed=number, prompt_id=str(number))
        if source is None:
            break
        holder = choose_copy_holder(
            directory.list_usable("engines", 10.0),
            source=source,
            demand=NEED,
            memory_tokens=MEMORY,
            peers={},
            rng=rng,
        )
        if holder is None:
            break
        source.run_tokens += NEED.tokens
        holder.copy_tokens += NEED.tokens
    for each in directory:
        assert each.run_tokens + each.copy_tokens <= MEMORY
    assert number >= 20


def test_copy_lies_rather_in_a_doubted_data_centre_than_beside_its_run():
    # With two data centres in doubt, copies once lay in the third, beside their runs.
    directory = build(6)
    holder = choose_copy_holder(
        directory.list_usable("engines", 10.0),
        source=directory.find("s0"),
        demand=NEED,
        memory_tokens=MEMORY,
        peers={},
        rng=random.Random(1),
        is_suspect_data_centre=lambda data_centre: data_centre != "dc-a",
    )
    assert holder.entry.data_centre != "dc-a"


def test_resumes_that_come_at_once_do_not_all_choose_the_idlest_engine():
    # After the loss of a data centre four prompts once met on the engine with least.
    directory = build(6)
    for number in range(1, 6):
        directory.find(f"s{number}").run_tokens = 12000
    chosen = {
        place(directory, seed=number, prompt_id=f"p{number}").server_id
        for number in range(6)
    }
    assert len(chosen) >= 3


def test_data_centre_with_a_fresh_loss_is_chosen_last():
    directory = build(6)
    directory.record_unreachable(directory.find("s0"), 10.0)
    usable = directory.list_usable("engines", 10.1)
    calm = directory.avoid_suspect_data_centres(usable, 10.1)
    assert {each.entry.data_centre for each in calm} == {"dc-b", "dc-c"}
    later = directory.avoid_suspect_data_centres(
        directory.list_usable("engines", 11.0), 11.0
    )
    assert "s3" in {each.server_id for each in later}


def test_all_data_centres_in_doubt_are_all_used():
    directory = build(3)
    for each in list(directory)[:3]:
        directory.record_unreachable(each, 10.0)
    directory.put(entry("s9", "dc-a"), 10.0)
    usable = directory.list_usable("engines", 10.1)
    assert directory.avoid_suspect_data_centres(usable, 10.1) == usable


# -- what is known of servers ----------------------------------------------


def test_lost_server_comes_back_one_request_at_a_time():
    backend = Backend(entry("s1"))
    backend.record_unreachable(10.0)
    assert not backend.is_usable(10.1)
    assert backend.is_usable(11.0)
    backend.in_flight = 1
    assert not backend.is_usable(11.0)
    backend.record_received(11.1)
    assert backend.is_usable(11.1)


def test_pauses_of_a_lost_server_grow_to_a_bound():
    backend = Backend(entry("s1"))
    now, pauses = 10.0, []
    for _ in range(6):
        backend.record_unreachable(now)
        pauses.append(backend.suspect_until - now)
        now = backend.suspect_until + 0.01
    assert pauses == sorted(pauses)
    assert pauses[0] < 0.5
    assert pauses[-1] == 3.0


def test_leaving_server_gets_nothing_new_and_keeps_its_state():
    directory = build(2)
    backend = directory.find("s0")
    backend.run_tokens = 5
    changed = directory.put(entry("s0", state=BackendState.LEAVING), 10.0)
    assert changed is backend
    assert [each.server_id for each in directory.list_usable("engines", 10.0)] == ["s1"]


def test_restarted_process_starts_without_history():
    directory = build(2)
    directory.find("s0").record_unreachable(10.0)
    again = directory.put(entry("s0", started_ms=2), 10.1)
    assert again.is_usable(10.1)


def test_entries_that_lapse_all_at_once_serve_on_for_a_moment():
    directory = build(2)
    directory.remove("s0", 10.0)
    directory.remove("s1", 10.0)
    assert len(directory.list_usable("engines", 10.5)) == 2
    assert directory.list_usable("engines", 12.0) == []


def test_removed_server_is_not_used_beside_listed_ones():
    directory = build(2)
    directory.remove("s0", 10.0)
    assert [each.server_id for each in directory.list_usable("engines", 10.1)] == ["s1"]


def test_short_requests_avoid_a_server_that_fails_them():
    directory = build(2)
    grey = directory.find("s0")
    for _ in range(10):
        grey.record_result(succeeded=False, latency_s=0.01)
    chosen = choose_backend(
        list(directory), data_centre="dc-a", now=10.0, rng=random.Random(1)
    )
    assert chosen.server_id == "s1"


def test_load_that_a_server_reports_counts_until_it_is_old():
    backend = Backend(entry("s0"))
    backend.in_flight = 2
    backend.record_load(6, 10.0)
    assert backend.estimate_load(10.0) == 6
    assert backend.estimate_load(12.0) == 2


# -- repeats ---------------------------------------------------------------


def test_repeats_of_all_instances_together_stay_under_the_bound():
    instances = [
        ServiceRetryBudget(ratio=0.8, window_s=10.0, slack=150.0) for _ in range(9)
    ]
    repeats = requests = 0
    for budget in instances:
        budget.instances = 9
        for _ in range(5):
            budget.record_request("engines", 1.0)
            requests += 1
        while budget.acquire_retry("engines", 2.0):
            repeats += 1
    assert 0 < repeats <= 0.8 * requests + 150


def test_budget_comes_back_with_the_window():
    budget = ServiceRetryBudget(ratio=0.0, window_s=10.0, slack=10.0)
    while budget.acquire_retry("s", 1.0):
        pass
    assert not budget.acquire_retry("s", 9.0)
    assert budget.acquire_retry("s", 12.0)


# -- silence ---------------------------------------------------------------


def test_stream_with_a_copy_is_left_while_the_pause_can_still_be_on_time():
    limits = compute_gap_limits(target_gap_s=0.7, longest_gap_s=0.02, has_copy=True)
    assert limits.resume_after_s == 0.35
    slow = compute_gap_limits(target_gap_s=0.7, longest_gap_s=0.2, has_copy=True)
    assert 0.35 < slow.resume_after_s <= 0.7


def test_stream_without_a_copy_waits_for_a_server_that_accepts_connections():
    limits = compute_gap_limits(target_gap_s=0.7, longest_gap_s=0.02, has_copy=False)
    assert limits.probe_after_s == 0.35
    assert limits.resume_after_s > 2.0


def test_first_event_is_waited_for_as_long_as_the_prompts_before_it_take():
    alone = compute_first_event_limits(target_latency_s=4.5, estimate_s=1.0)
    behind = compute_first_event_limits(target_latency_s=4.5, estimate_s=2.5)
    assert alone.probe_after_s < alone.resume_after_s
    assert behind.resume_after_s > 5.0
    assert behind.probe_after_s > 3.0


def test_prefill_rate_follows_what_is_observed():
    rate = PrefillRate()
    for _ in range(60):
        rate.record(4000, 1.0)
    assert 3900 < rate.tokens_per_s < 4200
    rate.record(0, 1.0)
    assert 1.8 < rate.estimate_s(8000) < 2.1


def learn(**options) -> StreamDurations:
    times = StreamDurations()
    values = {"first_event_s": 1.0, "rest_s": 8.0, "events": 120, **options}
    for _ in range(20):
        times.record(**values)
    return times


def test_nothing_is_ruled_out_before_an_answer_was_seen():
    times = StreamDurations()
    assert times.can_finish_in_time(
        remaining_s=0.01, events_delivered=0, has_copy=False
    )


def test_answers_shorter_than_usual_are_not_ruled_out():
    times = learn()
    assert times.can_finish_in_time(remaining_s=5.5, events_delivered=0, has_copy=False)
    assert not times.can_finish_in_time(
        remaining_s=5.3, events_delivered=0, has_copy=False
    )


def test_only_the_rest_of_an_answer_takes_time():
    times = learn()
    assert times.can_finish_in_time(
        remaining_s=3.1, events_delivered=60, has_copy=False
    )
    assert not times.can_finish_in_time(
        remaining_s=2.9, events_delivered=60, has_copy=False
    )
    assert times.can_finish_in_time(remaining_s=2.5, events_delivered=60, has_copy=True)
    assert times.can_finish_in_time(
        remaining_s=0.7, events_delivered=500, has_copy=False
    )


def test_requests_with_their_whole_time_are_never_ruled_out():
    # However slow the answers that came in time were: refusing all would leave
    # nothing to learn from.
    times = learn(first_event_s=2.0, streaming_s=3.0)
    assert times.can_finish_in_time(remaining_s=5.0, events_delivered=0, has_copy=False)


def test_prompt_that_can_be_on_time_goes_behind_others():
    assert is_prompt_admitted(waited_s=1.0, queue_s=3.0, target_s=4.5)
    assert not is_prompt_admitted(waited_s=1.0, queue_s=3.6, target_s=4.5)


def test_late_prompt_goes_only_where_none_is_read():
    assert is_prompt_admitted(waited_s=9.0, queue_s=0.0, target_s=4.5)
    assert not is_prompt_admitted(waited_s=9.0, queue_s=0.1, target_s=4.5)


def test_prompts_of_all_instances_are_counted():
    backend = build(1).find("s0")
    backend.prefill_tokens = 5000
    peers = {"s0": EngineUse(9000, 0, 8000)}
    assert count_queued_prefill_tokens(backend, peers) == 13000
