"""Engines that come back one by one while streams wait at many instances."""

from __future__ import annotations

import random

from ebonyhaven_decisions.forwarding.waiting import (
    PeerRanks,
    RankNews,
    ScarceRoom,
    count_places,
)
from ebonyhaven_decisions.forwarding.waiting._scarce_room import ROUND_S

INSTANCES = 67
WAITING = 4  # at each instance


def take_places(rooms, *, places, waiting, now, rng) -> int:
    """Return how many streams all instances send, each of whose streams asks."""
    total = sum(waiting)
    sent = 0
    for index, room in enumerate(rooms):
        for _ in range(waiting[index]):
            sent += room.acquire(
                places=places,
                waiting_here=waiting[index],
                waiting_elsewhere=total - waiting[index],
                now=now,
                rng=rng,
            )
    return sent


def test_one_engine_that_comes_back_is_not_sent_the_streams_of_all_instances():
    # Guards against an engine with room for 5 prompts that was sent 118 to 179 at the
    # moment at which it came back, as 67 instances saw it before any report.
    for seed in range(50):
        rng = random.Random(seed)
        rooms = [ScarceRoom() for _ in range(INSTANCES)]
        waiting = [WAITING] * INSTANCES
        sent = take_places(rooms, places=5, waiting=waiting, now=10.0, rng=rng)
        assert sent <= 3 * 5
        again = take_places(
            rooms, places=5, waiting=waiting, now=10.0 + ROUND_S / 2, rng=rng
        )
        assert again == 0  # reports of the round are under way


def test_room_that_comes_back_is_used():
    rng = random.Random(1)
    rooms = [ScarceRoom() for _ in range(INSTANCES)]
    waiting = [WAITING] * INSTANCES
    rounds = 40
    sent = [
        take_places(rooms, places=5, waiting=waiting, now=step * ROUND_S, rng=rng)
        for step in range(rounds)
    ]
    assert 0.8 * 5 < sum(sent) / rounds < 1.2 * 5


def test_an_instance_with_many_waiting_streams_takes_more_of_the_room():
    rng = random.Random(2)
    rooms = [ScarceRoom() for _ in range(10)]
    waiting = [20, *[1] * 9]
    sent = [0, 0]
    for step in range(100):
        for index, room in enumerate(rooms):
            for _ in range(waiting[index]):
                sent[index > 0] += room.acquire(
                    places=6,
                    waiting_here=waiting[index],
                    waiting_elsewhere=sum(waiting) - waiting[index],
                    now=step * ROUND_S,
                    rng=rng,
                )
    assert 1.6 < sent[0] / sent[1] < 3.0


def test_room_for_all_is_taken_at_once():
    room = ScarceRoom()
    for _ in range(WAITING):
        assert room.acquire(
            places=20,
            waiting_here=4,
            waiting_elsewhere=16,
            now=1.0,
            rng=random.Random(),
        )


def test_places_are_bound_by_memory_and_by_the_time_that_is_left():
    def count(**changes) -> int:
        values = {
            "free_tokens": 45_000,
            "tokens": 9000,
            "queue_s": 0.0,
            "prompt_s": 1.0,
            "remaining_s": 10.0,
        }
        return count_places(**{**values, **changes})

    assert count() == 5
    assert count(remaining_s=3.5) == 3
    assert count(remaining_s=3.5, queue_s=1.0) == 2
    assert count(remaining_s=-1.0) == 1


def test_streams_of_instances_that_are_not_heard_are_estimated():
    peers = PeerRanks()
    assert peers.estimate_waiting(INSTANCES, 1.0) == 0.0
    for each in range(16):
        peers.record(f"n{each}", [RankNews(waiting=2)], 1.0)
    assert peers.estimate_waiting(INSTANCES, 1.0) == 2 * (INSTANCES - 1)
    assert peers.estimate_waiting(INSTANCES, 60.0) == 0.0
