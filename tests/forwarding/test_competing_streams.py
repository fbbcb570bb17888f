"""Streams of several ranks and workspaces that compete for one engine."""

from __future__ import annotations

import json

from ebonyhaven_decisions.forwarding import (
    EngineUse,
    RequestKind,
    ServiceShare,
    Workspace,
)
from ebonyhaven_decisions.forwarding.waiting import (
    NEWS_TTL_S,
    RANKS,
    RankNews,
    WaitingStream,
)
from ebonyhaven_node.forwarding.waiting import WaitingSection, WaitingState

from tests.forwarding.harness import (
    KEY,
    STREAM_END,
    ForwardingHarness,
    chunk,
    decode_headers,
    event,
    make_configuration,
    make_route,
    stream_head,
)
from tests.forwarding.streaming import record_durations

TARGETS_S = {"urgent": 4.0, "usual": 5.0, "patient": 10.0}  # by rank
RUN_S = 6.0
HALF = "30000,700"  # two of them fit on an engine
WHOLE = "60000,700"
MANY = 200
MAX_SECTION_BYTES = 80


def start(size=WHOLE, targets=TARGETS_S, engines=1):
    """Return a harness whose engine runs a stream of the given size."""
    routes = [
        make_route(
            name,
            RequestKind.STREAM,
            priority=rank,
            shares=(ServiceShare("engines", 1.0),),
            timeout_s=25.0,
            target_latency_s=target_s,
            target_gap_s=0.7,
            max_attempts=5,
            is_resumable=True,
        )
        for rank, (name, target_s) in enumerate(targets.items())
    ]
    configuration = make_configuration(routes=routes)
    configuration.workspaces["other"] = Workspace("studio-b", None)
    harness = ForwardingHarness(configuration, engines=engines)
    for name in targets:
        record_durations(harness, name, RUN_S)
    ask(harness, "usual", "first", size)
    return harness


def ask(harness, route, request_id, size=WHOLE, key=KEY):
    caller = harness.open_caller()
    caller.request(
        f"/{route}/x",
        request_id=request_id,
        X_Token_Count=size,
        X_Prompt_Prefix=f"aa:200,{len(request_id)}b:{int(size.split(',')[0]) - 200}",
        Authorization=f"Bearer {key}",
    )
    return caller


def serve(harness, count):
    """Serve streams one after the other and return their ids."""
    served = []
    for _ in range(count):
        server, head, _ = harness.take_request()
        request_id = decode_headers(head)["x-attempt-id"]
        served.append(request_id)
        server.receive(stream_head(request_id) + chunk(event(1)) + STREAM_END)
        harness.advance(0.4)
    return served


def fill_at_peer(harness, waiting):
    """Let a peer report full engines, and streams that wait in it."""
    now = harness.reactor.seconds()
    uses = {"e-0": EngineUse(80_000, 0, 8_000)}
    harness.gateway._peers.record("n2", uses, now)
    news = [RankNews(waiting, 4.0, 0.1)] * RANKS
    harness.gateway._waiting.get("engines").peers.record("n2", news, now)


def test_burst_of_the_least_urgent_does_not_delay_an_urgent_stream():
    harness = start()
    for number in range(6):
        ask(harness, "patient", f"patient-{number}")
    ask(harness, "urgent", "urgent")
    assert serve(harness, 3) == ["first", "urgent", "patient-0"]


def test_burst_of_the_most_urgent_leaves_the_rest_to_others():
    harness = start()
    ask(harness, "patient", "patient")
    for number in range(2):  # a third one would have room after 18 s, which is too late
        ask(harness, "urgent", f"urgent-{number}")
    assert serve(harness, 4) == ["first", "urgent-0", "urgent-1", "patient"]


def test_hot_workspace_delays_another_one_by_one_stream():
    harness = start()
    for number in range(6):
        ask(harness, "usual", f"hot-{number}")
    ask(harness, "usual", "other", key="other")
    assert serve(harness, 4) == ["first", "hot-0", "other", "hot-1"]


def test_routes_order_the_streams_of_workspaces_with_a_priority_of_their_own():
    harness = start()
    harness.state.configuration.workspaces[KEY] = Workspace("studio-a", 1)
    ask(harness, "patient", "patient")
    ask(harness, "urgent", "urgent")
    assert serve(harness, 3) == ["first", "urgent", "patient"]


