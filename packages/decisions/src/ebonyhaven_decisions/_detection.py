"""Failure detection: which watched instances are silent or to be suspected."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

SILENCE_TIMEOUT_S = 1.0
CONFIRMATION_TIMEOUT_S = 0.6
RECENTLY_HEARD_S = 0.6


@dataclasses.dataclass(slots=True)
class _WatchedInstance:
    heard_at: float
    heard_directly_at: float
    queried_at: float | None = None
    expected: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DetectionResult:
    """Result of a check of the watched instances.

    Parameters
    ----------
    silent : tuple of str
        Instances whose silence timeout expired; probe them and query their other
        watchers.
    unconfirmed : tuple of str
        Silent instances that neither answered the probe nor were confirmed alive by
        another instance in time.
    """

    silent: tuple[str, ...]
    unconfirmed: tuple[str, ...]


class FailureDetector:
    """Tracks when each watched instance was last known to be alive.

    Parameters
    ----------
    silence_timeout_s : float
        Seconds without a message or an indirect confirmation after which an
        instance counts as silent.
    confirmation_timeout_s : float
        Seconds that a probe or query may take to confirm that it is alive.
    """

    __slots__ = (
        "_confirmation_timeout_s",
        "_last_message_at",
        "_silence_timeout_s",
        "_watched",
    )

    def __init__(
        self,
        *,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
        confirmation_timeout_s: float = CONFIRMATION_TIMEOUT_S,
    ):
        self._silence_timeout_s = silence_timeout_s
        self._confirmation_timeout_s = confirmation_timeout_s
        self._watched: dict[str, _WatchedInstance] = {}
        self._last_message_at = float("-inf")

    def set_expected(self, names: Iterable[str], now: float) -> None:
        """Set the instances whose heartbeats are expected.

        Parameters
        ----------
        names : iterable of str
        now : float
            Current time in seconds.
        """
        expected = set(names)
        for name, watch in self._watched.items():
            watch.expected = name in expected
        for name in expected - self._watched.keys():
            self._watched[name] = _WatchedInstance(now, now, expected=True)

    def record_message(self, name: str, now: float, *, heartbeat: bool = False) -> None:
        """Record a message from an instance.

        Parameters
        ----------
        name : str
            Name of the sender.
        now : float
            Current time in seconds.
        heartbeat : bool
            Whether it was a heartbeat. Its sender is watched from now on; any other
            message ends the watch of an instance whose heartbeats are not expected.
        """
        watch = self._watched.get(name)
        if watch is None:
            if heartbeat:
                self._watched[name] = _WatchedInstance(now, now)
            return
        watch.heard_at = now
        watch.heard_directly_at = now
        watch.queried_at = None
        if not heartbeat and not watch.expected:
            del self._watched[name]

    def record_indirect_confirmation(self, name: str, now: float) -> None:
        """Record that another instance confirmed an instance to be alive.

        Indirect confirmations don't count in `heard_recently`: two watchers could
        otherwise confirm a dead instance to each other forever.

        Parameters
        ----------
        name : str
            Name of the instance that is alive.
        now : float
            Current time in seconds.
        """
        watch = self._watched.get(name)
        if watch is not None:
            watch.heard_at = now
            watch.queried_at = None

    def record_traffic(self, now: float) -> None:
        """Record that a message arrived from any instance.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._last_message_at = now

    def stop_watching(self, name: str) -> None:
        """Stop watching an instance.

        Parameters
        ----------
        name : str
        """
        self._watched.pop(name, None)

    def heard_recently(self, name: str, now: float) -> bool:
        """Return whether an instance itself sent a message recently.

        Parameters
        ----------
        name : str
        now : float
            Current time in seconds.

        Returns
        -------
        bool
        """
        watch = self._watched.get(name)
        return watch is not None and now - watch.heard_directly_at < RECENTLY_HEARD_S

    def is_isolated(self, now: float) -> bool:
        """Return whether no message arrived from any instance for the silence timeout.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False while no instance is watched.
        """
        limit_s = self._silence_timeout_s
        return bool(self._watched) and now - self._last_message_at >= limit_s

    def restart_timeouts(self, now: float) -> None:
        """Restart all silence timeouts after a pause of this process.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        for watch in self._watched.values():
            watch.heard_at = now
            watch.queried_at = None

    def check(self, now: float) -> DetectionResult:
        """Find the instances that are silent and those that stay unconfirmed.

        Each instance is returned once as silent; afterwards it is returned as
        unconfirmed each time the confirmation timeout expires.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        DetectionResult
        """
        silent = []
        unconfirmed = []
        for name, watch in self._watched.items():
            if now - watch.heard_at < self._silence_timeout_s:
                continue
            if watch.queried_at is None:
                watch.queried_at = now
                silent.append(name)
            elif now - watch.queried_at >= self._confirmation_timeout_s:
                watch.queried_at = now
                unconfirmed.append(name)
        return DetectionResult(silent=tuple(silent), unconfirmed=tuple(unconfirmed))
