"""Rest of a backend server that has turned a request away.

Designed for many requests that wait for the end of a rest. If all were sent at once,
most would be turned away again, and each of them counts against the retry budget.
"""

from __future__ import annotations

import math

import attrs

MAX_REST_S = 600.0  # a mistaken value must not take a server out for good
TRIAL_INTERVAL_S = 0.1  # a server turns requests away within milliseconds


@attrs.define(slots=True, eq=False)
class ServerRest:
    """Time for which one process of a server wants no requests of this instance.

    After the rest, requests are sent at intervals of `TRIAL_INTERVAL_S` until the
    server has served one.

    Attributes
    ----------
    until : float
        End of the rest, seconds.
    """

    until: float = -math.inf
    _is_on_trial: bool = False
    _tried_at: float = -math.inf

    @property
    def next_at(self) -> float:
        """Time from which a request may be sent, seconds."""
        if not self._is_on_trial:
            return self.until
        return max(self.until, self._tried_at + TRIAL_INTERVAL_S)

    def is_resting(self, now: float) -> bool:
        """Return whether the server wants nothing.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return now < self.until

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return now >= self.next_at

    def record_named(self, rest_s: float, now: float) -> bool:
        """Record that an answer names a rest; a shorter one does not end another.

        Parameters
        ----------
        rest_s : float
            Seconds.
        now : float
            Time of the answer, seconds.

        Returns
        -------
        bool
            Whether the server was not resting before.
        """
        was_resting = self.is_resting(now)
        self.until = max(self.until, now + min(rest_s, MAX_REST_S))
        self._is_on_trial = True
        return not was_resting

    def record_sent(self, now: float) -> None:
        """Record that a request is sent.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._tried_at = now

    def record_served(self, now: float) -> None:
        """Record an answer that names no rest.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if not self.is_resting(now):
            self._is_on_trial = False
