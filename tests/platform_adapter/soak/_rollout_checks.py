"""Whether bad versions reach few callers (EXPOSURE), and roll-outs cut none."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._fault_log import PlayedRollout, VersionKind
from tests.platform_adapter.soak._server_log import Arrival, RunEnd

BAD_ANSWERS = 50


class ExposureBounds(NamedTuple):
    """What a bad version may get at most.

    Parameters
    ----------
    share : float
        Of the requests that reach its service from the order to its limit.
    slack : int
    rollback_s : float
        Time after its 50th bad answer, seconds.
    """

    share: float
    slack: int
    rollback_s: float


EXPOSURE = ExposureBounds(share=0.1, slack=50, rollback_s=5.0)


class RolloutHistory:
    """Requests of the service that is rolled out, by version.

    Parameters
    ----------
    arrivals : iterable of Arrival
    versions : mapping of str to str
        Version of each process of the service.
    contact : ContactHistory
    """

    def __init__(
        self,
        arrivals: Iterable[Arrival],
        versions: Mapping[str, str],
        contact: ContactHistory,
    ):
        self._versions = versions
        self._contact = contact
        self._arrivals = [each for each in arrivals if each.process in versions]

    def list_all(self, played: PlayedRollout) -> list[Arrival]:
        """Return the requests of the service from an order to its limit."""
        return [each for each in self._arrivals if played.at <= each.at < played.limit]

    def list_exposed(self, played: PlayedRollout) -> list[Arrival]:
        """Return the requests that reached a version through instances in touch."""
        return [
            each
            for each in self._arrivals
            if self._versions[each.process] == played.version and self._is_counted(each)
        ]

    def _is_counted(self, arrival: Arrival) -> bool:
        result = self._contact.find_result(arrival.request_id)
        return result is not None and self._contact.is_in_touch(
            result.instance, result.sent_at, arrival.at
        )


def check_exposure(
    rollouts: Sequence[PlayedRollout],
    history: RolloutHistory,
    ends: Iterable[RunEnd],
    bounds: ExposureBounds,
) -> list[str]:
    """Return bad versions that reached too many callers, or reached them too long."""
    bad_at: dict[str, list[float]] = {}
    for each in ends:
        if each.is_bad:
            bad_at.setdefault(each.process, []).append(each.at)
    problems = []
    for played in rollouts:
        if played.kind is VersionKind.SOUND:
            continue
        exposed = history.list_exposed(played)
        in_time = [each for each in exposed if each.at < played.limit]
        allowed = bounds.share * len(history.list_all(played)) + bounds.slack
        if len(in_time) > allowed:
            problems.append(
                f"EXPOSURE: {len(in_time)} requests reached {played}, {allowed:.0f} "
                "allowed"
            )
        processes = {each.process for each in exposed}
        bad = sorted(at for process in processes for at in bad_at.get(process, ()))
        if len(bad) < BAD_ANSWERS:
            continue
        until = bad[BAD_ANSWERS - 1] + bounds.rollback_s
        late = [each for each in exposed if each.received_at > until]
        if late:
            problems.append(
                f"EXPOSURE: {len(late)} requests after {until:.3f}: {played}"
            )
    return problems


def check_rollout_cuts(
    rollouts: Sequence[PlayedRollout],
    ends: Iterable[RunEnd],
    versions: Mapping[str, str],
) -> list[str]:
    """Return requests that the end of the old servers of a roll-out cut."""
    completed = [each for each in rollouts if each.state == "completed"]
    return [
        f"LOST: {end.request_id} was cut at {end.process} as {played.version} completed"
        for played in completed
        for end in ends
        if end.is_broken_off
        and end.was_stopped
        and versions.get(end.process) not in (None, played.version)
        and 0.0 <= end.at - played.decided_at < 1.0
    ]


def list_rollouts(rollouts: Iterable[PlayedRollout]) -> list[str]:
    """Return what became of each roll-out; a missed time limit is no broken rule."""
    return [f"roll-out: {each}" for each in rollouts]


def map_versions(processes, service: str) -> dict[str, str]:
    """Return the versions of the processes of the service that is rolled out."""
    return {
        each.process.process_id: each.process.version
        for each in processes
        if each.service == service
    }
