"""How fast streams go on: when one is lost, and when one cannot end in time."""

from __future__ import annotations

from typing import NamedTuple

import attrs

GAP_SHARE = 0.5  # of the longest pause on time; the rest is for going on elsewhere
GAP_SHARE_ALIVE = 3.0  # without a copy, a server that accepts connections is waited for
LONGEST_GAP_FACTOR = 2.5  # over the longest pause that this stream had
CHECK_FACTOR = 1.3  # over the estimate of a first event
CHECK_MIN_SHARE = 0.3  # of the target for a first event
FIRST_EVENT_FACTOR = 2.5  # over the estimate
FIRST_EVENT_MIN_SHARE = 0.6  # of the target; a second try still has to fit
SERVER_PROBE_INTERVAL_S = 0.5  # between two checks of a server that accepts connections
DEFAULT_GAP_S = 1.0  # for routes without a target for pauses
DEFAULT_TOKENS_PER_S = 8000.0
SMOOTHING = 0.1
SHORT_ANSWER_SHARE = 0.6  # of the usual time; few answers take less


@attrs.define(slots=True)
class PrefillRate:
    """Speed at which engines read prompts, from own observations.

    Parameters
    ----------
    tokens_per_s : float
    """

    tokens_per_s: float = DEFAULT_TOKENS_PER_S

    def record(self, tokens: int, elapsed_s: float) -> None:
        """Take in the time to a first event.

        Parameters
        ----------
        tokens : int
            Prompt tokens that were read.
        elapsed_s : float
        """
        if tokens <= 0 or elapsed_s <= 0.0:
            return
        self.tokens_per_s += SMOOTHING * (tokens / elapsed_s - self.tokens_per_s)

    def estimate_s(self, tokens: int) -> float:
        """Return the time to read a prompt.

        Parameters
        ----------
        tokens : int

        Returns
        -------
        float
            Seconds.
        """
        return tokens / max(1.0, self.tokens_per_s)


@attrs.define(slots=True)
class StreamDurations:
    """How long whole answers of one route take, from own observations.

    All are 0 until the first one, so that nothing is ruled out without evidence.

    Parameters
    ----------
    first_event_s : float
        From the sending of a request to its first event.
    streaming_s : float
        From the first event to the end.
    events : float
    """

    first_event_s: float = 0.0
    streaming_s: float = 0.0
    events: float = 0.0

    def record(self, *, first_event_s: float, streaming_s: float, events: int) -> None:
        """Take in a whole answer.

        Parameters
        ----------
        first_event_s, streaming_s : float
        events : int
        """
        weight = SMOOTHING if self.events else 1.0
        self.first_event_s += weight * (first_event_s - self.first_event_s)
        self.streaming_s += weight * (streaming_s - self.streaming_s)
        self.events += weight * (events - self.events)

    def can_finish_in_time(
        self, *, remaining_s: float, events_delivered: int, has_copy: bool
    ) -> bool:
        """Tell whether an answer that starts now may be whole before its caller leaves.

        Answers the load pattern of callers that come back late: those whose
        connection fell silent wait for many seconds, return together, and their
        prompts would be read for answers that nobody waits for.

        As only answers within their time are taken in, a request that has
        `SHORT_ANSWER_SHARE` of the time of its route left is never ruled out.

        Parameters
        ----------
        remaining_s : float
            Time that the caller has left.
        events_delivered : int
            Events that the caller has already.
        has_copy : bool
            Whether the prompt need not be read.

        Returns
        -------
        bool
        """
        if not self.events:
            return True
        left_share = max(0.0, 1.0 - events_delivered / self.events)
        usual_s = left_share * self.streaming_s
        if not has_copy:
            usual_s += self.first_event_s
        return remaining_s >= SHORT_ANSWER_SHARE * usual_s


class SilenceLimits(NamedTuple):
    """How long a server may be silent.

    Parameters
    ----------
    probe_after_s : float
        Silence after which it is checked whether it accepts connections.
    resume_after_s : float
        Silence after which the stream goes on elsewhere in any case.
    """

    probe_after_s: float
    resume_after_s: float


def compute_first_event_limits(
    *, target_latency_s: float, estimate_s: float
) -> SilenceLimits:
    """Return how long to wait for the first event of a stream.

    Parameters
    ----------
    target_latency_s : float
        Time within which the first event is on time.
    estimate_s : float
        Time that reading the prompts before it is expected to take.

    Returns
    -------
    SilenceLimits
        From the sending of the request.
    """
    return SilenceLimits(
        probe_after_s=max(
            CHECK_MIN_SHARE * target_latency_s, CHECK_FACTOR * estimate_s
        ),
        resume_after_s=max(
            FIRST_EVENT_MIN_SHARE * target_latency_s, FIRST_EVENT_FACTOR * estimate_s
        ),
    )


def compute_gap_limits(
    *, target_gap_s: float, longest_gap_s: float, has_copy: bool
) -> SilenceLimits:
    """Return how long to wait for the next event of a stream.

    Parameters
    ----------
    target_gap_s : float
        Longest pause that is on time, 0 when there is no target.
    longest_gap_s : float
        Longest pause that this stream has had on its present server.
    has_copy : bool
        Whether the stream can go on without reading its prompt again.

    Returns
    -------
    SilenceLimits
        From the last event.
    """
    target_s = target_gap_s or DEFAULT_GAP_S
    usual_s = max(GAP_SHARE * target_s, LONGEST_GAP_FACTOR * longest_gap_s)
    lost_s = min(usual_s, target_s)
    if has_copy:
        return SilenceLimits(probe_after_s=lost_s, resume_after_s=lost_s)
    return SilenceLimits(
        probe_after_s=lost_s, resume_after_s=GAP_SHARE_ALIVE * target_s
    )
