"""Passes new configurations on to other instances without filling the link."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from ebonyhaven_decisions import LinkLoad
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._frames import NNG_HEADER_BYTES, FrameKind, encode_json

LINK_SHARE = 0.5  # of the link at most; the rest is for callers and servers
MAX_LINK_WAIT_S = 0.05  # that configurations cause others, who wait a few times as long


class _Publication(NamedTuple):
    """Messages with the newest configuration, each None if it is not passed on."""

    state: object | None
    change: object | None
    state_bytes: int
    change_bytes: int


class ConfigurationFeed:
    """Sends the newest configuration to each instance of a group.

    An instance that takes changes gets the change from the configuration before, unless
    that one still waited to be sent to it. The others get all of it, one after the
    other within a share of the link; a newer one replaces what waits, and instances
    that have waited come first.

    Parameters
    ----------
    send : callable
        Sends a message to an instance, by name, kind and payload.
    reactor : IReactorTime
    link_bytes_per_s : float or None
        What the link of this instance carries; None if unknown.
    """

    def __init__(
        self,
        *,
        send: Callable[[str, FrameKind, Any], bool],
        reactor: IReactorTime,
        link_bytes_per_s: float | None = None,
    ):
        self._send = send
        self._reactor = reactor
        self._load = LinkLoad(LINK_SHARE * (link_bytes_per_s or math.inf))
        self._publication = _Publication(None, None, 0, 0)
        self._taking: dict[str, int] = {}  # incarnations of those that take changes
        self._waiting: dict[str, bool] = {}  # whether the change is enough, in order
        self._timer: Any = None

    def record_taking(self, name: str, incarnation: int) -> None:
        """Record that an instance takes changes.

        Parameters
        ----------
        name : str
        incarnation : int
            Of its process; the next one may be of another release.
        """
        self._taking[name] = incarnation

    def publish(
        self, state: object | None, change: object | None, group: Mapping[str, int]
    ) -> None:
        """Send a configuration to a group, in place of those that still wait.

        Parameters
        ----------
        state : object or None
            JSON value for `StateSource.merge`; None if it is too large.
        change : object or None
            JSON value for `StateSource.merge_change`; None if it is too large.
        group : mapping of str to int
            Incarnations of the receivers by name.
        """
        self._publication = _Publication(
            state, change, _measure_bytes(state), _measure_bytes(change)
        )
        self._taking = {
            name: incarnation
            for name, incarnation in self._taking.items()
            if group.get(name) == incarnation
        }
        behind = [name for name in self._waiting if name in group]
        self._waiting = dict.fromkeys(behind, False) | {
            name: change is not None and name in self._taking
            for name in group
            if name not in behind
        }
        self._send_waiting()

    def stop(self) -> None:
        """Send no more."""
        self._waiting.clear()
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _send_waiting(self) -> None:
        self._cancel_timer()
        now = self._reactor.seconds()
        while self._waiting:
            excess_s = self._load.measure_wait_s(now) - MAX_LINK_WAIT_S
            if excess_s > 0.0:
                self._timer = self._reactor.callLater(excess_s, self._send_waiting)
                return
            name = next(iter(self._waiting))
            self._send_to(name, is_change_enough=self._waiting.pop(name), now=now)

    def _send_to(self, name: str, *, is_change_enough: bool, now: float) -> None:
        state, change, state_bytes, change_bytes = self._publication
        if is_change_enough:
            kind, payload, size = FrameKind.CONFIGURATION_CHANGE, change, change_bytes
        else:
            kind, payload, size = FrameKind.STATE, state, state_bytes
        if payload is not None and self._send(name, kind, payload):
            self._load.record(size, now)


def _measure_bytes(payload: object | None) -> int:
    return len(encode_json(payload)) + NNG_HEADER_BYTES
