"""Admission of requests by the targets of their class."""

from __future__ import annotations

import abc
import math
import random
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._work import Refusal, RefusalReason, WorkItem

RETRY_AFTER_MIN_S = 0.25
RETRY_AFTER_MAX_S = 30.0
RETRY_AFTER_JITTER_RATIO = 0.25
FIXED_QUEUE_LIMIT_S = 60.0
MAX_QUEUED_REQUESTS = 4096


class Forecast(NamedTuple):
    """Predicted service of a waiting request.

    Parameters
    ----------
    queue_s : float
        Remaining time in the queue, seconds; infinite when nothing is served.
    first_token_s : float
        Time from now to the first token, seconds.
    completion_s : float
        Time from now to the end of the output, seconds.
    """

    queue_s: float
    first_token_s: float
    completion_s: float


@attrs.define(slots=True, kw_only=True)
class ServiceRate:
    """Rate at which this instance serves a class.

    Parameters
    ----------
    completions_per_s : float
        Completed requests per second whose slots become available to the class.
    mean_cost : float
        Mean service of a request as computed by `compute_cost`, decode tokens.
    pace_ms : float
        Gap between tokens, milliseconds.
    prefill_tokens_per_s : float
    """

    completions_per_s: float
    mean_cost: float
    pace_ms: float
    prefill_tokens_per_s: float


def forecast_service(
    item: WorkItem, *, tokens_ahead: float, output_tokens: float, rate: ServiceRate
) -> Forecast:
    """Predict the service of a request for which no server is free.

    Parameters
    ----------
    item : WorkItem
    tokens_ahead : float
        Service of the requests that are served before it, decode tokens.
    output_tokens : float
        Expected length of the output, tokens.
    rate : ServiceRate

    Returns
    -------
    Forecast
    """
    if rate.completions_per_s <= 0.0:
        return Forecast(math.inf, math.inf, math.inf)
    requests_ahead = tokens_ahead / max(rate.mean_cost, 1.0)
    queue_s = (requests_ahead + 1.0) / rate.completions_per_s
    prefill_s = item.prompt_tokens / rate.prefill_tokens_per_s
    first_token_s = queue_s + prefill_s + rate.pace_ms / 1000.0
    completion_s = first_token_s + output_tokens * rate.pace_ms / 1000.0
    return Forecast(queue_s, first_token_s, completion_s)


class Admission(abc.ABC):
    """Refuses requests that cannot be served in time."""

    @abc.abstractmethod
    def compute_queue_limit_s(self, policy: ClassPolicy) -> float:
        """Return the longest time in the queue for a class, seconds."""

    @abc.abstractmethod
    def check(
        self, item: WorkItem, policy: ClassPolicy, forecast: Forecast, now: float
    ) -> Refusal | None:
        """Return a refusal if the request cannot meet its targets, else None.

        Parameters
        ----------
        item : WorkItem
        policy : ClassPolicy
        forecast : Forecast
        now : float
            Seconds.
        """

    def refuse(self, item: WorkItem, reason: RefusalReason, wait_s: float) -> Refusal:
        """Refuse a request and set the delay of its retry.

        Parameters
        ----------
        item : WorkItem
        reason : RefusalReason
        wait_s : float
            Time until a retry may be admitted, seconds; clipped to
            `RETRY_AFTER_MIN_S` and `RETRY_AFTER_MAX_S`.

        Returns
        -------
        Refusal
        """
        clipped = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return Refusal(item=item, reason=reason, retry_after_s=clipped)


class PredictiveAdmission(Admission):
    """Refuses requests whose forecast misses the targets of their class.

    Parameters
    ----------
    random_source : random.Random
        Source of the jitter that keeps refused callers from retrying all at the
        same time.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def compute_queue_limit_s(self, policy: ClassPolicy) -> float:
        """Return the queue limit of the policy; see `Admission`."""
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
        if now + forecast.completion_s > item.deadline:
            late_s = now + forecast.completion_s - item.deadline
            return self.refuse(item, RefusalReason.LATE_COMPLETION, late_s)
        return None

    def refuse(self, item: WorkItem, reason: RefusalReason, wait_s: float) -> Refusal:
        """Refuse and add jitter to the retry delay; see `Admission.refuse`."""
        wait_s = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        jitter = 1.0 + RETRY_AFTER_JITTER_RATIO * self._random.random()
        return super().refuse(item, reason, wait_s * jitter)


class FixedTimeoutAdmission(Admission):
    """Admits all requests and limits their time in the queue to a constant."""

    def compute_queue_limit_s(self, policy: ClassPolicy) -> float:
        """Return the same queue limit for all classes; see `Admission`."""
        return FIXED_QUEUE_LIMIT_S

    def check(
        self, item: WorkItem, policy: ClassPolicy, forecast: Forecast, now: float
    ) -> Refusal | None:
        """Admit the request; see `Admission.check`."""
        return None
