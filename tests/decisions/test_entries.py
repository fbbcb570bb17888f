from __future__ import annotations

import collections
import random

from ebonyhaven_decisions import EntryCandidate, choose_entries

RNG_SEED = 7


def make_candidate(name, *, data_centre="dc-a", region="r1", load=0.2):
    return EntryCandidate(name, f"{name}:1", data_centre, region, load)


def choose(candidates, rng=None, **options):
    rng = rng or random.Random(RNG_SEED)
    location = {"data_centre": "dc-a", "region": "r1"}
    return choose_entries(candidates, rng=rng, **location, **options)


def list_names(answer):
    return [entry.name for entry in answer.entries]


def test_near_instances_come_first_and_a_remote_one_last():
    near = [make_candidate(f"a{i}") for i in range(6)]
    remote = [make_candidate("b1", data_centre="dc-b")]
    names = list_names(choose(near + remote))
    assert len(names) == 4
    assert names[-1] == "b1"
    assert all(name.startswith("a") for name in names[:-1])


def test_overloaded_near_instance_comes_after_remote_ones():
    candidates = [
        make_candidate("a1", load=0.95),
        make_candidate("b1", data_centre="dc-b"),
        make_candidate("c1", data_centre="dc-c", region="r2"),
    ]
    assert list_names(choose(candidates)) == ["b1", "c1", "a1"]


def test_callers_are_spread_evenly_over_equal_instances():
    rng = random.Random(RNG_SEED)
    candidates = [make_candidate(f"a{i}") for i in range(6)]
    first_choices = collections.Counter(
        list_names(choose(candidates, rng))[0] for _ in range(6000)
    )
    assert max(first_choices.values()) <= 1.15 * 1000
    assert min(first_choices.values()) >= 0.85 * 1000


def test_idle_instance_gets_most_but_not_all_callers():
    rng = random.Random(RNG_SEED)
    candidates = [make_candidate("a0", load=0.0)]
    candidates += [make_candidate(f"a{i}", load=0.8) for i in range(1, 4)]
    first_choices = collections.Counter(
        list_names(choose(candidates, rng))[0] for _ in range(2000)
    )
    assert 0.5 <= first_choices["a0"] / 2000 <= 0.75


def test_keep_time_is_shorter_while_unstable_and_has_jitter():
    rng = random.Random(RNG_SEED)
    candidates = [make_candidate("a1")]
    stable = {choose(candidates, rng).keep_s for _ in range(50)}
    unstable = {choose(candidates, rng, is_stable=False).keep_s for _ in range(50)}
    assert max(unstable) < min(stable)
    assert len(stable) > 20


def test_no_candidates_give_an_empty_list():
    assert choose([]).entries == ()
