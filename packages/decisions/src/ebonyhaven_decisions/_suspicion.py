"""Timeouts after which a silent engine is probed and its runs are continued.

All timeouts derive from the resume target of the class and from the observed gaps
between tokens. A tight target leaves no time to wait for the result of a probe, so
the continuation is prepared in parallel; with a loose target, the probe runs first.
"""

from __future__ import annotations

from typing import NamedTuple

import attrs

GAP_SMOOTHING_FACTOR = 0.1
GAP_DEVIATIONS_FACTOR = 6.0
MIN_SILENCE_S = 0.15
MIN_SILENCE_TARGET_SHARE = 0.25
MAX_SILENCE_TARGET_SHARE = 0.5
PROBE_TARGET_SHARE = 0.15
MIN_PROBE_TIMEOUT_S = 0.1
FIRST_TOKEN_SILENCE_FACTOR = 3.0


@attrs.define(slots=True, kw_only=True)
class StreamPace:
    """Moving average and mean deviation of the gap between tokens of a stream.

    Parameters
    ----------
    gap_s : float
        Expected gap, seconds.
    deviation_s : float
        Mean absolute deviation of the gap, seconds.
    """

    gap_s: float = 0.05
    deviation_s: float = 0.02

    def record_gap(self, gap_s: float) -> None:
        """Update the averages with an observed gap.

        Parameters
        ----------
        gap_s : float
            Time between the arrivals of two tokens, seconds.
        """
        error = gap_s - self.gap_s
        self.gap_s += GAP_SMOOTHING_FACTOR * error
        self.deviation_s += GAP_SMOOTHING_FACTOR * (abs(error) - self.deviation_s)


class ResumePlan(NamedTuple):
    """Timeouts of a silent stream.

    Parameters
    ----------
    suspect_after_s : float
        Silence after which the engine is probed on a new connection.
    probe_timeout_s : float
        Timeout of the probe, after which the run is continued on another engine.
    prepare_in_parallel : bool
        Whether the continuation is started together with the probe.
    """

    suspect_after_s: float
    probe_timeout_s: float
    prepare_in_parallel: bool


def plan_resume(
    *,
    resume_target_s: float,
    pace: StreamPace,
    continuation_s: float,
    first_token_expected_s: float | None = None,
) -> ResumePlan:
    """Derive the timeouts of a silent stream from the resume target of its class.

    Parameters
    ----------
    resume_target_s : float
        Resume target of the class, seconds.
    pace : StreamPace
        Observed gaps of the stream.
    continuation_s : float
        Expected time from the start of a continuation to its first token.
    first_token_expected_s : float, optional
        Expected time to the first token; only given before the first token.

    Returns
    -------
    ResumePlan
    """
    expected_silence_s = pace.gap_s + GAP_DEVIATIONS_FACTOR * pace.deviation_s
    if first_token_expected_s is not None:
        expected_silence_s = FIRST_TOKEN_SILENCE_FACTOR * first_token_expected_s
    silence_s = max(
        MIN_SILENCE_S, expected_silence_s, MIN_SILENCE_TARGET_SHARE * resume_target_s
    )
    limit_s = max(MAX_SILENCE_TARGET_SHARE * resume_target_s, 2 * pace.gap_s)
    if first_token_expected_s is None:
        silence_s = min(silence_s, limit_s)
    probe_timeout_s = max(MIN_PROBE_TIMEOUT_S, PROBE_TARGET_SHARE * resume_target_s)
    sequential_s = silence_s + probe_timeout_s + continuation_s
    return ResumePlan(silence_s, probe_timeout_s, sequential_s > resume_target_s)
