"""Orders, stages and servers for tests of roll-outs, and a replay of answers."""

from __future__ import annotations

import itertools
import random

from ebonyhaven_decisions.forwarding import (
    BackendDirectory,
    BackendEntry,
    BackendState,
)
from ebonyhaven_decisions.forwarding.rollouts import (
    EvidenceBoard,
    RolloutOrder,
    RolloutStage,
    RolloutState,
    VersionQuality,
)

SERVICE = "plain"
OLD, NEW = "v1", "v2"
ORDERED_AT_S = 1000.0
ORDER = RolloutOrder("o-1", SERVICE, NEW, 12.0, ORDERED_AT_S)
ROUTES = ("r0", "r1", "r2", "r3", "r4")
REQUESTS_PER_S = 90.0


def make_stage(share=0.1, state=RolloutState.IN_PROGRESS, **options) -> RolloutStage:
    values = {
        "order": ORDER,
        "state": state,
        "number": 1,
        "share": share,
        "started_at_s": ORDERED_AT_S,
        "valid_until_s": ORDERED_AT_S + 100.0,
        "decider": "n1",
        "reason": "",
        "old_versions": (OLD,),
    }
    return RolloutStage(**{**values, **options})


def put_server(directory, number, version, started_ms=1, now=0.0):
    return directory.put(
        BackendEntry(
            f"s-{number}",
            started_ms,
            SERVICE,
            f"10.0.0.{number}:80",
            "a",
            6,
            BackendState.READY,
            version,
        ),
        now,
    )


class RolloutClock:
    """The store's clock as an instance knows it."""

    def __init__(self, seconds: float | None = ORDERED_AT_S):
        self.seconds = seconds

    def read(self) -> float | None:
        return self.seconds


def make_directory(seed=1, clock=None, versions=(OLD, OLD, NEW, NEW)):
    directory = BackendDirectory()
    directory.rollouts._rng.seed(seed)
    directory.rollouts.read_store_time = (clock or RolloutClock()).read
    for number, version in enumerate(versions):
        put_server(directory, number, version)
    return directory


def make_board(stage=1, peers=(), active=None, earlier=None) -> EvidenceBoard:
    board = EvidenceBoard(
        count_in_flight=lambda service: active or {},
        list_peers=lambda: list(peers),
        read_stage_number=lambda service: stage,
    )
    board.follow(SERVICE, ORDER, earlier or {})
    return board


class AnswerReplay:
    """Answers of both versions to 90 requests a second on five routes.

    Parameters
    ----------
    seed : int
    share : float
        Of the requests to the new version.
    fails : callable
        Returns by route and time how likely an answer of the new version fails.
    factor : callable
        Returns by route and time by how much the new version is slower.
    old_failures : float
        Share of failures at the old version.
    """

    def __init__(
        self,
        seed,
        share=0.1,
        fails=lambda route, at: 0.0,
        factor=lambda route, at: 1.0,
        old_failures=0.0,
    ):
        self._rng = random.Random(seed)
        self.share = share
        self.fails = fails
        self._factor = factor
        self._old_failures = old_failures
        self.board = make_board()
        self.bad_answers = 0
        self.exposed = 0
        self.now = 0.0

    def run(self, until=12.0, judge_interval_s=0.25):
        """Return when the verdict was reached, and the verdict.

        A verdict that the version is sound doesn't end the replay: it has to last.
        """
        sound_at = None
        next_judgement = self.now + judge_interval_s
        while self.now < until:
            now = self.now = self.now + self._rng.expovariate(REQUESTS_PER_S)
            self._answer(now)
            if now < next_judgement:
                continue
            next_judgement += judge_interval_s
            verdict = self.board.judge(ORDER, (OLD,), now)
            if verdict.quality is VersionQuality.BAD:
                return now, verdict
            if verdict.quality is VersionQuality.SOUND and sound_at is None:
                sound_at = now
        return sound_at, verdict

    def _answer(self, now):
        route = self._rng.choice(ROUTES)
        is_new = self._rng.random() < self.share
        version = NEW if is_new else OLD
        self.board.record_sent(SERVICE, version, is_first=True)
        rate = self.fails(route, now) if is_new else 0.0
        is_failure = self._rng.random() < max(rate, self._old_failures)
        factor = self._factor(route, now) if is_new else 1.0
        self.exposed += is_new
        self.bad_answers += is_new and (is_failure or factor > 2.0)
        self.board.record(
            SERVICE,
            version,
            route,
            is_failure=is_failure,
            time_s=None if is_failure else factor * self._rng.gammavariate(4.0, 0.012),
        )


def count_verdicts(seeds, **options):
    """Return how many replays found the version bad."""
    verdicts = [AnswerReplay(seed, **options).run()[1] for seed in range(seeds)]
    return sum(each.quality is VersionQuality.BAD for each in verdicts)


def replay_exposure(seed, *, instances, restart_share, share=0.1, duration_s=12.0):
    """Return the requests of all instances, and how many reached the new version."""
    rng = random.Random(seed)
    numbers = itertools.count(seed * 100_000)

    def start():
        directory = make_directory(next(numbers))
        directory.rollouts.apply_stage(make_stage(share), 0.0)
        return directory

    directories = [start() for _ in range(instances)]
    requests = exposed = 0
    for _ in range(int(REQUESTS_PER_S * duration_s)):
        index = rng.randrange(instances)
        if rng.random() < restart_share:
            directories[index] = start()
        directory = directories[index]
        usable = directory.rollouts.list_due(directory.list_usable(SERVICE, 0.0))
        backend = rng.choice(usable)
        assert directory.rollouts.acquire(backend, 0.0)
        directory.rollouts.record_request(SERVICE)
        requests += 1
        exposed += backend.software_version == NEW
    return requests, exposed
