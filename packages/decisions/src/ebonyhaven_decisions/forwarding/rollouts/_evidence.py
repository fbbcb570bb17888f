"""What the answers that all instances saw say of a new software version."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable, Collection, Mapping, Sequence

import attrs

from ebonyhaven_decisions.forwarding.rollouts._answer_counts import (
    ANSWERED,
    FAILED,
    LOST,
    MAX_ROWS,
    PACE,
    PAUSE,
    TIME,
    CountKey,
    check_count,
    decode_counts,
    encode_counts,
    summarize,
)
from ebonyhaven_decisions.forwarding.rollouts._comparison import choose_bucket
from ebonyhaven_decisions.forwarding.rollouts._judgement import judge_answers
from ebonyhaven_decisions.forwarding.rollouts._stages import RolloutOrder
from ebonyhaven_decisions.forwarding.rollouts._verdicts import VersionVerdict

NEWS_TTL_S = 2.5  # instances report each second
RECENT_S = 3.0
SNAPSHOT_INTERVAL_S = 0.5
MAX_LISTED_VERSIONS = 20


@attrs.define(slots=True)
class _News:
    """What one instance saw since an order.

    Attributes
    ----------
    counts : Counter of CountKey
    requests, exposed : int
        Requests of the service, and attempts that reached the new version.
    active : dict of str to int
        Requests in flight by version.
    stage : int
        Number of the stage that it knows; 0 for none.
    earlier : dict of str to int
        Answers by route before it followed the order.
    at : float
        When the news came, seconds.
    """

    counts: Counter = attrs.Factory(Counter)
    requests: int = 0
    exposed: int = 0
    active: dict[str, int] = attrs.Factory(dict)
    stage: int = 0
    earlier: dict[str, int] = attrs.Factory(dict)
    at: float = -math.inf


@attrs.define(slots=True)
class _Evidence:
    """Evidence of all instances on one order.

    Attributes
    ----------
    retired : list of _News
        Last news of instances that have started again since.
    snapshots : deque of (float, Counter)
        Totals of some time ago.
    """

    order: RolloutOrder
    own: _News = attrs.Factory(_News)
    peers: dict[str, _News] = attrs.Factory(dict)
    retired: list[_News] = attrs.Factory(list)
    snapshots: deque = attrs.Factory(deque)

    def list_news(self) -> list[_News]:
        return [self.own, *self.peers.values(), *self.retired]

    def sum_earlier(self) -> Counter:
        total: Counter = Counter()
        for each in self.list_news():
            total.update(each.earlier)
        return total

    def sum_counts(self) -> Counter:
        total: Counter = Counter()
        for each in self.list_news():
            total.update(each.counts)
        return total


class EvidenceBoard:
    """Counts of answers by version and route, while orders are open.

    Parameters
    ----------
    count_in_flight : callable
        Returns the requests of this instance that are at servers of a service, by
        software version.
    list_peers : callable
        Returns the names of the other live instances.
    read_stage_number : callable
        Returns the number of the stage that this instance knows of a service; 0 for
        none.
    """

    __slots__ = ("_count_in_flight", "_evidence", "_list_peers", "_read_stage_number")

    def __init__(
        self,
        *,
        count_in_flight: Callable[[str], dict[str, int]],
        list_peers: Callable[[], Collection[str]],
        read_stage_number: Callable[[str], int],
    ):
        self._count_in_flight = count_in_flight
        self._list_peers = list_peers
        self._read_stage_number = read_stage_number
        self._evidence: dict[str, _Evidence] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no order is open."""
        return not self._evidence

    def list_services(self) -> list[str]:
        """Return the services with an open order."""
        return list(self._evidence)

    def follow(
        self,
        service: str,
        order: RolloutOrder | None,
        earlier: Mapping[str, int] | None = None,
    ) -> None:
        """Start or stop counting the answers of a service.

        Parameters
        ----------
        service : str
        order : RolloutOrder or None
            The open order; None if there is none.
        earlier : mapping of str to int or None
            Answers that this instance saw before, by route.
        """
        if order is None:
            self._evidence.pop(service, None)
            return
        known = self._evidence.get(service)
        if known is None or known.order.order_id != order.order_id:
            own = _News(earlier=dict(earlier or {}))
            self._evidence[service] = _Evidence(order, own)

    # -- own answers -------------------------------------------------------

    def record_sent(self, service: str, version: str | None, *, is_first: bool) -> None:
        """Record that a request was sent to a server.

        Parameters
        ----------
        service : str
        version : str or None
            Software version of the server.
        is_first : bool
            Whether it is the first attempt of the request.
        """
        known = self._evidence.get(service)
        if known is None:
            return
        known.own.requests += is_first
        known.own.exposed += version == known.order.version

    def record(
        self,
        service: str,
        version: str | None,
        route: str,
        *,
        is_loaded: bool = False,
        is_answer: bool = True,
        is_failure: bool = False,
        lost_process: str | None = None,
        time_s: float | None = None,
        pace_s: float | None = None,
        pause_s: float | None = None,
    ) -> None:
        """Record an answer, or something of it.

        Parameters
        ----------
        service : str
        version : str or None
            Software version of the server; answers of an unknown one are left out.
        route : str
        is_loaded : bool
            Whether at least half of the server's slots were taken.
        is_answer : bool
            False for a stream whose beginning was recorded before.
        is_failure : bool
        lost_process : str or None
            The server's process if the answer broke off or didn't come; its failures
            count as few, because the process may have crashed.
        time_s, pace_s, pause_s : float or None
            Time to the whole answer or the first event, time between two events at
            the beginning of a stream, and longest pause, in seconds; None if unknown.
        """
        known = self._evidence.get(service)
        if known is None or version is None:
            return

        def add(code: str) -> None:
            known.own.counts[CountKey(route, version, is_loaded, code)] += 1

        if is_answer:
            add(ANSWERED)
        if is_failure:
            add(FAILED if lost_process is None else f"{LOST}{lost_process}")
        for kind, seconds in ((TIME, time_s), (PACE, pace_s), (PAUSE, pause_s)):
            if seconds is not None:
                add(f"{kind}{choose_bucket(seconds)}")

    # -- news of instances -------------------------------------------------

    def export(self) -> dict[str, list] | None:
        """Return what this instance saw, for the others; None if no order is open."""
        if not self._evidence:
            return None
        return {
            known.order.order_id: [
                known.own.requests,
                known.own.exposed,
                self._read_stage_number(service),
                self._count_in_flight(service),
                encode_counts(known.own.counts),
                known.own.earlier,
            ]
            for service, known in self._evidence.items()
        }

    def merge(self, sender: str, payload: object, now: float) -> None:
        """Merge what another instance saw.

        Parameters
        ----------
        sender : str
        payload : object
            JSON value from `export`.
        now : float
            Seconds.

        Raises
        ------
        AttributeError, TypeError, ValueError
            If it is malformed; nothing of that order is merged then.
        """
        for order_id, fields in payload.items():
            known = self._find(order_id)
            if known is None:
                continue
            requests, exposed, stage, active, rows, *optional = fields
            earlier = optional[0] if optional else {}
            if len(active) > MAX_LISTED_VERSIONS or len(earlier) > MAX_ROWS:
                raise ValueError("too many versions or routes")
            news = _News(
                counts=decode_counts(rows),
                requests=check_count(requests),
                exposed=check_count(exposed),
                active={str(key): check_count(each) for key, each in active.items()},
                stage=check_count(stage),
                earlier={str(key): check_count(n) for key, n in earlier.items()},
                at=now,
            )
            before = known.peers.get(sender)
            if before is not None and news.requests < before.requests:
                known.retired.append(before)
            known.peers[sender] = news

    def count_active(
        self, service: str, versions: Sequence[str], now: float
    ) -> int | None:
        """Return the requests in flight at servers of some versions.

        Parameters
        ----------
        service : str
        versions : sequence of str
        now : float
            Seconds.

        Returns
        -------
        int or None
            None if a live instance's news is missing or older than `NEWS_TTL_S`, or
            it doesn't know the stage that this one knows.
        """
        known = self._evidence.get(service)
        if known is None:
            return None
        stage = self._read_stage_number(service)
        own = self._count_in_flight(service)
        total = sum(own.get(each, 0) for each in versions)
        for name in self._list_peers():
            news = known.peers.get(name)
            if news is None or now - news.at > NEWS_TTL_S or news.stage < stage:
                return None
            total += sum(news.active.get(each, 0) for each in versions)
        return total

    # -- verdict -----------------------------------------------------------

    def judge(
        self, order: RolloutOrder, old_versions: Sequence[str], now: float
    ) -> VersionVerdict:
        """Judge a new version by the answers of all instances.

        Parameters
        ----------
        order : RolloutOrder
        old_versions : sequence of str
            All but the new one if empty.
        now : float
            Seconds.
        """
        known = self._find(order.order_id) or _Evidence(order)
        total = known.sum_counts()
        recent = total - self._find_earlier(known, total, now)
        news = known.list_news()
        quality, answers, bad_answers, reason = judge_answers(
            new=[summarize(each, [order.version]) for each in (total, recent)],
            old=[
                summarize(each, old_versions or None, without=order.version)
                for each in (total, recent)
            ],
            earlier=known.sum_earlier(),
        )
        return VersionVerdict(
            quality=quality,
            answers=answers,
            bad_answers=bad_answers,
            requests=sum(each.requests for each in news),
            exposed=sum(each.exposed for each in news),
            reason=reason,
        )

    def _find_earlier(self, known: _Evidence, total: Counter, now: float) -> Counter:
        """Return the totals of about `RECENT_S` ago, and keep those of now."""
        snapshots = known.snapshots
        if not snapshots or now - snapshots[-1][0] >= SNAPSHOT_INTERVAL_S:
            snapshots.append((now, total))
        while len(snapshots) > 1 and now - snapshots[1][0] >= RECENT_S:
            snapshots.popleft()
        at, earlier = snapshots[0]
        return earlier if now - at >= RECENT_S else Counter()

    def _find(self, order_id: str) -> _Evidence | None:
        for each in self._evidence.values():
            if each.order.order_id == order_id:
                return each
        return None
