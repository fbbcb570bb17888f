"""What becomes of the server that broke off its connection."""

from __future__ import annotations

from ebonyhaven_node.forwarding._loss_probes import LossProbes, ServerFate

from tests.forwarding.harness import ForwardingHarness


def test_server_that_ends_after_it_accepted_is_not_taken_for_alive():
    # Guards against a lost server that counts as an attempt of the streams it ended.
    harness = ForwardingHarness(engines=9)
    probes = LossProbes(harness.gateway.pool, harness.reactor, harness.gateway._contact)
    backends = list(harness.state.backends)
    silent = [each for each in backends if each.entry.data_centre == "dc-b"]
    server = next(each for each in backends if each.entry.data_centre == "dc-c")
    harness.silent.update(each.entry.address for each in silent)
    harness.gateway.pool.probe_address(
        silent[0].entry.address, on_result=lambda _: None, timeout_s=0.15
    )
    harness.advance(0.14)  # a check of all servers begins soon
    fates = []
    probes.start(server, fates.append)
    harness.advance(0.07)
    assert fates == [ServerFate.ALIVE]
    harness.refused.add(server.entry.address)
    probes.start(server, fates.append)
    harness.advance(1.0)
    assert fates == [ServerFate.ALIVE, ServerFate.ENDED]
