"""When a stream that is silent is taken as lost."""

from __future__ import annotations

import attrs

GAP_SHARE = 0.5  # of the longest pause on time; the rest is for going on elsewhere
GAP_SHARE_WITHOUT_COPY = 3.0  # going on costs the whole prompt: only if surely lost
LONGEST_GAP_FACTOR = 2.5  # over the longest pause that this stream had
FIRST_EVENT_FACTOR = 2.5  # over the estimate
FIRST_EVENT_MIN_SHARE = 0.35  # of the target
FIRST_EVENT_MAX_SHARE = 0.6  # of the target; a second try still has to fit
DEFAULT_GAP_S = 1.0  # for routes without a target for pauses
DEFAULT_TOKENS_PER_S = 8000.0
SMOOTHING = 0.1


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


def limit_first_event(*, target_latency_s: float, estimate_s: float) -> float:
    """Return how long to wait for the first event of a stream.

    Parameters
    ----------
    target_latency_s : float
        Time within which the first event is on time.
    estimate_s : float
        Time that reading the prompt is expected to take.

    Returns
    -------
    float
        Seconds from sending.
    """
    lowest = FIRST_EVENT_MIN_SHARE * target_latency_s
    highest = FIRST_EVENT_MAX_SHARE * target_latency_s
    return max(lowest, min(highest, FIRST_EVENT_FACTOR * estimate_s))


def limit_gap(*, target_gap_s: float, longest_gap_s: float, has_copy: bool) -> float:
    """Return the silence after which a stream is taken as lost.

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
    float
        Seconds.
    """
    target_s = target_gap_s or DEFAULT_GAP_S
    if not has_copy:
        return GAP_SHARE_WITHOUT_COPY * target_s
    usual = LONGEST_GAP_FACTOR * longest_gap_s
    return min(max(GAP_SHARE * target_s, usual), target_s)
