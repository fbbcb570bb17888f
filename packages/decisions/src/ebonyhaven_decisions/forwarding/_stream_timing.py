"""Time limits of streams: silence of a server and expected duration."""

from __future__ import annotations

from typing import NamedTuple

import attrs

GAP_TARGET_SHARE = 0.5  # leaves the other half of the target for the resume
# Without a copy, the stream waits for a server that still accepts connections,
# because a resume would prefill the prompt again.
GAP_TARGET_FACTOR_WITHOUT_COPY = 3.0
LONGEST_GAP_FACTOR = 2.5  # of the longest gap of the stream so far
FIRST_EVENT_PROBE_FACTOR = 1.3  # of the estimated time
FIRST_EVENT_PROBE_MIN_SHARE = 0.3  # of the target
FIRST_EVENT_RESUME_FACTOR = 2.5  # of the estimated time
FIRST_EVENT_RESUME_MIN_SHARE = 0.6  # of the target; leaves time for a second attempt
# A probe that starts this long before the resume shows whether the server is lost.
PROBE_LEAD_S = 0.15
RESUME_LEAD_S = 0.15  # from a copy; its first event takes less than a tenth of a second
SERVER_PROBE_INTERVAL_S = 0.5  # for a silent server that accepts connections
DEFAULT_GAP_TARGET_S = 1.0  # for routes without a gap target
DEFAULT_TOKENS_PER_S = 8000.0
SMOOTHING_FACTOR = 0.1
# Of the average duration. While engines have room, a stream with a small chance is
# tried, because that costs nobody else anything.
SHORT_STREAM_SHARE_WITH_ROOM = 0.6
SHORT_STREAM_SHARE = 0.75
LONG_STREAM_FACTOR = 2.0  # of the average duration; few streams last longer


