"""State that an instance keeps for each backend server."""

from __future__ import annotations

import enum
import math
from typing import NamedTuple

import attrs

from ebonyhaven_decisions.forwarding._limit_shares import LimitedServer, ServerLimiter
from ebonyhaven_decisions.forwarding._permit_limiters import PermitLimiter
from ebonyhaven_decisions.forwarding._refusal_backoffs import RefusalBackoff
from ebonyhaven_decisions.forwarding._server_silence import ServerSilence
from ebonyhaven_decisions.forwarding.balancing import LoadEstimate, ServerLoad

SUSPECT_MIN_S = 0.4  # a third of the restart time of a server on a fast machine
SUSPECT_MAX_S = 3.0  # limits the time until a recovered server is sent requests
REPLACED_SUSPECT_S = 10.0  # exceeds the time for which a dead process stays listed
REMOVED_USABLE_S = 1.5  # shorter than the drain time of a leaving server
# Between two reads of the list while the store is there, if all readers are silent and
# a call has no answer. Entries of servers that are alive expire in longer outages only.
MAX_READ_GAP_S = 2.5
SLOW_S = 2.0  # for which a server that paused its streams gets few new ones
RESULT_SMOOTHING_FACTOR = 0.2
DEFAULT_LATENCY_S = 0.05


class BackendState(enum.StrEnum):
    """State that a backend server publishes in its entry."""

    READY = "ready"
    LEAVING = "leaving"


class BackendEntry(NamedTuple):
    """One backend server in the platform's server list.

    Parameters
    ----------
    server_id : str
    started_ms : int
        Start of the process, Unix milliseconds; distinguishes restarts under one id.
    service : str
    address : str
        ``IP:PORT``.
    data_centre : str
    slots : int
        Requests that it runs concurrently.
    state : BackendState
    software_version : str or None
        Version of the server's software, not of its weights; None if unknown.
    """

    server_id: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    state: BackendState
    software_version: str | None = None


class ServerListVersion(NamedTuple):
    """Version of the platform's server list; later versions compare greater.

    Parameters
    ----------
    era : int
        Number of times that the store was restored from an older copy.
    version : int
        Version of the newest entry; counts anew from an older one in each era.
    """

    era: int
    version: int


