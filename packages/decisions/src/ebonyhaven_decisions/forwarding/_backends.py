"""What an instance knows of one backend server that it forwards to."""

from __future__ import annotations

import enum
import math
from typing import NamedTuple

import attrs

SUSPECT_MIN_S = 0.4  # a third of the time a restart takes on a fast machine
SUSPECT_MAX_S = 3.0  # a server that is back gets work again within this time
REPLACED_S = 10.0  # longer than an entry outlives its process
REMOVED_USABLE_S = 1.5  # below the time that a leaving server goes on serving
REPORT_LIFE_S = 1.0  # a load that is older says nothing about the present
SMOOTHING = 0.2
DEFAULT_LATENCY_S = 0.05


class BackendState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    LEAVING = "leaving"


class BackendEntry(NamedTuple):
    """One backend server as the list of the platform has it.

    Parameters
    ----------
    server_id : str
    started_ms : int
        Start of the process, Unix milliseconds; tells restarts under one id apart.
    service : str
    address : str
        ``IP:PORT``.
    data_centre : str
    slots : int
        Requests that it works on at once.
    state : BackendState
    """

    server_id: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    state: BackendState


@attrs.define(slots=True, eq=False)
class Backend:
    """One process of a backend server: its entry, own work on it and evidence.

    Parameters
    ----------
    entry : BackendEntry

    Attributes
    ----------
    in_flight : int
        Requests of this instance that it has.
    run_tokens, copy_tokens, prefill_tokens : int
        Memory that runs and copies of this instance occupy, and the prompts that
        it still has to read.
    suspect_until : float
        Seconds; no new work before.
    last_received_at : float
        When the last byte came from it, seconds.
    """

    entry: BackendEntry
    in_flight: int = 0
    runs: int = 0
    run_tokens: int = 0
    copy_tokens: int = 0
    prefill_tokens: int = 0
    suspect_until: float = -math.inf
    failures: int = 0
    heard_at: float = -math.inf
    failure_share: float = 0.0
    latency_s: float = DEFAULT_LATENCY_S
    reported_load: int = 0
    reported_at: float = -math.inf
    removed_at: float | None = None

    @property
    def server_id(self) -> str:
        """Identity that requests are addressed to."""
        return self.entry.server_id

    @property
    def name(self) -> str:
        """Name in evidence that instances share."""
        return self.entry.server_id

    @property
    def identity(self) -> str:
        """What tells the process from an earlier one of the name."""
        return str(self.entry.started_ms)

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the process."""
        return (self.entry.server_id, self.entry.started_ms)

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may be sent to it.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.removed_at is not None or self.entry.state is not BackendState.READY:
            return False
        if now < self.suspect_until:
            return False
        return self.failures == 0 or self.in_flight == 0

    def can_resume_from_copy(self, now: float) -> bool:
        """Tell whether a run may go on from a copy that it holds.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return self.removed_at is None and now >= self.suspect_until

    def is_usable_after_removal(self, now: float) -> bool:
        """Tell whether it may serve although its entry is gone.

        Entries can lapse while the store is away; the process then still serves.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.removed_at is None or self.entry.state is not BackendState.READY:
            return False
        return now - self.removed_at < REMOVED_USABLE_S and now >= self.suspect_until

    def record_unreachable(self, now: float) -> None:
        """Keep new work away for a time that doubles with each failure.

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

    def record_replaced(self, now: float) -> None:
        """Take note that another process answers at the address.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.suspect_until = max(self.suspect_until, now + REPLACED_S)

    def record_received(self, now: float) -> None:
        """Take note that bytes of an answer came.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.heard_at = now
        self.failures = 0
        self.suspect_until = -math.inf

    def record_result(self, *, succeeded: bool, latency_s: float | None) -> None:
        """Take the end of a request into the averages.

        Parameters
        ----------
        succeeded : bool
        latency_s : float or None
            Seconds from sending to the whole answer, when it says something.
        """
        failed = 0.0 if succeeded else 1.0
        self.failure_share += SMOOTHING * (failed - self.failure_share)
        if succeeded and latency_s is not None:  # failures may be fast
            self.latency_s += SMOOTHING * (latency_s - self.latency_s)

    def record_load(self, load: int, now: float) -> None:
        """Take note of the requests that the server says it has.

        Parameters
        ----------
        load : int
            Running and waiting, of all instances.
        now : float
            Seconds.
        """
        self.reported_load = max(0, load - self.in_flight)
        self.reported_at = now

    def estimate_load(self, now: float) -> float:
        """Return the requests that it is thought to have.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
        """
        age_s = now - self.reported_at
        weight = max(0.0, 1.0 - age_s / REPORT_LIFE_S)
        return self.in_flight + weight * self.reported_load
