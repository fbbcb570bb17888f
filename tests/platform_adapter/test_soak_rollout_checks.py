from __future__ import annotations

from nose2.tools import params

from tests.platform_adapter.soak._callers import Result
from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._fault_log import (
    FaultLog,
    PlayedRollout,
    VersionKind,
)
from tests.platform_adapter.soak._rollout_checks import (
    ExposureBounds,
    RolloutHistory,
    check_exposure,
    check_rollout_cuts,
)
from tests.platform_adapter.soak._server_log import Arrival, RunEnd

VERSIONS = {"p0-1": "v1", "p9-1": "r0"}
BOUNDS = ExposureBounds(share=0.1, slack=5, rollback_s=5.0)
BAD = PlayedRollout("r0", VersionKind.FAILS, at=100.0, limit=110.0)


def _arrive(process, times):
    return [
        Arrival(f"{process}/{at}", "/once/1", process, at, True, received_at=at)
        for at in times
    ]


def _check(arrivals, ends=(), *, played=BAD):
    results = [
        Result(each.request_id, each.path, each.at, each.at, 200, None, b"", True, "n1")
        for each in arrivals
    ]
    contact = ContactHistory(results, FaultLog(), {})
    history = RolloutHistory(arrivals, VERSIONS, contact)
    return check_exposure([played], history, ends, BOUNDS)


def test_a_bad_version_may_get_its_share_and_the_slack():
    old = _arrive("p0-1", [100.0 + each / 20 for each in range(90)])

    assert not _check([*old, *_arrive("p9-1", [101.0 + each for each in range(9)])])


def test_a_bad_version_that_gets_more_is_found():
    found = _check(_arrive("p9-1", [100.0 + each / 2 for each in range(12)]))

    assert [each.partition(":")[0] for each in found] == ["EXPOSURE"]


def test_a_sound_version_may_get_everything():
    played = BAD._replace(kind=VersionKind.SOUND)

    assert not _check(
        _arrive("p9-1", [100.0 + each / 2 for each in range(12)]), played=played
    )


@params((114.0, False), (116.5, True))
def test_a_bad_version_gets_nothing_long_after_its_fiftieth_bad_answer(
    late_at, is_found
):
    ends = [
        RunEnd(f"r{each}", "p9-1", 111.0, is_broken_off=False, is_bad=True)
        for each in range(50)
    ]

    assert bool(_check(_arrive("p9-1", [late_at]), ends)) is is_found


def test_requests_that_completed_roll_outs_cut_are_found():
    played = BAD._replace(state="completed", decided_at=108.0)
    end = RunEnd("r1", "p0-1", 108.1, is_broken_off=True, was_stopped=True)

    assert check_rollout_cuts([played], [end], VERSIONS)
    assert not check_rollout_cuts([played], [end._replace(process="p9-1")], VERSIONS)
