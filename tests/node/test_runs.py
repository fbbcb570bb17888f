from __future__ import annotations

from ebonyhaven_decisions import OFFSET_BEFORE_FIRST_TOKEN, EventId
from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._runs import Run

GENERATION, OTHER_GENERATION = "0" * 8, "1" * 8


def make_run(texts=(), server="s1"):
    request = GenerationRequest(
        workspace="w",
        class_name="c",
        key="k",
        repeatable=True,
        first_submission=True,
        model="m",
        prompt="p",
        adapter=None,
        max_tokens=10,
        last_event=None,
        received=None,
    )
    run = Run(request=request, generation=GENERATION)
    if texts:
        run.append(list(texts), server=server)
    return run


def test_position_must_name_the_server_that_generated_its_token():
    run = make_run("abc")
    run.append(["d"], server="s2")
    assert run.contains_position(EventId(2, GENERATION, "s1"))
    assert run.contains_position(EventId(3, GENERATION, "s2"))
    assert not run.contains_position(EventId(3, GENERATION, "s1"))
    assert not run.contains_position(EventId(1, GENERATION, "s2"))


def test_position_of_another_generation_is_not_contained():
    assert not make_run("abc").contains_position(EventId(1, OTHER_GENERATION, "s1"))


def test_caller_without_a_token_can_attach_to_any_generation():
    assert make_run().contains_position(
        EventId(OFFSET_BEFORE_FIRST_TOKEN, OTHER_GENERATION, "s9")
    )
    assert make_run("abc").contains_position(
        EventId(OFFSET_BEFORE_FIRST_TOKEN, OTHER_GENERATION, "s9")
    )
