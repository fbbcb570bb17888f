"""Comparison of configuration and server list between instances."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog
from ebonyhaven_decisions import check_integer
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._digests import Digest
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding.interfaces import StateSource, StateVersion

CONFIGURATION_DELAY_S = 0.25  # all polls return within milliseconds of a change
STATE_REQUEST_INTERVAL_S = 0.4  # between any two requests, whichever the peers
# Between any two answers: a whole state may be tens of kilobytes, and several peers ask
# at once when the store fails. They ask others if there is no answer.
STATE_ANSWER_INTERVAL_S = 0.25

_log = structlog.get_logger()


class _MissingConfiguration(NamedTuple):
    peer: str
    version: int


class StateVersionDigest(Digest):
    """Adds the versions of this instance's state to each heartbeat.

    Parameters
    ----------
    source : StateSource
    on_versions : callable
        Called with the name of a peer and its `StateVersion`.
    """

    code = "v"
    has_priority = True

    def __init__(
        self,
        source: StateSource,
        on_versions: Callable[[str, StateVersion], None],
    ):
        self._source = source
        self._on_versions = on_versions

    def collect(self, budget_bytes: int) -> list[int]:
        """See `Digest.collect`."""
        return list(self._source.read_version())

    def merge(self, sender: str, payload: Any) -> None:
        """See `Digest.merge`."""
        configuration, era, servers = payload
        version = StateVersion(*map(check_integer, (configuration, era, servers)))
        self._on_versions(sender, version)


class StateSynchronizer:
    """Compares the versions of peers with the own state and fetches what is newer.

    While the store is unresponsive, peers are asked for their state. Otherwise the
    configuration is read again: a poll that did not return it may wait on a connection
    that has fallen silent. If the store itself holds an older one, as it was restored
    from a copy, the peer is asked.

    Parameters
    ----------
    source : StateSource
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        source: StateSource,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._source = source
        self._membership = membership
        self._reactor = reactor
        self._clock = clock
        self._refresh_timer: Any = None
        self._missing = _MissingConfiguration("", 0)  # the newest one
        self._requested_at = -STATE_REQUEST_INTERVAL_S
        self._answered_at = -STATE_ANSWER_INTERVAL_S
        self._refreshed_for = 0  # newest version for which the store was read again
        self._unready: set[str] = set()
        membership.add_digest(StateVersionDigest(source, self._handle_versions))
        channels.subscribe(FrameKind.STATE_REQUEST, self._handle_state_request)
        channels.subscribe(FrameKind.STATE, self._handle_state)
        channels.subscribe(FrameKind.CONFIGURATION_CHANGE, self._handle_change)

    def _handle_versions(self, sender: str, versions: StateVersion) -> None:
        own = self._source.read_version()
        self._update_readiness(sender, versions)
        is_newer = (
            versions.configuration > own.configuration
            or versions.server_list > own.server_list
        )
        if versions.configuration > own.configuration:
            self._schedule_refresh(sender, versions.configuration)
        if is_newer and self._source.is_unresponsive():
            self._request_state(sender, own)

    def _request_state(self, peer: str, own: StateVersion) -> None:
        now = self._clock()
        if now - self._requested_at < STATE_REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        self._membership.send(peer, FrameKind.STATE_REQUEST, list(own))

    def _schedule_refresh(self, peer: str, version: int) -> None:
        """Get the configuration of a peer unless it arrives in the usual time."""
        if version > self._missing.version:
            self._missing = _MissingConfiguration(peer, version)
        if self._refresh_timer is None or not self._refresh_timer.active():
            self._refresh_timer = self._reactor.callLater(
                CONFIGURATION_DELAY_S, self._refresh_if_older
            )

    def _refresh_if_older(self) -> None:
        peer, version = self._missing
        own = self._source.read_version()
        if own.configuration >= version or self._source.is_unresponsive():
            return
        is_read = self._refreshed_for >= version
        _log.warning(
            "configuration_overdue",
            own=own.configuration,
            peer=version,
            asked=peer if is_read else "store",
        )
        if is_read:
            self._request_state(peer, own)
            return
        self._refreshed_for = version
        self._source.refresh_configuration()

    def stop(self) -> None:
        """Cancel a scheduled read."""
        if self._refresh_timer is not None and self._refresh_timer.active():
            self._refresh_timer.cancel()

    def _update_readiness(self, sender: str, versions: StateVersion) -> None:
        """Exclude peers without configuration or server list from entry lists."""
        if versions.is_complete:
            unready = self._unready - {sender}
        else:
            unready = self._unready | {sender}
        if unready != self._unready:
            self._unready = unready
            self._membership.set_excluded_entries(unready, reason="not ready")

    def _handle_state_request(self, frame: Frame) -> None:
        """Send what is newer than the state of a peer, unless others were just sent.

        Messages with changes of the server list would wait behind many answers.
        """
        try:
            known = StateVersion(*map(check_integer, frame.payload))
        except (TypeError, ValueError) as error:
            _log.warning("request_malformed", peer=frame.sender, reason=str(error))
            return
        now = self._clock()
        if now - self._answered_at < STATE_ANSWER_INTERVAL_S:
            return
        self._answered_at = now
        self._membership.send(frame.sender, FrameKind.STATE, self._source.export(known))

    def _handle_change(self, frame: Frame) -> None:
        """Apply a change; one that follows another configuration is read soon."""
        try:
            missing = self._source.merge_change(frame.payload)
        except (TypeError, ValueError) as error:
            _log.warning(
                "configuration_change_malformed", peer=frame.sender, reason=str(error)
            )
            missing = self._source.read_version().configuration + 1
        if missing is not None:
            self._schedule_refresh(frame.sender, missing)

    def _handle_state(self, frame: Frame) -> None:
        try:
            self._source.merge(frame.payload)
        except (KeyError, TypeError, ValueError) as error:
            _log.warning("peer_state_malformed", peer=frame.sender, reason=str(error))
            return
        versions = self._source.read_version()
        _log.info("peer_state_taken", peer=frame.sender, versions=list(versions))
