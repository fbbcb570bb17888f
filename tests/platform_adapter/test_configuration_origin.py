"""Tests of what the log tells about how a configuration came, and how late."""

from __future__ import annotations

from structlog.testing import capture_logs

from tests.platform_adapter.state_sources import (
    CONFIGURATION,
    build_source,
    make_rows,
    send_between_instances,
    start_with_complete_state,
)


def list_origins(lines):
    """Return version and origin of each configuration that a log tells of."""
    return [
        (line["version"], line["via"], line["era"], line["silent_s"])
        for line in lines
        if line["event"] == "configuration_in_force"
    ]


def test_line_of_a_configuration_tells_how_long_the_store_was_silent_before():
    with capture_logs() as lines:
        clock, store, _, source = start_with_complete_state()
        clock.advance(0.7)
        assert source.measure_configuration_age_s() == 0.7
        store.push("op", make_rows(20, config={**CONFIGURATION, "version": 8}))
    assert list_origins(lines) == [(7, "table", 0, 0.0), (8, "poll", 0, 0.7)]
    assert source.measure_configuration_age_s() == 0.0


def test_line_of_a_configuration_tells_that_another_instance_sent_it():
    _, _, _, source = start_with_complete_state()
    clock, _, _, other = build_source()
    clock.advance(0.4)
    with capture_logs() as lines:
        other.merge(send_between_instances(source.export()))
    assert list_origins(lines) == [(7, "peer", 0, 0.4)]
