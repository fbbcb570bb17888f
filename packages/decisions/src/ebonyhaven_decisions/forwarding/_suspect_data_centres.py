"""Data centres that are suspect after the loss of a server."""

from __future__ import annotations

import math

from ebonyhaven_decisions.forwarding._backends import Backend

# The loss of the other servers of a failed data centre is detected within this time.
DATA_CENTRE_SUSPECT_S = 0.8


class SuspectDataCentres:
    """Times at which servers of each data centre were lost."""

    __slots__ = ("_lost_at",)

    def __init__(self) -> None:
        self._lost_at: dict[str, float] = {}  # by data centre

    def record_loss(self, data_centre: str, now: float) -> None:
        """Suspect a data centre of which a server was lost.

        Parameters
        ----------
        data_centre : str
        now : float
            Seconds.
        """
        self._lost_at[data_centre] = now

    def is_suspect_data_centre(self, data_centre: str, now: float) -> bool:
        """Return whether a server of a data centre was lost recently.

        Servers of a data centre tend to fail together, and each further loss is
        only detected by sending a request.

        Parameters
        ----------
        data_centre : str
        now : float
            Seconds.
        """
        return now - self._lost_at.get(data_centre, -math.inf) < DATA_CENTRE_SUSPECT_S

    def avoid_suspect_data_centres(
        self, candidates: list[Backend], now: float
    ) -> list[Backend]:
        """Return the candidates outside suspect data centres, or all if none are.

        Parameters
        ----------
        candidates : list of Backend
        now : float
            Seconds.

        Returns
        -------
        list of Backend
        """
        unsuspected = [
            each
            for each in candidates
            if not self.is_suspect_data_centre(each.entry.data_centre, now)
        ]
        return unsuspected or candidates
