"""Settings of an instance that forwards requests."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from ebonyhaven_decisions.forwarding.rollouts import ExposureLimits


@attrs.frozen(slots=True, kw_only=True)
class GatewaySettings:
    """Settings of an instance, supplied by the deployment.

    Parameters
    ----------
    instance, data_centre, region : str
    caller_address, control_address : str
        ``IP:PORT``.
    seeds : mapping of str to str
        Control addresses of other instances by name.
    grace_s : float
        Time between the request to stop and the kill of the process, seconds.
    retry_budget_ratio, retry_budget_window_s, retry_budget_slack : float
        Limit on retries, see `ServiceRetryBudget`.
    link_bytes_per_s : float or None
        What the link of this instance carries; None if unknown.
    exposure : ExposureLimits or None
        Limits on requests for new software versions; None if the deployment names
        none. If so, there are no roll-outs.
    """

    instance: str
    data_centre: str
    region: str
    caller_address: str
    control_address: str
    seeds: Mapping[str, str]
    grace_s: float
    retry_budget_ratio: float
    retry_budget_window_s: float
    retry_budget_slack: float
    link_bytes_per_s: float | None = None
    exposure: ExposureLimits | None = None
