"""How many requests a version that may be bad is allowed to get."""

from __future__ import annotations

from typing import NamedTuple


class ExposureLimits(NamedTuple):
    """Bounds on what a bad version may get, supplied by the deployment.

    Parameters
    ----------
    share : float
        Share of the service's requests from the order to its time limit, 0 to 1.
    slack : float
        Requests beyond the share.
    rollback_s : float
        Time after the discovery of a bad version until it gets nothing, seconds.
    """

    share: float
    slack: float
    rollback_s: float

    def compute_allowed(self, requests: float) -> float:
        """Return how many requests a bad version may get.

        Parameters
        ----------
        requests : float
            Requests of the service from the order to its time limit.
        """
        return self.share * requests + self.slack
