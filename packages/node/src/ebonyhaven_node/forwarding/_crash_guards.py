"""What one request is to the servers that may crash of it."""

from __future__ import annotations

import hashlib
import math

from ebonyhaven_decisions.forwarding import (
    EARLY_EVENTS,
    Backend,
    choose_progress_traits,
    list_progress_traits,
)

from ebonyhaven_node.forwarding._crash_monitor import CrashMonitor
from ebonyhaven_node.forwarding._requests import (
    DIGEST_HEX_DIGITS,
    ForwardRequest,
)

MAX_SHARED_PARTS = 128  # of one prompt; further ones are not held responsible
PART_PREFIX = "part "
SURVIVAL_INTERVAL_S = 1.0  # between two records for one stream


class CrashGuard:
    """Watches what one request has in common with others, for all of its attempts.

    Parameters
    ----------
    request : ForwardRequest
    workspace : str or None
        Name of the caller's workspace.
    monitor : CrashMonitor

    Attributes
    ----------
    traits : tuple of str
        The shared parts of its prompt, then a digest of what servers see of the
        request, which is equal for all retries of the caller.
    is_trial : bool
        Whether the request is sent to one server though it has a blocked trait.
    """

    __slots__ = (
        "_monitor",
        "_progress_traits",
        "_survived_at",
        "is_trial",
        "traits",
    )

    def __init__(
        self, request: ForwardRequest, workspace: str | None, monitor: CrashMonitor
    ):
        self._monitor = monitor
        self._survived_at = -math.inf
        self.is_trial = False
        content = _digest(f"{request.content_digest} {request.host} {workspace}")
        parts = request.shared_parts[:MAX_SHARED_PARTS]
        self.traits = (*map(_make_part_trait, parts), content)
        self._progress_traits = list_progress_traits(content)

    def admit(self) -> str | None:
        """Return what keeps the request from being sent to servers, if anything.

        A request that is admitted though it has a blocked trait is sent once.
        """
        trait = self.find_blocked_trait()
        if trait is not None and self._monitor.begin_trial(trait):
            self.is_trial = True
            return None
        return trait

    @property
    def _suspect_traits(self) -> tuple[str, ...]:
        """What the request may still crash servers with, as far as it is known."""
        if self._survived_at > -math.inf:
            return self._progress_traits
        return (*self.traits, *self._progress_traits)

    def find_blocked_trait(self) -> str | None:
        """Return what keeps the request from another attempt, if anything."""
        if self.is_trial:
            return None
        return self._monitor.find_blocked_trait(self._suspect_traits)

    def is_undecided(self) -> bool:
        """Return whether the request may be blocked soon, and should wait for that."""
        if self.is_trial:
            return False
        return self._monitor.is_undecided(self._suspect_traits)

    def check_loss(self, backend: Backend, *, has_begun: bool, events: int = 0) -> None:
        """Check whether a server that closed its connection has crashed.

        Parameters
        ----------
        backend : Backend
        has_begun : bool
            Whether the server had begun to answer.
        events : int
            Events of a stream that it had sent in this run.
        """
        self.is_trial = False
        traits = self.traits
        if events >= EARLY_EVENTS:
            traits = choose_progress_traits(self.traits[-1], events)
        self._monitor.check_loss(traits, backend, has_begun=has_begun)

    def record_completed(self) -> None:
        """Record that a server ran the request to an end."""
        traits = (*self._progress_traits, *self.traits)
        self._monitor.record_survival(traits, self.traits[:-1])

    def record_progress(self, now: float) -> None:
        """Record that a server runs the request far into its stream.

        Called for each event of a stream, of which few are recorded.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if now - self._survived_at >= SURVIVAL_INTERVAL_S:
            self._survived_at = now
            self._monitor.record_survival(self.traits, self.traits[:-1])


def _make_part_trait(part: str) -> str:
    """Return the trait of a part of a prompt; long ids are shortened to a digest."""
    name = part if len(part) <= DIGEST_HEX_DIGITS else _digest(part)
    return PART_PREFIX + name


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_HEX_DIGITS]
