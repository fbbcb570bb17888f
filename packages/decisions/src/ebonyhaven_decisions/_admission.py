"""Whether a request can still meet the targets of its class."""

from __future__ import annotations

import abc
import math
import random
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._work import Refusal, RefusalReason, WorkItem

RETRY_MIN_S = 0.25
RETRY_MAX_S = 30.0
RETRY_JITTER = 0.25
PLAIN_QUEUE_LIMIT_S = 60.0
MAX_QUEUED = 4096


class Forecast(NamedTuple):
    """What is expected of a waiting request.

    Parameters
    ----------
    queue_s : float
        Further time in the queue, seconds; infinite when nothing is served.
    first_token_s : float
        Time from now to the first token, seconds.
    end_s : float
        Time from now to the end, seconds.
    """

    queue_s: float
    first_token_s: float
    end_s: float


@attrs.define(slots=True, kw_only=True)
class ServiceRate:
    """Speed at which a class is served at this instance.

    Parameters
    ----------
    ends_per_s : float
        Requests a second that end and leave their slot to the class.
    mean_cost : float
        Service of a typical request, decode tokens.
    pace_ms : float
        Gap between tokens, milliseconds.
    prefill_tokens_per_s : float
    """

    ends_per_s: float
    mean_cost: float
    pace_ms: float
    prefill_tokens_per_s: float


def forecast_service(
    item: WorkItem, *, tokens_ahead: float, output_tokens: float, rate: ServiceRate
) -> Forecast:
    """Predict the service of a request that found no free server.

    Parameters
    ----------
    item : WorkItem
    tokens_ahead : float
        Service that goes first, decode tokens.
    output_tokens : float
        Expected length of the output.
    rate : ServiceRate

    Returns
    -------
    Forecast
    """
    if rate.ends_per_s <= 0.0:
        return Forecast(math.inf, math.inf, math.inf)
    requests_ahead = tokens_ahead / max(rate.mean_cost, 1.0)
    queue_s = (requests_ahead + 1.0) / rate.ends_per_s
    prefill_s = item.prompt_tokens / rate.prefill_tokens_per_s
    first_token_s = queue_s + prefill_s + rate.pace_ms / 1000.0
    end_s = first_token_s + output_tokens * rate.pace_ms / 1000.0
    return Forecast(queue_s, first_token_s, end_s)


class Admission(abc.ABC):
    """Refuses the requests that would be late."""

    @abc.abstractmethod
    def compute_queue_limit_s(self, policy: ClassPolicy) -> float:
        """Return the longest time in the queue, seconds."""

    @abc.abstractmethod
    def check(
        self, item: WorkItem, policy: ClassPolicy, forecast: Forecast, now: float
    ) -> Refusal | None:
        """Return a refusal when the request cannot meet its targets.

        Parameters
        ----------
        item : WorkItem
        policy : ClassPolicy
        forecast : Forecast
        now : float
            Seconds.
        """

    def refuse(self, item: WorkItem, reason: RefusalReason, wait_s: float) -> Refusal:
        """Refuse a request and say when to come back.

        Parameters
        ----------
        item : WorkItem
        reason : RefusalReason
        wait_s : float
            Time until another try may be admitted, seconds; it is clipped.

        Returns
        -------
        Refusal
        """
        clipped = min(max(wait_s, RETRY_MIN_S), RETRY_MAX_S)
        return Refusal(item=item, reason=reason, retry_after_s=clipped)


class PredictiveAdmission(Admission):
    """Compares the forecast with the targets of the class.

    Parameters
    ----------
    random_source : random.Random
        Spreads the retry times, so that refused callers do not return at once.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def compute_queue_limit_s(self, policy: ClassPolicy) -> float:
        """Return the queue limit of the class; see `Admission`."""
        return policy.queue_limit_s

    def check(
        self, item: WorkItem, policy: ClassPolicy, forecast: Forecast, now: float
    ) -> Refusal | None:
        """Refuse a request that would be late; see `Admission.check`."""
        waited = now - item.arrival
        late_s = max(
            waited + forecast.queue_s - policy.queue_limit_s,
            waited + forecast.first_token_s - policy.first_token_limit_s,
        )
        if late_s > 0.0:
            return self.refuse(item, RefusalReason.LATE_FIRST_TOKEN, late_s)
        if now + forecast.end_s > item.deadline:
            late_s = now + forecast.end_s - item.deadline
            return self.refuse(item, RefusalReason.LATE_END, late_s)
        return None

    def refuse(self, item: WorkItem, reason: RefusalReason, wait_s: float) -> Refusal:
        """Refuse with a spread retry time; see `Admission.refuse`."""
        wait_s = min(max(wait_s, RETRY_MIN_S), RETRY_MAX_S)
        spread = 1.0 + RETRY_JITTER * self._random.random()
        return super().refuse(item, reason, wait_s * spread)


class PlainAdmission(Admission):
    """Admits all requests and refuses those that waited a fixed time."""

    def compute_queue_limit_s(self, policy: ClassPolicy) -> float:
        """Return the same queue limit for all classes; see `Admission`."""
        return PLAIN_QUEUE_LIMIT_S

    def check(
        self, item: WorkItem, policy: ClassPolicy, forecast: Forecast, now: float
    ) -> Refusal | None:
        """Admit; see `Admission.check`."""
        return None
