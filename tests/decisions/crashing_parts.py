"""Simulation of servers that crash when they begin a request with one part of prompts.

Each request has the shared parts of its route, and a content of its own. Those that
crash servers have another part in the place of one of these.
"""

from __future__ import annotations

import itertools
import random
from typing import NamedTuple

import attrs
from ebonyhaven_decisions.forwarding import CrashHistory, LossReport, Traits
from ebonyhaven_decisions.forwarding._crash_history import SETTLE_S

STEP_S = 0.05
BACK_AFTER_S = 2.0
FIRST_EVENT_S = 0.1
EARLY_S = 1.5  # in which a stream sends its first events
STREAM_S = 3.6
CRASHING_PART = "part crashing"
MAX_ATTEMPTS = 3
CONTACT_S = 3.0


class Load(NamedTuple):
    """What is sent.

    Parameters
    ----------
    shared_parts : int
        Number of parts that all sound requests have.
    place : int
        Of the part that crashes servers.
    crashing_interval_s, sound_interval_s : float
        Seconds between two requests of a kind.
    servers : int
    """

    shared_parts: int
    place: int
    crashing_interval_s: float = 1.5
    sound_interval_s: float = 0.25
    servers: int = 6


class Outcome(NamedTuple):
    """What became of the requests.

    Parameters
    ----------
    late_arrivals : int
        Of requests that crash servers, `CONTACT_S` after the fifth crash.
    sound_share : float
        Of sound requests from twice that time on that were sent to a server.
    crashes : int
    """

    late_arrivals: int
    sound_share: float
    crashes: int


@attrs.define(eq=False)
class Run:
    """Request at a server."""

    traits: Traits
    began_at: float
    attempts: int

    @property
    def is_crashing(self) -> bool:
        return CRASHING_PART in self.traits


class Simulation:
    """Servers, and the instance that sends them requests."""

    def __init__(self, load: Load, seed: int):
        self._load = load
        self._rng = random.Random(seed)
        self._history = CrashHistory()
        self._runs: list[list[Run]] = [[] for _ in range(load.servers)]
        self._back_at = [0.0] * load.servers
        self._numbers = itertools.count()
        self._waiting: list[tuple[float, Run]] = []
        self._crashes: list[float] = []
        self._arrivals: list[float] = []
        self._sound: list[tuple[float, bool]] = []

    def play(self, calm_s: float, crashing_s: float) -> Outcome:
        """Send sound requests, and after some time others beside them."""
        now, next_sound, next_crashing = 0.0, 0.0, calm_s
        while now < calm_s + crashing_s:
            now += STEP_S
            if now >= next_sound:
                next_sound += self._load.sound_interval_s * self._rng.uniform(0.5, 1.5)
                self._send_new(now, is_crashing=False)
            if now >= next_crashing:
                next_crashing += self._load.crashing_interval_s
                self._send_new(now, is_crashing=True)
            self._step(now)
        return self._judge()

    def _judge(self) -> Outcome:
        fifth = self._crashes[4] if len(self._crashes) >= 5 else self._crashes[-1]
        late = [each for each in self._arrivals if each > fifth + CONTACT_S]
        sound = [sent for at, sent in self._sound if at > fifth + 2 * CONTACT_S]
        return Outcome(len(late), sum(sound) / len(sound), len(self._crashes))

    def _send_new(self, now: float, *, is_crashing: bool) -> None:
        parts = [f"part {number}" for number in range(self._load.shared_parts)]
        if is_crashing:
            parts[self._load.place] = CRASHING_PART
        run = Run((*parts, f"content {next(self._numbers)}"), now, 0)
        is_sent = self._send(run, now)
        if not is_crashing:
            self._sound.append((now, is_sent))

    def _send(self, run: Run, now: float) -> bool:
        if self._history.find_blocked_trait(run.traits, now) is not None:
            return False
        up = [each for each, at in enumerate(self._back_at) if at <= now]
        if not up or run.attempts == MAX_ATTEMPTS:
            return False
        server = min(up, key=lambda each: (len(self._runs[each]), self._rng.random()))
        self._runs[server].append(Run(run.traits, now, run.attempts + 1))
        if run.is_crashing:
            self._arrivals.append(now)
        return True

    def _step(self, now: float) -> None:
        for server, runs in enumerate(self._runs):
            if any(
                each.is_crashing and now - each.began_at >= FIRST_EVENT_S
                for each in runs
            ):
                self._crash(server, now)
                continue
            for run in runs:
                if now - EARLY_S - STEP_S < run.began_at <= now - EARLY_S:
                    for trait in run.traits:
                        self._history.add_survival(trait, now)
            runs[:] = [each for each in runs if now - each.began_at < STREAM_S]
        due = [run for at, run in self._waiting if at <= now]
        self._waiting = [each for each in self._waiting if each[0] > now]
        for run in due:
            self._send(run, now)

    def _crash(self, server: int, now: float) -> None:
        runs, self._runs[server] = self._runs[server], []
        self._back_at[server] = now + BACK_AFTER_S
        self._crashes.append(now)
        early = tuple(each.traits for each in runs if now - each.began_at < EARLY_S)
        process = f"server {server} {now}"
        self._history.add(LossReport(process, f"dc-{server % 3}", 0.0, early), now)
        self._waiting += [(now + SETTLE_S, each) for each in runs]
