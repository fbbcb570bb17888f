from __future__ import annotations

from ebonyhaven_decisions import Outcome, OutcomeTag, RequestFailure


def test_request_failure_message_contains_tag_step_and_reason():
    outcome = Outcome(
        tag=OutcomeTag.NOT_RUN, step="admit", peer="self", reason="queue is full"
    )
    assert str(RequestFailure(outcome)) == "not_run at admit: queue is full"
