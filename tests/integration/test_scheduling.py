from __future__ import annotations

import http.client
import json
import time

from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.log_lines import read_whole_lines
from ebonyhaven_standins.scenario import Deployment, ServerSpec, start_deployment

TIMEOUT_S = 30.0
CANCEL_TARGET_S = 1.0
ACTIVATION_TARGET_S = 9.0
LOOK_UP = "look-up"
ANALYSIS = "analysis"


def start_and_warm_up(cluster, *engine_options):
    deployment = Deployment(
        region="r1",
        instances={"n1": "dc-a"},
        engines=[ServerSpec(name="s1", data_centre="dc-a", options=engine_options)],
        workspaces=("studio-a", "studio-b"),
    )
    version = start_deployment(cluster, deployment)
    wait_for(lambda: read_health(cluster)["configuration_version"] >= version)
    wait_for(lambda: try_look_up(cluster))
    return deployment


def wait_for(condition):
    started = time.monotonic()
    while not (found := condition()):
        assert time.monotonic() - started < TIMEOUT_S, "condition not met in time"
        time.sleep(0.02)
    return found


def connect(cluster):
    host, port = cluster.addresses["n1"].split(":")
    return http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)


def read_health(cluster):
    connection = connect(cluster)
    connection.request("GET", "/health")
    return json.loads(connection.getresponse().read())


def send(cluster, class_name, *, key, max_tokens, workspace="studio-a"):
    """Send a request and return the connection and the response after its headers."""
    connection = connect(cluster)
    body = {"model": "dossier", "prompt": key, "max_tokens": max_tokens, "stream": True}
    headers = {
        "Content-Type": "application/json",
        "Ebonyhaven-Workspace": workspace,
        "Ebonyhaven-Class": class_name,
        "Idempotency-Key": key,
        "Ebonyhaven-First-Submission": "yes",
    }
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    return connection, connection.getresponse()


def try_look_up(cluster):
    connection, response = send(
        cluster, LOOK_UP, key=f"warm-{time.monotonic()}", max_tokens=1
    )
    response.read()
    connection.close()
    return response.status == 200


def read_error(response):
    """Return the error object of an error response or of an error event in a stream."""
    content = response.read().decode()
    if response.status == 200:
        content = content.partition("event: error")[2].partition("data: ")[2]
    return json.loads(content)["error"]


def list_finished_runs(cluster):
    return {line["run_id"] for line in read_log(cluster, "finish")}


def read_log(cluster, event):
    lines = read_whole_lines(cluster.execution_logs["s1"])
    return [line for line in map(json.loads, lines) if line["event"] == event]


def test_run_is_cancelled_at_the_engine_when_its_caller_disconnects():
    with Cluster() as cluster:
        start_and_warm_up(cluster)
        connection, response = send(cluster, ANALYSIS, key="left", max_tokens=5000)
        response.readline()
        response.close()
        connection.close()
        disconnected_at = time.time()
        cancelled = wait_for(lambda: read_log(cluster, "cancel"))[0]
        assert cancelled["time"] - disconnected_at <= CANCEL_TARGET_S


def test_look_up_without_capacity_gets_not_run_with_a_retry_time():
    with Cluster() as cluster:
        start_and_warm_up(cluster, "--capacity", "1")
        running, _ = send(cluster, LOOK_UP, key="held", max_tokens=5000)
        late, response = send(cluster, LOOK_UP, key="late", max_tokens=5)
        error = read_error(response)
        assert error["outcome"] == "not_run"
        assert error["retry_after_s"] > 0.0
        started = {line["run_id"] for line in read_log(cluster, "start")}
        running.close()
        late.close()
        assert len(started - list_finished_runs(cluster)) == 1


def test_tightened_target_refuses_a_queued_request_within_the_activation_target():
    with Cluster() as cluster:
        deployment = start_and_warm_up(cluster, "--capacity", "1")
        running, _ = send(cluster, ANALYSIS, key="held", max_tokens=5000)
        queued, response = send(cluster, ANALYSIS, key="waits", max_tokens=10)
        declaration = deployment.make_declaration()
        declaration["classes"][ANALYSIS] |= {"first_token_ms": 600, "may_wait_ms": 0}
        cluster.declare(declaration)
        declared_at = time.monotonic()
        error = read_error(response)
        assert error["outcome"] == "not_run"
        assert time.monotonic() - declared_at <= ACTIVATION_TARGET_S
        running.close()
        queued.close()
