"""Whether requests are handled as a configuration that may be in force allows."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

from tests.platform_adapter.soak._callers import Result
from tests.platform_adapter.soak._configurations import TIMED_PATH, PlayedVersion
from tests.platform_adapter.soak._contact import RESTARTS, ContactHistory
from tests.platform_adapter.soak._servers import TIMED_WORK_S

APPLY_S = 2.0  # until a configuration is in force
REVERT_SLACK_S = 0.25
ANSWER_SLACK_S = 0.5  # beyond the timeout of a route
NOT_DENIALS = frozenset({408, 421, 429})
ABSENT = frozenset({401, 403, 404})
MAX_DENIALS = 5
DENIAL_SHARE = 1 / 500
MAX_DENIALS_OUT_OF_TOUCH = 10
MAX_LATE = 7
MAX_LATE_SHARE = 1 / 4


class ConfigurationHistory:
    """How requests were handled, beside the versions that were played.

    Parameters
    ----------
    results : sequence of Result
    arrivals : iterable of Arrival
    played : sequence of PlayedVersion
    services : mapping of str to str
        Services by process.
    contact : ContactHistory
    """

    def __init__(self, results, arrivals, played, services, contact):
        self.results: Sequence[Result] = sorted(results, key=lambda each: each.sent_at)
        self.contact: ContactHistory = contact
        self._played: Sequence[PlayedVersion] = played
        self._runs: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for each in arrivals:
            if each.has_run:
                run = (each.at, services[each.process])
                self._runs[each.request_id].append(run)

    def list_candidates(self, result: Result) -> list[PlayedVersion]:
        """Return the versions that may be in force for a request."""
        due_by = result.sent_at - APPLY_S
        due = [each for each in self._played if each.at <= due_by]
        newer = [each for each in self._played if due_by < each.at <= result.ended_at]
        return [*due[-1:], *newer]

    def list_allowing(self, result: Result) -> list[PlayedVersion] | None:
        """Return the versions under which a request may be handled as it was.

        Returns
        -------
        list of PlayedVersion or None
            None if nothing tells.
        """
        runs = self._runs[result.request_id]
        if runs:
            return [
                each
                for each in self._played
                if all(
                    service in each.find_services(result.path, result.key)
                    for _, service in runs
                )
            ]
        if is_denied(result) and result.status in ABSENT:
            return [
                each
                for each in self._played
                if not each.allows(result.path, result.key)
            ]
        return None

    def find_first_run(self, result: Result) -> float | None:
        """Return when a server first ran a request."""
        return min((at for at, _ in self._runs[result.request_id]), default=None)

    def is_always_allowed(self, result: Result) -> bool:
        return all(each.allows(result.path, result.key) for each in self._played)

    def is_in_touch(self, result: Result) -> bool:
        return self.contact.is_in_touch(
            result.instance, result.sent_at, result.ended_at
        )


def is_denied(result: Result) -> bool:
    """Return whether an instance itself refused a request as wrong."""
    status = result.status
    is_wrong = status is not None and 300 <= status < 500 and status not in NOT_DENIALS
    return is_wrong and result.stamp is None


def check_configurations_in_force(history: ConfigurationHistory) -> list[str]:
    """Return requests that were handled as only an overdue version allows."""
    problems = []
    for each in history.results:
        allowing = history.list_allowing(each)
        if allowing is None or not history.is_in_touch(each):
            continue
        candidates = history.list_candidates(each)
        if not any(version in allowing for version in candidates):
            problems.append(
                f"CONFIG: {_describe(each)} as {_name(allowing)} allow, "
                f"not {_name(candidates)}"
            )
    return problems


def check_reverts(history: ConfigurationHistory) -> list[str]:
    """Return requests for which an instance fell back to an older version."""
    by_life: dict[tuple[str, int], list[Result]] = defaultdict(list)
    for each in history.results:
        life = history.contact.count_disturbances(
            each.instance, RESTARTS, until=each.sent_at
        )
        by_life[each.instance, life].append(each)
    problems = []
    for results in by_life.values():
        problems += _check_reverts_of_one(history, results)
    return problems


def _check_reverts_of_one(history, results: list[Result]) -> list[str]:
    seen = []  # when a server saw an effect, and of which version at least
    for each in results:
        at, allowing = history.find_first_run(each), history.list_allowing(each)
        if at is not None and allowing:
            seen.append((at, allowing[0].version, each))
    seen.sort(key=lambda effect: effect[0])
    newest = []
    for at, version, by in seen:
        if not newest or version > newest[-1][1]:
            newest.append((at, version, by))
    problems = []
    for each in results:
        allowing = history.list_allowing(each)
        if not allowing:
            continue
        since = each.sent_at - REVERT_SLACK_S
        before = [effect for effect in newest if effect[0] < since]
        if before and allowing[-1].version < before[-1][1]:
            problems.append(
                f"CONFIG: {_describe(each)} as {_name(allowing)} allow, after "
                f"{before[-1][1]} was seen by {before[-1][2].request_id}"
            )
    return problems


def check_timeouts(history: ConfigurationHistory) -> list[str]:
    """Return whether requests that last long are answered too late."""
    long, late = 0, []
    for each in history.results:
        if not each.path.startswith(TIMED_PATH) or not history.is_in_touch(each):
            continue
        candidates = history.list_candidates(each)
        timeout_s = max(version.timeout_s for version in candidates)
        if timeout_s >= TIMED_WORK_S or history.find_first_run(each) is None:
            continue
        long += 1
        if each.ended_at > each.sent_at + timeout_s + ANSWER_SLACK_S:
            late.append(each)
    if len(late) <= MAX_LATE or len(late) <= MAX_LATE_SHARE * long:
        return []
    return [f"CONFIG: {len(late)} of {long} had no answer at their timeout"]


def check_denials(history: ConfigurationHistory) -> list[str]:
    """Return whether proper requests were refused as if they were wrong."""
    denied = [each for each in history.results if is_denied(each)]
    in_touch, out_of_touch = [], []
    for each in denied:
        candidates = history.list_candidates(each)
        if not all(version.allows(each.path, each.key) for version in candidates):
            continue
        if history.is_in_touch(each):
            in_touch.append(each)
        elif history.is_always_allowed(each):
            out_of_touch.append(each)
    problems = []
    if len(in_touch) > MAX_DENIALS + DENIAL_SHARE * len(history.results):
        problems.append(f"DENIED: {len(in_touch)} in touch: {_describe(in_touch[0])}")
    if len(out_of_touch) > MAX_DENIALS_OUT_OF_TOUCH:
        problems.append(
            f"DENIED: {len(out_of_touch)} out of touch: {_describe(out_of_touch[0])}"
        )
    return problems


def list_denials(history: ConfigurationHistory) -> list[str]:
    """Return refusals of requests that every version allows."""
    return [
        f"denied: {_describe(each)}"
        for each in history.results
        if is_denied(each) and history.is_always_allowed(each)
    ]


def _describe(result: Result) -> str:
    return (
        f"{result.request_id} ({result.path}, {result.key}) at {result.instance} "
        f"sent {result.sent_at:.3f} got {result.status}"
    )


def _name(versions: Iterable[PlayedVersion]) -> str:
    return ", ".join(
        f"{each.version} ({each.at:.3f})"
        for each in sorted(versions, key=lambda version: version.at or -math.inf)
    )
