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
RECHECK_S = 0.5  # between two checks of a server that accepts connections
DEFAULT_GAP_S = 1.0  # for routes without a target for pauses
DEFAULT_TOKENS_PER_S = 8000.0
DEFAULT_OUTPUT_TOKENS_PER_S = 250.0  # of one stream, on an engine with few of them
SMOOTHING = 0.1
SHORT_ANSWER_SHARE = 0.6  # of the usual length; few answers are shorter


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
class GenerationPace:
    """How long answers take once they have begun, from own observations.

    Parameters
    ----------
    tokens_per_s : float
        Output tokens that a caller allows for, to the time that its answer took.
    events_per_token : float
        Events of an answer to the output tokens allowed for; 0 while unknown.
    """

    tokens_per_s: float = DEFAULT_OUTPUT_TOKENS_PER_S
    events_per_token: float = 0.0

    def record(self, output_tokens: int, events: int, elapsed_s: float) -> None:
        """Take in a whole answer.

        Parameters
        ----------
        output_tokens : int
            Output tokens that the caller allowed for.
        events : int
        elapsed_s : float
            From the first event to the end.
        """
        if output_tokens <= 0 or elapsed_s <= 0.0:
            return
        self.tokens_per_s += SMOOTHING * (output_tokens / elapsed_s - self.tokens_per_s)
        share = events / output_tokens
        known = self.events_per_token or share
        self.events_per_token = known + SMOOTHING * (share - known)

    def estimate_s(self, output_tokens: int, events_done: int) -> float:
        """Return the time to the end of an answer.

        Parameters
        ----------
        output_tokens : int
            Output tokens that the caller allows for.
        events_done : int
            Events that the caller has already.

        Returns
        -------
        float
            Seconds; 0 where it is not known how much is left.
        """
        whole_s = output_tokens / max(1.0, self.tokens_per_s)
        if not events_done:
            return whole_s
        events = output_tokens * self.events_per_token
        return whole_s * (1.0 - events_done / events) if events > events_done else 0.0


def can_end_in_time(*, left_s: float, prefill_s: float, generation_s: float) -> bool:
    """Tell whether an answer that starts now may be whole before its caller leaves.

    Answers the load pattern of callers that come back late: those whose connection
    fell silent wait for many seconds, return together, and their prompts would be
    read for answers that nobody waits for.

    Parameters
    ----------
    left_s : float
        Time that the caller has left.
    prefill_s : float
        Time to read the prompt, 0 with a copy of the run.
    generation_s : float
        Time that the rest of the answer usually takes.

    Returns
    -------
    bool
    """
    return left_s >= prefill_s + SHORT_ANSWER_SHARE * generation_s


class SilenceLimits(NamedTuple):
    """How long a server may be silent.

    Parameters
    ----------
    check_s : float
        Silence after which it is checked whether it accepts connections.
    give_up_s : float
        Silence after which the stream goes on elsewhere in any case.
    """

    check_s: float
    give_up_s: float


def limit_first_event(*, target_latency_s: float, estimate_s: float) -> SilenceLimits:
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
        check_s=max(CHECK_MIN_SHARE * target_latency_s, CHECK_FACTOR * estimate_s),
        give_up_s=max(
            FIRST_EVENT_MIN_SHARE * target_latency_s, FIRST_EVENT_FACTOR * estimate_s
        ),
    )


def limit_gap(
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
        return SilenceLimits(check_s=lost_s, give_up_s=lost_s)
    return SilenceLimits(check_s=lost_s, give_up_s=GAP_SHARE_ALIVE * target_s)