@attrs.define(slots=True, eq=False)
class Backend(LimitedServer):
    """One process of a backend server, with its load and failures.

    Parameters
    ----------
    entry : BackendEntry

    Attributes
    ----------
    in_flight : int
        Requests of this instance in flight at the server.
    run_tokens, copy_tokens : int
        Engine memory used by runs and copies of this instance, in tokens.
    prefill_tokens : int
        Prompt tokens of this instance that the engine has yet to prefill.
    suspect_until : float
        Time before which no new requests are sent to the server, seconds.
    replaced_until : float
        Time before which another process is taken to be at its address, seconds.
    failures : int
        Failures to reach the server since it last responded.
    last_received_at : float
        Time of the last byte received from the server, seconds.
    failure_share : float
        Moving average of the share of failed requests, from 0 to 1.
    latency_s : float
        Moving average of the time to a complete response, seconds.
    load : LoadEstimate
        What the server's reports say about its load and pace.
    backoff : RefusalBackoff
        Backoff after refusals.
    slow_until : float
        Time before which other servers are preferred, seconds.
    limiter : ServerLimiter
        This instance's part in the limits that the server names.
    silence : ServerSilence
        How long the server has left this instance's requests without a byte.
    has_unread_load : bool
        Whether the process stated its load in an unknown form.
    has_told_leave : bool
        Whether the process itself said in an answer that it leaves.
    removed_at : float or None
        Time at which this instance heard that the entry was removed, seconds; None
        while it is listed.
    kept_until : float
        Time until which the server may be used after the removal, seconds.
    """

    entry: BackendEntry
    in_flight: int = 0
    run_tokens: int = 0
    copy_tokens: int = 0
    prefill_tokens: int = 0
    suspect_until: float = -math.inf
    replaced_until: float = -math.inf
    failures: int = 0
    last_received_at: float = -math.inf
    failure_share: float = 0.0
    latency_s: float = DEFAULT_LATENCY_S
    load: LoadEstimate = attrs.Factory(LoadEstimate)
    backoff: RefusalBackoff = attrs.Factory(RefusalBackoff)
    slow_until: float = -math.inf
    limiter: ServerLimiter = attrs.Factory(lambda: ServerLimiter(PermitLimiter()))
    silence: ServerSilence = attrs.Factory(ServerSilence)
    has_unread_load: bool = False
    has_told_leave: bool = False
    removed_at: float | None = None
    kept_until: float = -math.inf

    @property
    def server_id(self) -> str:
        """Id of the server that requests are addressed to."""
        return self.entry.server_id

    @property
    def software_version(self) -> str | None:
        """Version of the server's software; None if unknown."""
        return self.entry.software_version

    @property
    def process_id(self) -> str:
        """Identifies the process in what instances tell each other."""
        return f"{self.entry.server_id}/{self.entry.started_ms}"

    @property
    def key(self) -> tuple[str, int]:
        """Unique key of the process."""
        return (self.entry.server_id, self.entry.started_ms)

    @property
    def is_leaving(self) -> bool:
        """Whether the server said that it leaves, or is no longer listed."""
        return self.removed_at is not None or self.has_announced_leave

    @property
    def has_announced_leave(self) -> bool:
        """Whether the server said that it leaves, in its entry or in an answer."""
        return self.has_told_leave or self.entry.state is not BackendState.READY

    def is_usable(self, now: float) -> bool:
        """Return whether new requests may be sent to the server.

        After a failure, one request at a time is sent until the server responds, and
        none while it is unresponsive. See `accepts` for refusals.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.is_leaving:
            return False
        if now < self.suspect_until or not self.accepts(now):
            return False
        if self.silence.is_unresponsive(now):
            return False
        return self.failures == 0 or self.in_flight == 0

    def accepts(self, now: float) -> bool:
        """Return whether the server is expected to take a request now.

        Permits take the place of the backoff for brittle servers.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if not self.limiter.is_allowed(now):
            return False
        is_brittle = self.limiter.refusals.limit is not None
        return is_brittle or self.backoff.allows(self.in_flight, now)

    def can_resume_from_copy(self, now: float) -> bool:
        """Return whether a run may resume from a copy on this server.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.is_leaving or not self.limiter.is_allowed(now):
            return False
        return now >= self.suspect_until and not self.silence.is_unresponsive(now)

    def is_usable_after_removal(self, now: float) -> bool:
        """Return whether requests may be sent to the server after its removal.

        Entries can expire while the store is unavailable although the processes
        are still serving.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if not self.is_kept_after_removal(now) or not self.limiter.is_allowed(now):
            return False
        return now >= self.suspect_until and not self.silence.is_unresponsive(now)

    def is_kept_after_removal(self, now: float) -> bool:
        """Return whether the removal is so recent that the entry may come back.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.removed_at is None or self.has_announced_leave:
            return False
        return now < self.kept_until

    def record_unreachable(self, now: float) -> None:
        """Suspect the server for a time that doubles with each failure, up to a limit.

        Failures while the server is already suspected are not counted.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if now >= self.suspect_until:
            self.failures += 1
        delay_s = SUSPECT_MIN_S * 2 ** min(self.failures - 1, 8)
        until = now + min(delay_s, SUSPECT_MAX_S)
        self.suspect_until = max(self.suspect_until, until)

    def record_slow(self, now: float) -> None:
        """Record that the server is alive but paused a stream.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.slow_until = now + SLOW_S

    def record_replaced(self, now: float) -> None:
        """Record that another process responds at the server's address.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.replaced_until = now + REPLACED_SUSPECT_S
        self.suspect_until = max(self.suspect_until, self.replaced_until)

    def record_refused(self, now: float, jitter: float) -> None:
        """Record that the server refused a request because it was full.

        Parameters
        ----------
        now : float
            Seconds.
        jitter : float
            Random number from 0 to 1, so that the instances return at different times.
        """
        self.limiter.refusals.record_refused(now, jitter)
        self.backoff.record_refused(self.in_flight, now, jitter)

    def record_received(self, now: float) -> None:
        """Record that response bytes arrived and clear the suspicion.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.record_data(now)
        self._clear_failures()

    def record_alive(self, now: float) -> None:
        """Record that the server answered that it is there, and clear the suspicion.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.last_received_at = now
        self.silence.record_alive(now)
        self._clear_failures()

    def _clear_failures(self) -> None:
        self.failures = 0
        self.suspect_until = -math.inf

    def record_data(self, now: float) -> None:
        """Record that further bytes of a response arrived.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.last_received_at = now
        self.silence.record_received(now)

    def clear_suspicion(self, now: float) -> None:
        """Forget failures of a time in which no server could be reached.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.failures = 0
        self.suspect_until = min(self.suspect_until, now)

    def record_result(self, *, succeeded: bool, latency_s: float | None) -> None:
        """Update the averages with a finished request.

        Parameters
        ----------
        succeeded : bool
        latency_s : float or None
            Seconds from sending the request to the complete response; None if
            unknown.
        """
        self.backoff.record_run()
        failed = 0.0 if succeeded else 1.0
        self.failure_share += RESULT_SMOOTHING_FACTOR * (failed - self.failure_share)
        if succeeded and latency_s is not None:  # fast failures would lower the average
            self.latency_s += RESULT_SMOOTHING_FACTOR * (latency_s - self.latency_s)

    def record_load(self, load: ServerLoad, now: float) -> None:
        """Record the load that the server reports with a response.

        Parameters
        ----------
        load : ServerLoad
        now : float
            Seconds.
        """
        self.load.record(load, in_flight=self.in_flight, now=now)