def test_patient_streams_leave_room_for_an_urgent_one():
    harness = start(size="20000,700")
    server, _, _ = harness.take_request()
    server.receive(stream_head("first") + chunk(event(1)))
    ask(harness, "urgent", "urgent", "20000,700")
    server, _, _ = harness.take_request()
    server.receive(stream_head("urgent") + chunk(event(1)))
    ask(harness, "patient", "patient", "20000,700")
    assert harness.count_waiting() == 0  # 18,000 tokens would have been left
    ask(harness, "urgent", "next", "20000,700")
    assert serve(harness, 1) == ["next"]


def test_streams_of_equal_rank_fill_engines_as_before():
    harness = start(size="20000,700", targets={"a": 4.0, "usual": 4.0})
    for number in range(2):
        server, head, _ = harness.take_request()
        name = decode_headers(head)["x-attempt-id"]
        server.receive(stream_head(name) + chunk(event(1)))
        ask(harness, "usual", f"usual-{number}", "20000,700")
    assert serve(harness, 1) == ["usual-1"]


def test_stream_that_would_get_room_too_late_is_refused_at_once():
    harness = start()
    fill_at_peer(harness, waiting=MANY)
    caller = ask(harness, "patient", "late")
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    forecast_s = MANY * 60_700 / ((80_000 + 60_700) / RUN_S)
    assert float(headers["retry-after"]) >= forecast_s
    text = harness.gateway.render_metrics().decode()
    assert 'ebonyhaven_streams_refused_by_forecast_total{rank="2"} 1.0' in text


def test_refused_callers_are_told_when_room_is_forecast():
    harness = start()
    fill_at_peer(harness, waiting=2)
    waiting = harness.gateway._waiting.get("engines")
    for number in range(12):
        stream = WaitingStream(f"w{number}", 0, tokens=30_700)
        waiting.line.join(stream, harness.reactor.seconds())
    caller = ask(harness, "urgent", "late", HALF)
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    rate = (80_000 + 60_700) / RUN_S
    forecast_s = (12 + 2 + 1) * 30_700 / rate
    assert forecast_s <= float(headers["retry-after"]) <= 1.25 * forecast_s + 0.1


def test_nothing_is_refused_while_engines_have_plenty_of_room():
    harness = start(size="8000,700")
    waiting = harness.gateway._waiting.get("engines")
    news = [RankNews(MANY, 4.0, 0.1)] * RANKS
    waiting.peers.record("n2", news, harness.reactor.seconds())
    caller = ask(harness, "patient", "large", "80000,700")
    harness.advance(0.5)
    assert caller.received == b""


def test_metrics_show_waiting_streams_by_rank():
    harness = start()
    for number in range(3):
        ask(harness, "patient", f"patient-{number}")
    text = harness.gateway.render_metrics().decode()
    assert 'ebonyhaven_streams_waiting{rank="2"} 3.0' in text
    assert 'ebonyhaven_streams_waiting{rank="0"} 0.0' in text


# -- what instances tell each other --------------------------------------------


def make_section(waiting=0):
    state = WaitingState()
    service = state.get("engines")
    for number in range(waiting):
        service.line.join(WaitingStream(f"r{number}", 0), 10.0)
    return state, WaitingSection(state)


def test_instances_know_what_waits_at_others():
    here, section = make_section(waiting=3)
    here.get("engines").record_request(0, 4.0, 10.0)
    here.get("engines").record_request(2, 10.0, 9.0)
    there, other = make_section()
    payload = json.loads(json.dumps(section.collect(10.0)))
    other.merge("n1", payload, 50.0)
    service = there.get("engines")
    assert service.peers.count_waiting(0, 50.0) == 3
    assert service.peers.count_waiting(0, 50.1 + NEWS_TTL_S) == 0
    assert service.ranks.list_more_urgent_targets(2, 50.0) == [4.0]
    assert len(json.dumps(payload)) <= MAX_SECTION_BYTES


def test_section_is_left_out_of_most_reports():
    here, section = make_section()
    here.get("engines").record_request(0, 4.0, 10.0)
    reports = [section.collect(10.0 + number / 100) for number in range(300)]
    assert sum(each is not None for each in reports) == 2
    here.get("engines").line.join(WaitingStream("r1", 0), 13.0)
    reports = [section.collect(13.0 + number / 100) for number in range(100)]
    assert sum(each is not None for each in reports) == 4


def test_instance_without_streams_tells_nothing():
    _, section = make_section()
    assert section.collect(10.0) is None


def test_news_are_not_passed_on_as_own():
    here, section = make_section()
    section.merge("n1", {"engines": [[1, 4000, 0]]}, 10.0)
    assert here.get("engines").ranks.is_present(0, 10.0)
    assert section.collect(10.0) is None
