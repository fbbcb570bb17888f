from __future__ import annotations

from ebonyhaven_decisions.forwarding.rollouts import RolloutState, VersionQuality

from tests.forwarding.rollouts import ORDER, PlayedInstances

IN_PROGRESS, REVERTED = RolloutState.IN_PROGRESS, RolloutState.REVERTED
COMPLETED = RolloutState.COMPLETED


def start(**options):
    played = PlayedInstances(**options)
    played.order(ORDER)
    played.advance(1.0)
    return played


def test_sound_version_is_completed_and_all_instances_know():
    played = start()
    played.evidence.quality = VersionQuality.SOUND
    played.advance(11.0)
    assert played.stored.status == [("in_progress", "v2"), ("completed", "v2")]
    assert {each.stage.state for each in played.instances} == {COMPLETED}
    assert played.row.old_versions == ("v1",)
    calls = played.stored.calls
    played.advance(20.0)
    assert played.stored.calls == calls


def test_no_call_without_an_order():
    played = PlayedInstances()
    played.order()
    played.advance(30.0)
    assert played.stored.calls == 0
    assert all(each.gate.has_orders for each in played.instances)


def test_only_the_decider_calls_the_store_for_an_order():
    played = PlayedInstances()
    played.order()
    played.order(ORDER)
    played.advance(1.0)
    assert [each.store.calls > 0 for each in played.instances] == [True, False, False]


def test_bad_version_is_reverted_at_all_instances_within_half_a_second():
    played = start()
    played.evidence.quality = VersionQuality.BAD
    played.advance(0.5)
    assert {each.stage.state for each in played.instances} == {REVERTED}
    assert played.stored.status[-1] == ("reverted", "v2")


def test_handover_lasts_until_nothing_runs_at_the_old_servers():
    played = start()
    played.evidence.quality = VersionQuality.SOUND
    played.evidence.active = None
    played.advance(11.5)
    assert (played.row.state, played.row.share) == (IN_PROGRESS, 1.0)
    played.evidence.active = 0
    played.advance(0.5)
    assert played.row.state is COMPLETED


def test_decider_killed():
    played = start()
    killed = played.instances[0]
    killed.is_cut = True
    killed.controller.stop()
    played.instances[1].is_preferred = True
    played.advance(4.0)
    assert played.row.decider == "n2"
    played.evidence.quality = VersionQuality.BAD
    played.advance(0.5)
    assert played.row.state is REVERTED


def test_decider_and_the_preferred_instance_killed():
    played = start()
    for each in played.instances[:2]:
        each.is_cut = True
        each.controller.stop()
    played.advance(6.0)
    assert played.row.decider == "n3"


def test_decider_frozen_and_woken_after_its_expiry():
    played = start()
    frozen = played.instances[0]
    frozen.freeze()
    played.instances[1].is_preferred = True
    played.evidence.quality = VersionQuality.BAD
    played.advance(5.0)
    assert (played.row.state, played.row.decider) == (REVERTED, "n2")
    before = played.row
    played.evidence.quality = VersionQuality.SOUND
    frozen.store.offset_s = -4.0  # its clock stood still
    frozen.wake(4.0)
    played.advance(3.0)
    assert played.row == before
    assert frozen.stage.state is REVERTED
    assert played.stored.status == [("in_progress", "v2"), ("reverted", "v2")]


def test_decider_cut_from_the_store():
    played = start()
    played.instances[0].store.is_down = True
    played.instances[1].is_preferred = True
    played.advance(4.0)
    assert played.row.decider == "n2"
    assert played.instances[0].stage.decider == "n2"


def test_bad_version_is_withheld_though_the_store_is_silent():
    played = start()
    for each in played.instances:
        each.store.is_silent = True
    played.evidence.quality = VersionQuality.BAD
    played.advance(0.5)
    assert {each.stage.share for each in played.instances} == {0.0}
    for each in played.instances:
        each.store.is_silent = False
    played.advance(3.0)
    assert played.stored.status[-1] == ("reverted", "v2")


def test_answers_of_the_store_are_lost():
    played = start()
    played.instances[0].store.loses_answers = True
    played.evidence.quality = VersionQuality.BAD
    played.advance(1.0)
    assert played.row.state is REVERTED
    assert played.instances[0].stage.state is REVERTED
    assert played.stored.status == [("in_progress", "v2"), ("reverted", "v2")]


def test_store_restored_from_an_older_copy_during_a_stage():
    played = start()
    older = dict(played.stored.rows)
    played.evidence.quality = VersionQuality.SOUND
    played.evidence.active = 2
    played.advance(10.0)
    stage = played.row
    assert stage.share == 1.0
    played.stored.rows, played.stored.version = older, 21
    played.advance(3.0)
    assert (played.row.number, played.row.share) == (stage.number, 1.0)
    assert all(each.stage.number == stage.number for each in played.instances)


def test_second_order_before_the_first_has_ended():
    played = start(versions=("v1", "v2", "v3"))
    second = ORDER._replace(order_id="1.30", version="v3", ordered_at_s=1.0)
    played.order(second)
    played.advance(0.5)
    assert played.row.order.version == "v3"
    assert played.row.old_versions == ("v1",)
    assert played.stored.status == [("in_progress", "v2"), ("in_progress", "v3")]


def test_same_version_again_after_a_revert():
    played = start()
    played.evidence.quality = VersionQuality.BAD
    played.advance(1.0)
    played.evidence.quality = VersionQuality.UNDECIDED
    played.order(ORDER._replace(order_id="1.40", ordered_at_s=2.0))
    played.advance(0.5)
    assert played.row.state is IN_PROGRESS
    assert played.stored.status == [
        ("in_progress", "v2"),
        ("reverted", "v2"),
        ("in_progress", "v2"),
    ]


def test_version_without_servers():
    played = start(versions=("v1",))
    played.advance(11.0)
    assert played.row.state is REVERTED


def test_order_taken_back():
    played = start()
    played.order()
    played.advance(0.5)
    assert played.row.state is REVERTED
    assert {each.stage.state for each in played.instances} == {REVERTED}
    played.list_servers("v1")
    assert all(each.stage is None for each in played.instances)


def test_instance_that_starts_after_the_end_reads_the_stage():
    played = start()
    played.evidence.quality = VersionQuality.SOUND
    late = played.instances[2]
    late.is_cut = True
    played.advance(11.0)
    fresh = type(late)("n3", played)
    fresh.book.replace_orders([ORDER._replace(ordered_at_s=12.0)])
    assert fresh.stage.state is COMPLETED
    assert fresh.book.list_open() == []


def test_instance_that_hears_nothing_learns_of_the_end_from_its_refused_write():
    played = start()
    deaf = played.instances[2]
    deaf.is_cut = True
    played.evidence.quality = VersionQuality.BAD
    played.advance(6.0)
    assert deaf.stage.state is REVERTED


def test_reader_tells_the_others_of_an_order():
    played = PlayedInstances()
    played.instances[1].book.replace_orders([ORDER], is_relayed=True)
    played.advance(0.5)
    assert {each.book.find_order("plain") for each in played.instances} == {ORDER}
