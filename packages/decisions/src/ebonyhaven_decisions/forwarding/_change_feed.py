"""Which instances read the server list, and when the others read it themselves.

Designed for many instances and a list that changes several times a second: if each
instance polled the store, its calls would grow with instances times changes. One
instance of a group reads, and passes the changes on to the others. If it falls silent,
a few standby readers take over one after the other, so that the loss of a reader does
not have the whole group poll the store either.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

import attrs

from ebonyhaven_decisions._rendezvous import choose_instances

# Lapses of a reader are bridged well within the time in which a leaving server has to
# be avoided (two seconds), including one slow read.
MIN_FEED_TIMEOUT_S = 0.6
MAX_FEED_TIMEOUT_S = 1.0
FEED_TIMEOUT_INTERVALS = 3.0  # of the average interval between messages
SMOOTHING_FACTOR = 0.2
STANDBY_READERS = 4  # that pass on what they read while the reader is silent
# A clock that went back by more was started anew; responses are late by less.
CLOCK_RESET_S = 5.0
CLOCK_MEMORY_S = 300.0  # in which two clocks drift by little
MAX_RECENT_CHANGES = 1024
STANDBY_DELAY_S = 0.15  # exceeds the time of a poll that returns at once


def find_reader_rank(name: str, instances: Iterable[str]) -> int:
    """Return the place of an instance in the order of the readers of its group.

    Parameters
    ----------
    name : str
    instances : iterable of str
        Names of the live instances of the group.

    Returns
    -------
    int
        0 for the reader, 1 to `STANDBY_READERS` for its standbys, and their number,
        the reader included, for all others. By rendezvous hashing, the same on every
        instance with the same view.
    """
    order = list_readers(instances)
    return order.index(name) if name in order else len(order)


def list_readers(instances: Iterable[str]) -> list[str]:
    """Return the reader of a group and its standbys, in their order.

    Parameters
    ----------
    instances : iterable of str
        Names of the live instances of the group.
    """
    return choose_instances("reader", instances, 1 + STANDBY_READERS)


@attrs.define(slots=True)
class ChangeFeed:
    """Messages in which another instance passes on what it reads, and their interval.

    A feed that stops tells nothing about its reason: the reader may be lost or cut off
    from the store. In each case, this instance polls the store until it continues.

    Attributes
    ----------
    received_at : float
        Time at which the reader read what it passed on last, seconds.
    interval_s : float
        Moving average of the time between two messages.
    """

    received_at: float = -math.inf
    interval_s: float = 0.0

    def record_message(self, now: float) -> None:
        """Record that the reader passed on the result of a poll.

        Parameters
        ----------
        now : float
            Time of the poll, seconds. A message that was on its way for long says
            nothing of what came after it.
        """
        if now <= self.received_at:
            return
        elapsed_s = min(MAX_FEED_TIMEOUT_S, now - self.received_at)
        self.interval_s += SMOOTHING_FACTOR * (elapsed_s - self.interval_s)
        self.received_at = now

    def reset(self) -> None:
        """Record that a change was missed; the store has to be read."""
        self.received_at = -math.inf

    def compute_pause_s(self, now: float, rank: int = 1) -> float:
        """Return the time until this instance has to poll the store itself.

        Parameters
        ----------
        now : float
            Seconds.
        rank : int
            See `find_reader_rank`; a standby waits for those before it.

        Returns
        -------
        float
            0 if a poll is due.
        """
        timeout_s = FEED_TIMEOUT_INTERVALS * self.interval_s
        timeout_s = min(MAX_FEED_TIMEOUT_S, max(MIN_FEED_TIMEOUT_S, timeout_s))
        timeout_s += STANDBY_DELAY_S * max(0, rank - 1)
        return max(0.0, self.received_at + timeout_s - now)


class RecentChanges:
    """Versions of the newest changes of entries, to check messages against.

    A message leaves out what is the same at its end as at its beginning. To an instance
    that knows a change in between, it does not tell that this change was undone.
    """

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}  # by server, oldest first
        self._forgotten = 0

    def record(self, server_id: str, version: int) -> None:
        """Record that an entry changed.

        Parameters
        ----------
        server_id : str
        version : int
            Of the change.
        """
        self._versions.pop(server_id, None)
        self._versions[server_id] = version
        if len(self._versions) > MAX_RECENT_CHANGES:
            oldest = next(iter(self._versions))
            self._forgotten = max(self._forgotten, self._versions.pop(oldest))

    def record_list(
        self, before: Mapping[str, object], after: Mapping[str, object], version: int
    ) -> None:
        """Record what changed between two lists.

        Parameters
        ----------
        before, after : mapping of str to object
            Entries by server.
        version : int
            Of the list after.
        """
        for server_id in before.keys() | after.keys():
            if before.get(server_id) != after.get(server_id):
                self.record(server_id, version)

    def has_others(self, after: int, server_ids: Collection[str]) -> bool:
        """Return whether other entries than those of a message changed since its start.

        Parameters
        ----------
        after : int
            Version after which the message holds changes.
        server_ids : collection of str
            Servers whose changes it holds.
        """
        if after < self._forgotten:
            return True
        return any(
            version > after and server_id not in server_ids
            for server_id, version in self._versions.items()
        )


@attrs.define(slots=True)
class MessageAges:
    """Ages of messages that name the time of the store's clock at which they were read.

    The difference between the store's clock and the own one is learned from responses
    and messages. Each is late by the time that it was on its way, so that the greatest
    difference is the nearest to the truth. As clocks drift, it is forgotten after one
    to two times `CLOCK_MEMORY_S`.
    """

    _offset_s: float | None = None
    _recent_offset_s: float = -math.inf  # since the last start of a new memory
    _began_at: float = -math.inf

    def record_read(self, read_at_s: float, now: float) -> None:
        """Record a response of the store to this instance.

        Parameters
        ----------
        read_at_s : float
            Time of the store's clock in the response, seconds.
        now : float
            Seconds of the own clock.
        """
        offset_s = read_at_s - now
        if self._offset_s is not None and self._offset_s - offset_s > CLOCK_RESET_S:
            self._offset_s = None
        self._learn(offset_s, now)

    def measure_age_s(self, read_at_s: float | None, now: float) -> float:
        """Return the time since the store answered the reader.

        Parameters
        ----------
        read_at_s : float or None
            Time of the store's clock in the message, seconds; None if it names none.
        now : float
            Seconds of the own clock.

        Returns
        -------
        float
            Seconds; 0 if unknown.
        """
        if read_at_s is None:
            return 0.0
        offset_s = read_at_s - now
        self._learn(offset_s, now)
        return self._offset_s - offset_s

    def _learn(self, offset_s: float, now: float) -> None:
        if self._offset_s is None:
            self._offset_s = self._recent_offset_s = offset_s
            self._began_at = now
        elif now - self._began_at > CLOCK_MEMORY_S:
            self._offset_s = max(self._recent_offset_s, offset_s)
            self._recent_offset_s = offset_s
            self._began_at = now
        else:
            self._offset_s = max(self._offset_s, offset_s)
            self._recent_offset_s = max(self._recent_offset_s, offset_s)
