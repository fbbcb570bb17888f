from __future__ import annotations

import json
import time
import urllib.error
import urllib.request

from ebonyhaven_standins.cluster import DEFAULT_MODEL, Cluster
from ebonyhaven_standins.scenario import Deployment, ServerSpec, start_deployment

TIMEOUT_S = 40.0


def complete(address: str) -> bytes:
    body = {"model": DEFAULT_MODEL, "prompt": "p", "max_tokens": 3, "stream": True}
    request = urllib.request.Request(
        f"http://{address}/v1/completions",
        data=json.dumps(body).encode(),
        headers={"Ebonyhaven-Workspace": "studio-a"},
    )
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        return response.read()


def complete_with_retries(address: str) -> bytes:
    started = time.monotonic()
    while True:
        try:
            return complete(address)
        except urllib.error.HTTPError as error:
            assert time.monotonic() - started < TIMEOUT_S, error.read()
            time.sleep(0.2)


def test_new_instance_gets_the_servers_from_peers_while_the_platform_refuses_lists():
    deployment = Deployment(
        region="r1",
        instances={"n1": "dc-a", "n2": "dc-a"},
        engines=[ServerSpec(name="s0", data_centre="dc-a")],
        workspaces=["studio-a"],
    )
    with Cluster() as cluster:
        start_deployment(cluster, deployment)
        complete_with_retries(cluster.addresses["n1"])
        cluster.platform.set_faults(refuse_list=True)
        seeds = {"n1": cluster.control_addresses["n1"]}
        cluster.start_node("n3", register=False, control_seeds=seeds)
        assert b"[DONE]" in complete_with_retries(cluster.addresses["n3"])
