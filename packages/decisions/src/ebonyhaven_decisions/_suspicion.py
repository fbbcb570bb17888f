"""When a silent engine is suspected, and what is done about it.

All timing follows from the resume target of a class and from the pace that the
engine has shown. A tight target leaves no time to ask before acting, so the
next engine is prepared while the probe is under way; a loose target asks first.
"""

from __future__ import annotations

from typing import NamedTuple

import attrs

SMOOTHING = 0.1
DEVIATIONS = 6.0
MIN_SILENCE_S = 0.15
SILENCE_SHARE = 0.25
SILENCE_SHARE_MAX = 0.5
PROBE_SHARE = 0.15
MIN_PROBE_S = 0.1
FIRST_TOKEN_FACTOR = 3.0


@attrs.define(slots=True, kw_only=True)
class StreamPace:
    """Gap between the tokens of one stream, with its mean deviation.

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
        """Take one observed gap into account.

        Parameters
        ----------
        gap_s : float
            Seconds between two arrivals.
        """
        error = gap_s - self.gap_s
        self.gap_s += SMOOTHING * error
        self.deviation_s += SMOOTHING * (abs(error) - self.deviation_s)


class ResumePlan(NamedTuple):
    """What to do about silence on a stream.

    Parameters
    ----------
    suspect_after_s : float
        Silence after which the engine is probed on a new connection.
    probe_timeout_s : float
        Time that the probe has before the run is continued elsewhere.
    prepare_in_parallel : bool
        Whether the next engine is started together with the probe.
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
    """Derive the reaction to silence from a class's resume target.

    Parameters
    ----------
    resume_target_s : float
        Resume target of the class, seconds.
    pace : StreamPace
        Pace of the stream so far.
    continuation_s : float
        Expected time from the start of a continuation to its first token.
    first_token_expected_s : float, optional
        Expected time to the first token; given while none has arrived.

    Returns
    -------
    ResumePlan
    """
    usual_silence_s = pace.gap_s + DEVIATIONS * pace.deviation_s
    if first_token_expected_s is not None:
        usual_silence_s = FIRST_TOKEN_FACTOR * first_token_expected_s
    silence_s = max(MIN_SILENCE_S, usual_silence_s, SILENCE_SHARE * resume_target_s)
    limit_s = max(SILENCE_SHARE_MAX * resume_target_s, 2 * pace.gap_s)
    if first_token_expected_s is None:
        silence_s = min(silence_s, limit_s)
    probe_timeout_s = max(MIN_PROBE_S, PROBE_SHARE * resume_target_s)
    sequential_s = silence_s + probe_timeout_s + continuation_s
    return ResumePlan(silence_s, probe_timeout_s, sequential_s > resume_target_s)
