"""Losses of servers, and the requests that those were running."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import attrs

COMMON_CAUSE_WINDOW_S = 0.5  # losses in one data centre within it may have one cause

Traits = tuple[str, ...]


class LossReport(NamedTuple):
    """The loss of a server under some requests, as told to other instances.

    Parameters
    ----------
    process : str
        Identifies the process of the server.
    data_centre : str
    age_s : float
        Time since the loss, seconds. Ages need no clocks that agree.
    requests : tuple of tuple of str
        Traits of each request that the server was running.
    """

    process: str
    data_centre: str
    age_s: float
    requests: tuple[Traits, ...]


@attrs.define(slots=True, eq=False)
class Loss:
    """The loss of a server as an instance knows it.

    Parameters
    ----------
    process : str
        Identifies the process of the server.
    data_centre : str
    lost_at : float
        Seconds.

    Attributes
    ----------
    requests : dict of tuple of str to None
        Traits of each request that the server was running, in order.
    traits : set of str
        All of them.
    companions : list of Loss
        Losses that may share the cause of this one.
    """

    process: str
    data_centre: str
    lost_at: float
    requests: dict[Traits, None] = attrs.Factory(dict)
    traits: set[str] = attrs.Factory(set)
    companions: list[Loss] = attrs.Factory(list)

    def may_share_cause(self, other: Loss) -> bool:
        """Return whether one failure of the data centre may have caused both losses.

        Parameters
        ----------
        other : Loss
        """
        is_same_place = self.data_centre == other.data_centre
        return is_same_place and abs(self.lost_at - other.lost_at) <= (
            COMMON_CAUSE_WINDOW_S
        )

    def may_be_common_failure(self, trait: str) -> bool:
        """Return whether a server was lost beside this one without the trait.

        Parameters
        ----------
        trait : str
        """
        return any(trait not in each.traits for each in self.companions)

    def list_witnesses(self, limit: int) -> list[Loss]:
        """Return losses beside this one that tell it from the crash of a request.

        Of a server without any of the traits, if there is one; rather of one that ran
        no request that is known, as no other instance reports it.

        Parameters
        ----------
        limit : int
            Maximum number of losses that lack the same traits.

        Returns
        -------
        list of Loss
            Enough that `may_be_common_failure` has the same result for each trait.
        """
        found: list[Loss] = []
        lacking = dict.fromkeys(self.traits, 0)
        for each in sorted(self.companions, key=lambda loss: len(loss.traits)):
            missing = [
                trait
                for trait, count in lacking.items()
                if count < limit and trait not in each.traits
            ]
            if missing:
                found.append(each)
            for trait in missing:
                lacking[trait] += 1
        return found

    def select_new(self, requests: Iterable[Traits], *, limit: int) -> list[Traits]:
        """Return the requests that are to be added.

        Parameters
        ----------
        requests : iterable of tuple of str
            Traits of each.
        limit : int
            Number of requests beyond which only the parts that they share with others
            are kept, without their contents.

        Returns
        -------
        list of tuple of str
        """
        new: dict[Traits, None] = {}
        known = set(self.traits)
        for traits in requests:
            if traits in self.requests:
                continue
            count = len(self.requests) + len(new)
            kept = traits if count < limit else traits[:-1]
            if count >= limit and (count >= 2 * limit or known.issuperset(kept)):
                continue
            new[kept] = None
            known.update(kept)
        return list(new)

    def make_report(self, requests: Iterable[Traits], now: float) -> LossReport:
        """Return what other instances should know of the loss.

        Parameters
        ----------
        requests : iterable of tuple of str
            Those to report.
        now : float
            Seconds.
        """
        age_s = now - self.lost_at
        return LossReport(self.process, self.data_centre, age_s, tuple(requests))
