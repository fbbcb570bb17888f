from __future__ import annotations

from ebonyhaven_decisions.forwarding import CrashHistory, LossReport
from ebonyhaven_decisions.forwarding._crash_history import SETTLE_S
from ebonyhaven_node.forwarding._loss_records import WRITE_DELAY_S, LossRecorder
from ebonyhaven_node.forwarding._shared_records import RETRY_INTERVAL_S
from twisted.internet.task import Clock

from tests.forwarding.fakes import FakeLossStore

CONTENT = "0123456789abcdef"


def build_recorder(store, *, is_recorder=True):
    clock, history, reads = Clock(), CrashHistory(), []
    clock.advance(50.0)
    recorder = LossRecorder(
        history=history,
        store=store,
        reactor=clock,
        clock=clock.seconds,
        on_read=lambda: reads.append(clock.seconds()),
    )
    recorder.start(lambda: is_recorder)
    return recorder, history, clock, reads


def lose_servers(recorder, history, clock, count):
    for number in range(count):
        report = LossReport(f"s{number}", "dc-a", 0.0, ((CONTENT,),))
        history.add(report, clock.seconds())
    recorder.schedule_write()
    clock.advance(WRITE_DELAY_S)


def test_blocked_content_is_known_after_the_loss_of_all_instances():
    # Guards against instances that all start anew, know of no crash and let the
    # content crash as many servers again.
    store = FakeLossStore()
    lose_servers(*build_recorder(store)[:3], 3)
    _, history, clock, reads = build_recorder(store)
    assert history.find_blocked_trait([CONTENT], clock.seconds() + SETTLE_S)
    assert len(reads) == 1


def test_contents_that_lost_one_server_are_not_written():
    store = FakeLossStore()
    recorder, history, clock, _ = build_recorder(store)
    lose_servers(recorder, history, clock, 1)
    assert store.write_count == 0
    history.add(LossReport("s9", "dc-b", 0.0, (("other",),)), clock.seconds())
    lose_servers(recorder, history, clock, 2)
    assert store.write_count == 1
    assert {each.requests for each in store.reports} == {((CONTENT,),)}


def test_losses_that_do_not_count_are_not_written():
    # The losses beside which they do not count are unknown to who reads them.
    store = FakeLossStore()
    recorder, history, clock, _ = build_recorder(store)
    history.add(LossReport("s9", "dc-a", 0.0, (("other",),)), clock.seconds())
    lose_servers(recorder, history, clock, 3)
    assert store.write_count == 0


def test_what_is_written_already_is_not_written_again():
    store = FakeLossStore()
    recorder, history, clock, _ = build_recorder(store)
    for _ in range(3):
        lose_servers(recorder, history, clock, 2)
    assert store.write_count == 1


def test_only_one_instance_writes():
    store = FakeLossStore()
    lose_servers(*build_recorder(store, is_recorder=False)[:3], 3)
    assert store.write_count == 0


def test_read_and_write_are_repeated_while_the_store_is_away():
    store = FakeLossStore()
    store.is_down = True
    recorder, history, clock, reads = build_recorder(store)
    lose_servers(recorder, history, clock, 3)
    assert store.write_count == 0
    store.is_down = False
    store.reports = [LossReport("s7", "dc-b", 1.0, (("other",),))]
    clock.pump([RETRY_INTERVAL_S] * 2)
    assert store.write_count == 1
    assert len(reads) == 1
    assert history.count_crashes("other", clock.seconds()) == 1


def test_stopped_recorder_does_nothing_more():
    store = FakeLossStore()
    store.is_down = True
    recorder, history, clock, _ = build_recorder(store)
    lose_servers(recorder, history, clock, 3)
    recorder.stop()
    assert clock.getDelayedCalls() == []