@attrs.define(slots=True)
class PrefillRate:
    """Prefill rate of engines as observed by this instance.

    Parameters
    ----------
    tokens_per_s : float
        Moving average.
    """

    tokens_per_s: float = DEFAULT_TOKENS_PER_S

    def record(self, tokens: int, elapsed_s: float) -> None:
        """Update the rate with the time to a first event.

        Parameters
        ----------
        tokens : int
            Prompt tokens of the prefill.
        elapsed_s : float
            Time from sending the request to its first event.
        """
        if tokens <= 0 or elapsed_s <= 0.0:
            return
        self.tokens_per_s += SMOOTHING_FACTOR * (tokens / elapsed_s - self.tokens_per_s)

    def estimate_s(self, tokens: int) -> float:
        """Return the expected duration of a prefill.

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
    """Moving averages over the complete streams of one route on this instance.

    All are 0 until the first stream completes; no request is rejected until then.

    Parameters
    ----------
    first_event_s : float
        Time from sending the request to its first event.
    streaming_s : float
        Time from the first event to the end of the stream.
    events : float
        Events per stream.
    """

    first_event_s: float = 0.0
    streaming_s: float = 0.0
    events: float = 0.0

    def record(self, *, first_event_s: float, streaming_s: float, events: int) -> None:
        """Update the averages with a complete stream.

        Parameters
        ----------
        first_event_s, streaming_s : float
        events : int
        """
        weight = SMOOTHING_FACTOR if self.events else 1.0
        self.first_event_s += weight * (first_event_s - self.first_event_s)
        self.streaming_s += weight * (streaming_s - self.streaming_s)
        self.events += weight * (events - self.events)

    def can_finish_in_time(
        self,
        *,
        remaining_s: float,
        events_delivered: int,
        has_copy: bool,
        has_room: bool = False,
    ) -> bool:
        """Return whether a stream that starts now can complete before its deadline.

        Designed for callers that retry late: callers whose streams stalled wait for
        many seconds, then retry at the same time. Their prompts would be
        prefilled for streams that no caller waits for any more.

        Only streams that completed before their deadline are recorded. A request with
        `SHORT_STREAM_SHARE` of its route's timeout remaining is therefore never
        rejected.

        Parameters
        ----------
        remaining_s : float
            Time until the deadline of the caller.
        events_delivered : int
            Events already delivered to the caller.
        has_copy : bool
            Whether the stream can resume from a copy, without a prefill.
        has_room : bool
            Whether less than half of the engines' memory is in use.

        Returns
        -------
        bool
        """
        if not self.events:
            return True
        expected_s = self._estimate_s(events_delivered, has_copy=has_copy)
        share = SHORT_STREAM_SHARE_WITH_ROOM if has_room else SHORT_STREAM_SHARE
        return remaining_s >= share * expected_s

    def will_finish_in_time(
        self, *, remaining_s: float, events_delivered: int, has_copy: bool
    ) -> bool:
        """Return whether a stream that starts now is known to complete in time.

        Designed for an instance that stops: it would cut the stream, which another
        instance can take. Nothing is known until a first stream has completed.

        Parameters
        ----------
        remaining_s, events_delivered, has_copy
            See `can_finish_in_time`.

        Returns
        -------
        bool
        """
        if not self.events:
            return False
        expected_s = self._estimate_s(events_delivered, has_copy=has_copy)
        return remaining_s >= LONG_STREAM_FACTOR * expected_s

    def _estimate_s(self, events_delivered: int, *, has_copy: bool) -> float:
        remaining_share = max(0.0, 1.0 - events_delivered / self.events)
        expected_s = remaining_share * self.streaming_s
        return expected_s if has_copy else expected_s + self.first_event_s


class SilenceLimits(NamedTuple):
    """How long the server of a stream may be silent.

    Parameters
    ----------
    probe_after_s : float
        Silence after which the server is probed with a new connection.
    resume_after_s : float
        Silence after which the stream resumes on another server, regardless of
        the result of the probe.
    """

    probe_after_s: float
    resume_after_s: float


def compute_first_event_limits(
    *, target_latency_s: float, estimate_s: float
) -> SilenceLimits:
    """Return the silence limits until the first event of a stream.

    Parameters
    ----------
    target_latency_s : float
        Target for the time to the first event.
    estimate_s : float
        Expected duration of the prefills queued on the engine.

    Returns
    -------
    SilenceLimits
        Measured from sending the request.
    """
    return SilenceLimits(
        probe_after_s=max(
            FIRST_EVENT_PROBE_MIN_SHARE * target_latency_s,
            FIRST_EVENT_PROBE_FACTOR * estimate_s,
        ),
        resume_after_s=max(
            FIRST_EVENT_RESUME_MIN_SHARE * target_latency_s,
            FIRST_EVENT_RESUME_FACTOR * estimate_s,
        ),
    )


def compute_gap_patience_s(target_gap_s: float) -> float:
    """Return how long a server may send nothing once its streams have begun, seconds.

    Parameters
    ----------
    target_gap_s : float
        Target for the gap between two events; 0 for no target.
    """
    return target_gap_s or DEFAULT_GAP_TARGET_S


def compute_gap_limits(
    *, target_gap_s: float, longest_gap_s: float, has_copy: bool
) -> SilenceLimits:
    """Return the silence limits between two events of a stream.

    Parameters
    ----------
    target_gap_s : float
        Target for the gap between two events; 0 for no target.
    longest_gap_s : float
        Longest gap between two events of the stream on its current server.
    has_copy : bool
        Whether the stream can resume from a copy, without a prefill.

    Returns
    -------
    SilenceLimits
        Measured from the last event.
    """
    target_s = target_gap_s or DEFAULT_GAP_TARGET_S
    tolerated_s = max(GAP_TARGET_SHARE * target_s, LONGEST_GAP_FACTOR * longest_gap_s)
    limit_s = min(tolerated_s, target_s)
    if has_copy:
        latest_s = min(limit_s, target_s - RESUME_LEAD_S) - PROBE_LEAD_S
        probe_s = max(0.5 * limit_s, latest_s)
        return SilenceLimits(probe_after_s=probe_s, resume_after_s=limit_s)
    return SilenceLimits(
        probe_after_s=limit_s, resume_after_s=GAP_TARGET_FACTOR_WITHOUT_COPY * target_s
    )
