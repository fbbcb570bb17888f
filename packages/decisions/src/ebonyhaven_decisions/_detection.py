"""Silence of watched instances: when to ask others and when to suspect."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

SILENCE_S = 1.0
CONFIRMATION_S = 0.6
FRESH_S = 0.6


@dataclasses.dataclass(slots=True)
class _Watch:
    heard_at: float
    direct_at: float
    asked_at: float | None = None
    expected: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Findings:
    """What a check of the watched instances found.

    Parameters
    ----------
    silent : tuple of str
        Instances that fell silent; they are to be probed and asked about.
    unconfirmed : tuple of str
        Instances of which neither a probe nor the others gave a sign of life.
    """

    silent: tuple[str, ...]
    unconfirmed: tuple[str, ...]


class Detector:
    """Tracks when each watched instance was last heard.

    Parameters
    ----------
    silence_s : float
        Seconds without a heartbeat after which others are asked.
    confirmation_s : float
        Seconds that the answers may take.
    """

    __slots__ = ("_confirmation_s", "_heard_any_at", "_silence_s", "_watches")

    def __init__(
        self,
        *,
        silence_s: float = SILENCE_S,
        confirmation_s: float = CONFIRMATION_S,
    ):
        self._silence_s = silence_s
        self._confirmation_s = confirmation_s
        self._watches: dict[str, _Watch] = {}
        self._heard_any_at = float("-inf")

    def set_expected(self, names: Iterable[str], now: float) -> None:
        """Set whose heartbeats are expected.

        Parameters
        ----------
        names : iterable of str
        now : float
            Present time in seconds.
        """
        expected = set(names)
        for name, watch in self._watches.items():
            watch.expected = name in expected
        for name in expected - self._watches.keys():
            self._watches[name] = _Watch(now, now, expected=True)

    def hear(self, name: str, now: float, *, heartbeat: bool = False) -> None:
        """Record a sign of life.

        Parameters
        ----------
        name : str
            The instance that is alive.
        now : float
            Present time in seconds.
        heartbeat : bool
            Whether it was a heartbeat; its sender is watched from then on.
        """
        watch = self._watches.get(name)
        if watch is None:
            if heartbeat:
                self._watches[name] = _Watch(now, now)
            return
        watch.heard_at = now
        watch.direct_at = now
        watch.asked_at = None
        if not heartbeat and not watch.expected:
            del self._watches[name]

    def hear_indirectly(self, name: str, now: float) -> None:
        """Record that another instance lately heard an instance.

        Such a sign is not passed on, or else two watchers could confirm a dead
        instance to each other for ever.

        Parameters
        ----------
        name : str
            The instance that is alive.
        now : float
            Present time in seconds.
        """
        watch = self._watches.get(name)
        if watch is not None:
            watch.heard_at = now
            watch.asked_at = None

    def hear_any(self, now: float) -> None:
        """Record that some message arrived.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._heard_any_at = now

    def drop(self, name: str) -> None:
        """Stop watching an instance.

        Parameters
        ----------
        name : str
        """
        self._watches.pop(name, None)

    def hears(self, name: str, now: float) -> bool:
        """Return whether an instance itself was heard lately.

        Parameters
        ----------
        name : str
        now : float
            Present time in seconds.

        Returns
        -------
        bool
        """
        watch = self._watches.get(name)
        return watch is not None and now - watch.direct_at < FRESH_S

    def is_isolated(self, now: float) -> bool:
        """Return whether no message arrived from anybody for a while.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False while nobody is watched.
        """
        limit_s = self._silence_s
        return bool(self._watches) and now - self._heard_any_at >= limit_s

    def pardon(self, now: float) -> None:
        """Count everybody as just heard, after a pause of this process.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        for watch in self._watches.values():
            watch.heard_at = now
            watch.asked_at = None

    def check(self, now: float) -> Findings:
        """Find instances that are silent and those that stayed so.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        Findings
        """
        silent = []
        unconfirmed = []
        for name, watch in self._watches.items():
            if now - watch.heard_at < self._silence_s:
                continue
            if watch.asked_at is None:
                watch.asked_at = now
                silent.append(name)
            elif now - watch.asked_at >= self._confirmation_s:
                watch.asked_at = now
                unconfirmed.append(name)
        return Findings(silent=tuple(silent), unconfirmed=tuple(unconfirmed))
