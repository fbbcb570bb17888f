from __future__ import annotations

import random

from ebonyhaven_decisions import (
    Locality,
    OutcomeTag,
    RequestFailure,
    SchedulingAlgorithm,
    build_scheduler,
    parse_declaration,
)
from ebonyhaven_node._active_configuration import ActiveConfiguration
from ebonyhaven_node._policy_scheduling import PolicySlotScheduler
from ebonyhaven_node._prefixes import hash_prefixes
from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._scheduling import SlotRequest
from ebonyhaven_node._servers import BackendServers, ReportedLoad
from ebonyhaven_standins.engine import hash_prefixes as hash_engine_prefixes
from ebonyhaven_store import ListedProcess
from twisted.internet import task
from twisted.internet.defer import CancelledError, ensureDeferred

NOW = 100.0
LOWER_ENGINE_PRIORITY = 3  # for the class ranked second, workspace not underserved
CLOCK_TIMES_S = (1.0, 100.0, 1e6)  # from shortly after boot to a long uptime

DECLARATION = {
    "classes": {
        "look-up": {
            "first_token_ms": 500,
            "gap_ms": 62,
            "resume_ms": 1000,
            "may_wait_ms": 0,
        },
        "analysis": {
            "first_token_ms": 8000,
            "gap_ms": 100,
            "resume_ms": 2000,
            "may_wait_ms": 60000,
            "default": True,
        },
    },
    "models": {"dossier": {"adapters": [], "versions": ["1"]}},
    "pools": {
        "drafting": {"kind": "engine", "models": ["dossier"], "checks_fence": True}
    },
    "workspaces": {"studio-a": {}},
}


def build_scheduling(servers=1, capacity=2, instance_load=0.0, now=NOW):
    configuration = ActiveConfiguration()
    known_servers = BackendServers()
    scheduling = PolicySlotScheduler(
        scheduler=build_scheduler(
            SchedulingAlgorithm.FAIR,
            {},
            locality=Locality("dc-a", "r1"),
            random_source=random.Random(1),
            now=now,
        ),
        servers=known_servers,
        configuration=configuration,
        reactor=task.Clock(),
        read_instance_load=lambda: instance_load,
        clock=lambda: now,
    )
    configuration.replace(parse_declaration(DECLARATION), 1)
    known_servers.merge_list(
        ListedProcess(
            name=f"s{index}",
            kind="backend_server",
            address=f"127.0.0.1:{9000 + index}",
            pool="drafting",
            data_centre="dc-a",
            region="r1",
            identity="1",
        )
        for index in range(servers)
    )
    for index in range(servers):
        known_servers.find(f"s{index}").record_load(ReportedLoad(0, 0, capacity, 0.03))
    return scheduling, known_servers


def make_slot_request(class_name="analysis", now=NOW, **options):
    request = GenerationRequest(
        workspace="studio-a",
        class_name=class_name,
        key="k",
        repeatable=True,
        first_submission=True,
        model="dossier",
        prompt="x" * 300,
        adapter=None,
        max_tokens=100,
        last_event=None,
        received=None,
    )
    return SlotRequest(
        request=request,
        pools=frozenset({"drafting"}),
        deadline=now,
        arrival=now,
        **options,
    )


def acquire(scheduling, *args, **options):
    acquisition = ensureDeferred(
        scheduling.acquire(make_slot_request(*args, **options))
    )
    results = []
    acquisition.addBoth(results.append)
    return acquisition, results


def test_slot_is_counted_until_it_is_released():
    scheduling, known_servers = build_scheduling()
    _, results = acquire(scheduling)
    slot = results[0]
    assert known_servers.find("s0").in_flight == 1
    slot.record_tokens(3)
    slot.release()
    slot.release()
    assert known_servers.find("s0").in_flight == 0
    assert len(scheduling.scheduler.dispatcher.in_flight_requests) == 0


def test_released_slot_is_assigned_to_the_waiting_request():
    for now in CLOCK_TIMES_S:
        scheduling, _ = build_scheduling(capacity=2, now=now)
        _, first = acquire(scheduling, now=now)
        _, second = acquire(scheduling, now=now)
        assert second == []
        first[0].release()
        assert second[0].held
        assert second[0].priority == LOWER_ENGINE_PRIORITY


def test_request_without_server_is_refused_immediately_with_retry_after():
    scheduling, _ = build_scheduling(servers=0)
    _, results = acquire(scheduling, "look-up")
    outcome = results[0].value.outcome
    assert results[0].check(RequestFailure)
    assert outcome.tag is OutcomeTag.NOT_RUN
    assert outcome.retry_after_s > 0.0


def test_overloaded_instance_refuses_new_requests_and_resumes_streams():
    scheduling, _ = build_scheduling(instance_load=0.99)
    _, results = acquire(scheduling)
    assert results[0].value.outcome.tag is OutcomeTag.NOT_RUN
    assert results[0].value.outcome.retry_after_s > 0.0
    _, resumed = acquire(scheduling, resume=True)
    assert resumed[0].held


def test_cancelled_acquisition_removes_the_queued_request():
    scheduling, known_servers = build_scheduling(capacity=2)
    _, first = acquire(scheduling)
    acquisition, second = acquire(scheduling)
    acquisition.cancel()
    assert second[0].check(CancelledError)
    assert len(scheduling.scheduler) == 0
    first[0].release()
    assert known_servers.find("s0").in_flight == 0


def test_unreachable_server_receives_no_requests_until_it_responds():
    scheduling, known_servers = build_scheduling(servers=2)
    known_servers.find("s0").record_unreachable(NOW)
    _, results = acquire(scheduling)
    assert results[0].server.name == "s1"
    known_servers.find("s0").record_answer()
    _, results = acquire(scheduling)
    assert results[0].server.name == "s0"


def test_resume_is_not_queued_behind_new_requests():
    scheduling, _ = build_scheduling(capacity=2)
    acquire(scheduling)
    _, waiting = acquire(scheduling)
    _, resumed = acquire(scheduling, resume=True)
    assert waiting == []
    assert resumed[0].server.name == "s0"


def test_retries_beyond_the_budget_are_refused():
    scheduling, _ = build_scheduling(capacity=16)
    outcomes = [acquire(scheduling, retry=True)[1][0] for _ in range(4)]
    assert hasattr(outcomes[0], "release")
    assert outcomes[-1].check(RequestFailure)


def test_prefix_digests_match_those_of_engines():
    request = make_slot_request().request
    digests, tokens = hash_prefixes(request)
    assert tokens == (16, 32, 64)
    engine_digests = hash_engine_prefixes(request.prompt)
    assert list(digests) == [engine_digests[0], engine_digests[1], engine_digests[3]]
