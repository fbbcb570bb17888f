"""Usage of workspaces, shared between instances as digests of bounded size.

Usage is the service consumed by requests, in decode tokens; see `compute_cost`. It
decays exponentially, so an idle workspace neither accumulates credit nor is charged
for old usage. All values are stored scaled to a common epoch (forward decay), so
their order does not change as time passes.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

import attrs

USAGE_DECAY_S = 20.0
REBASE_AFTER_S = 40 * USAGE_DECAY_S  # the epoch factor has reached exp(40) by then
MAX_DIGEST_ENTRIES = 16
MAX_PEERS = 32
PEER_TIMEOUT_S = 15.0
MIN_USAGE_TOKENS = 1.0
MEAN_CACHE_S = 0.25


class UsageEntry(NamedTuple):
    """Usage of one workspace in one class at one instance.

    Parameters
    ----------
    class_name, workspace : str
    tokens : float
        Decayed usage, decode tokens.
    queued_tokens : float
        Service of the queued requests, decode tokens.
    """

    class_name: str
    workspace: str
    tokens: float
    queued_tokens: float


UsageKey = tuple[str, str]


@attrs.define(slots=True)
class _Peer:
    seen_at: float
    usage: dict[UsageKey, float]
    queued: dict[UsageKey, float]


class UsageLedger:
    """Decayed usage of each class and workspace over all instances.

    Parameters
    ----------
    now : float
        Seconds.

    Attributes
    ----------
    instances : int
        Number of instances, including this one.
    rebases : int
        Number of times that the common epoch was moved.
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
        self._local: dict[UsageKey, float] = {}
        self._by_class: dict[str, float] = {}
        self._means: dict[str, tuple[float, float]] = {}
        self._remote: dict[UsageKey, float] = {}
        self._peers: dict[str, _Peer] = {}
        self.instances = 1
        self.rebases = 0

    def __len__(self) -> int:
        return len(self._local) + sum(len(peer.usage) for peer in self._peers.values())

    @property
    def remote_scale_factor(self) -> float:
        """Factor that scales the known digests to all other instances, at least 1."""
        return max(1.0, (self.instances - 1) / len(self._peers)) if self._peers else 1.0

    def charge(self, key: UsageKey, tokens: float, now: float) -> None:
        """Add usage on this instance; negative for a correction.

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
        usage = max(before + tokens * self._compute_epoch_factor(now), 0.0)
        self._local[key] = usage
        total = self._by_class.get(key[0], 0.0) + usage - before
        self._by_class[key[0]] = max(total, 0.0)

    def read(self, key: UsageKey) -> float:
        """Return the usage of a workspace, scaled to the common epoch.

        The values of two workspaces are comparable at any time; `read_tokens`
        returns the present number of tokens.
        """
        remote = self._remote.get(key, 0.0)
        return self._local.get(key, 0.0) + (
            remote * self.remote_scale_factor if remote else 0.0
        )

    def read_tokens(self, key: UsageKey, now: float) -> float:
        """Return the decayed usage at present, decode tokens."""
        return self.read(key) / self._compute_epoch_factor(now)

    def scale_to_epoch(self, tokens: float, now: float) -> float:
        """Scale present usage to the common epoch."""
        return tokens * self._compute_epoch_factor(now)

    def read_mean(self, class_name: str, now: float) -> float:
        """Return the mean usage of the active workspaces of a class.

        Parameters
        ----------
        class_name : str
        now : float
            Seconds.

        Returns
        -------
        float
            Value scaled to the common epoch, cached for `MEAN_CACHE_S`.
        """
        computed_at, mean = self._means.get(class_name, (-math.inf, 0.0))
        if now - computed_at < MEAN_CACHE_S:
            return mean
        minimum = MIN_USAGE_TOKENS * self._compute_epoch_factor(now)
        keys = {key for key in self._local if key[0] == class_name}
        keys.update(key for key in self._remote if key[0] == class_name)
        values = [usage for key in keys if (usage := self.read(key)) >= minimum]
        mean = sum(values) / len(values) if values else 0.0
        self._means[class_name] = (now, mean)
        return mean

    def read_class_usage(self, class_name: str) -> float:
        """Return the usage of a class on this instance, scaled to the common epoch."""
        return self._by_class.get(class_name, 0.0)

    def build_digest(
        self,
        queued: dict[UsageKey, float],
        now: float,
        random_source: random.Random,
    ) -> list[UsageEntry]:
        """Return the most relevant entries for other instances.

        Backlogged workspaces come first, then those with the highest usage. Ties are
        broken at random, so that successive digests cover all of them.

        Parameters
        ----------
        queued : dict of tuple to float
            Decode tokens queued on this instance, by class and workspace.
        now : float
            Seconds.
        random_source : random.Random

        Returns
        -------
        list of UsageEntry
            At most `MAX_DIGEST_ENTRIES`.
        """
        self._drop_decayed(now)
        scale = self._compute_epoch_factor(now)
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
        """Replace the last digest of another instance by a new one.

        Parameters
        ----------
        peer : str
        entries : sequence of UsageEntry
        now : float
            Seconds.
        """
        scale = self._compute_epoch_factor(now)
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
        """Remove instances that have sent no digest for `PEER_TIMEOUT_S`."""
        silent = [
            name
            for name, peer in self._peers.items()
            if now - peer.seen_at > PEER_TIMEOUT_S
        ]
        for name in silent:
            del self._peers[name]
        if silent:
            self._sum_remote()

    def find_min_remote_usage(self, class_name: str) -> float:
        """Return the minimum usage of the workspaces queued at other instances.

        Parameters
        ----------
        class_name : str

        Returns
        -------
        float
            Value scaled to the common epoch; infinite when no workspace is queued.
        """
        queued_keys = {
            key
            for peer in self._peers.values()
            for key in peer.queued
            if key[0] == class_name
        }
        return min((self.read(key) for key in queued_keys), default=math.inf)

    def _compute_epoch_factor(self, now: float) -> float:
        return math.exp((now - self._epoch) / USAGE_DECAY_S)

    def _rebase(self, now: float) -> None:
        scale = 1.0 / self._compute_epoch_factor(now)
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

    def _drop_decayed(self, now: float) -> None:
        minimum = MIN_USAGE_TOKENS * self._compute_epoch_factor(now)
        self._local = {
            key: value for key, value in self._local.items() if value >= minimum
        }
