"""Service consumed by workspaces, shared between instances as bounded digests.

Consumption fades exponentially, so an idle workspace neither saves up service nor
pays for long ago. All values are kept as they would be at a common epoch, which
leaves their order unchanged as time passes.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

import attrs

USAGE_DECAY_S = 20.0
REBASE_AFTER_S = 40 * USAGE_DECAY_S
MAX_DIGEST_ENTRIES = 16
MAX_PEERS = 32
PEER_TIMEOUT_S = 15.0
MIN_USAGE_TOKENS = 1.0
MEAN_PERIOD_S = 0.25


class UsageEntry(NamedTuple):
    """Consumption of one workspace in one class at one instance.

    Parameters
    ----------
    class_name, workspace : str
    tokens : float
        Faded service consumed, decode tokens.
    queued_tokens : float
        Service that waits in the queue, decode tokens.
    """

    class_name: str
    workspace: str
    tokens: float
    queued_tokens: float


Key = tuple[str, str]


@attrs.define(slots=True)
class _Peer:
    seen_at: float
    usage: dict[Key, float]
    queued: dict[Key, float]


class UsageLedger:
    """Faded consumption of each class and workspace over all instances.

    Parameters
    ----------
    now : float
        Seconds.
    """

    __slots__ = (
        "_by_class",
        "_epoch",
        "_local",
        "_means",
        "_peers",
        "_remote",
        "instances",
        "rebases",
    )

    def __init__(self, now: float) -> None:
        self._epoch = now
        self._local: dict[Key, float] = {}
        self._by_class: dict[str, float] = {}
        self._means: dict[str, tuple[float, float]] = {}
        self._remote: dict[Key, float] = {}
        self._peers: dict[str, _Peer] = {}
        self.instances = 1
        self.rebases = 0

    def __len__(self) -> int:
        return len(self._local) + sum(len(peer.usage) for peer in self._peers.values())

    @property
    def peer_scale(self) -> float:
        """Other instances for each one whose digest is held."""
        return max(1.0, (self.instances - 1) / len(self._peers)) if self._peers else 1.0

    def charge(self, key: Key, tokens: float, now: float) -> None:
        """Add service that was consumed here; negative for a correction.

        Parameters
        ----------
        key : tuple of str
            Class and workspace.
        tokens : float
            Decode tokens.
        now : float
            Seconds.
        """
        if now - self._epoch > REBASE_AFTER_S:
            self._rebase(now)
        before = self._local.get(key, 0.0)
        usage = max(before + tokens * self._inflate(now), 0.0)
        self._local[key] = usage
        total = self._by_class.get(key[0], 0.0) + usage - before
        self._by_class[key[0]] = max(total, 0.0)

    def read(self, key: Key) -> float:
        """Return the consumption of a workspace at the common epoch.

        The values of two workspaces compare at any time; `read_tokens` gives the
        tokens at present.
        """
        remote = self._remote.get(key, 0.0)
        return self._local.get(key, 0.0) + (remote * self.peer_scale if remote else 0.0)

    def read_tokens(self, key: Key, now: float) -> float:
        """Return the faded consumption at present, decode tokens."""
        return self.read(key) / self._inflate(now)

    def inflate(self, tokens: float, now: float) -> float:
        """Return tokens consumed now as a value at the common epoch."""
        return tokens * self._inflate(now)

    def read_mean(self, class_name: str, now: float) -> float:
        """Return the mean consumption of the active workspaces of a class.

        Parameters
        ----------
        class_name : str
        now : float
            Seconds.

        Returns
        -------
        float
            At the common epoch; recomputed every `MEAN_PERIOD_S`.
        """
        computed_at, mean = self._means.get(class_name, (-math.inf, 0.0))
        if now - computed_at < MEAN_PERIOD_S:
            return mean
        least = MIN_USAGE_TOKENS * self._inflate(now)
        keys = {key for key in self._local if key[0] == class_name}
        keys.update(key for key in self._remote if key[0] == class_name)
        values = [usage for key in keys if (usage := self.read(key)) >= least]
        mean = sum(values) / len(values) if values else 0.0
        self._means[class_name] = (now, mean)
        return mean

    def sum_class(self, class_name: str) -> float:
        """Return the consumption of a class here, at the common epoch."""
        return self._by_class.get(class_name, 0.0)

    def build_digest(
        self,
        queued: dict[Key, float],
        now: float,
        random_source: random.Random,
    ) -> list[UsageEntry]:
        """Return the entries that the other instances need most.

        Backlogged workspaces come first, then the largest consumers; a tie is
        broken at random, so that successive digests cover them all.

        Parameters
        ----------
        queued : dict of tuple to float
            Decode tokens that wait here, by class and workspace.
        now : float
            Seconds.
        random_source : random.Random

        Returns
        -------
        list of UsageEntry
            At most `MAX_DIGEST_ENTRIES`.
        """
        self._drop_faded(now)
        scale = self._inflate(now)
        keys = set(self._local) | set(queued)
        ranked = sorted(
            keys,
            key=lambda key: (
                queued.get(key, 0.0) <= 0.0,
                -self._local.get(key, 0.0),
                random_source.random(),
            ),
        )
        return [
            UsageEntry(*key, self._local.get(key, 0.0) / scale, queued.get(key, 0.0))
            for key in ranked[:MAX_DIGEST_ENTRIES]
        ]

    def merge_digest(
        self, peer: str, entries: Sequence[UsageEntry], now: float
    ) -> None:
        """Take over the digest of another instance in place of its last one.

        Parameters
        ----------
        peer : str
        entries : sequence of UsageEntry
        now : float
            Seconds.
        """
        scale = self._inflate(now)
        usage = {}
        queued = {}
        for entry in entries[:MAX_DIGEST_ENTRIES]:
            key = (entry.class_name, entry.workspace)
            usage[key] = max(entry.tokens, 0.0) * scale
            if entry.queued_tokens > 0.0:
                queued[key] = entry.queued_tokens
        self._peers.pop(peer, None)
        self._peers[peer] = _Peer(now, usage, queued)
        while len(self._peers) > MAX_PEERS:
            del self._peers[next(iter(self._peers))]
        self.drop_silent_peers(now)
        self._sum_remote()

    def drop_silent_peers(self, now: float) -> None:
        """Forget the instances that sent no digest for `PEER_TIMEOUT_S`."""
        silent = [
            name
            for name, peer in self._peers.items()
            if now - peer.seen_at > PEER_TIMEOUT_S
        ]
        for name in silent:
            del self._peers[name]
        if silent:
            self._sum_remote()

    def find_least_remote(self, class_name: str) -> float:
        """Return the least consumption of a workspace that waits elsewhere.

        Parameters
        ----------
        class_name : str

        Returns
        -------
        float
            At the common epoch; infinite when none waits.
        """
        waiting = {
            key
            for peer in self._peers.values()
            for key in peer.queued
            if key[0] == class_name
        }
        return min((self.read(key) for key in waiting), default=math.inf)

    def _inflate(self, now: float) -> float:
        return math.exp((now - self._epoch) / USAGE_DECAY_S)

    def _rebase(self, now: float) -> None:
        scale = 1.0 / self._inflate(now)
        self._epoch = now
        self.rebases += 1
        self._means.clear()
        self._by_class = {key: value * scale for key, value in self._by_class.items()}
        self._local = {key: value * scale for key, value in self._local.items()}
        for peer in self._peers.values():
            peer.usage = {key: value * scale for key, value in peer.usage.items()}
        self._sum_remote()

    def _sum_remote(self) -> None:
        self._remote = {}
        for peer in self._peers.values():
            for key, value in peer.usage.items():
                self._remote[key] = self._remote.get(key, 0.0) + value

    def _drop_faded(self, now: float) -> None:
        least = MIN_USAGE_TOKENS * self._inflate(now)
        self._local = {
            key: value for key, value in self._local.items() if value >= least
        }
