from __future__ import annotations

import json

from ebonyhaven_node._events import EventEncoder, EventParser, Token
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params


def encode_engine_event(offset, text, finish_reason=None, *, compact=True):
    choice = {"index": 0, "text": text, "finish_reason": finish_reason}
    body = {"id": "cmpl-x", "object": "text_completion", "choices": [choice]}
    separators = (",", ":") if compact else None
    return f"id: {offset}\ndata: {json.dumps(body, separators=separators)}\n\n".encode()


@given(
    texts=st.lists(st.text(), max_size=8),
    compact=st.booleans(),
    splits=st.lists(st.integers(0, 400), max_size=6),
)
def test_tokens_are_parsed_from_any_split_of_the_stream(texts, compact, splits):
    stream = b"".join(
        encode_engine_event(offset, text, compact=compact)
        for offset, text in enumerate(texts)
    )
    stream += encode_engine_event(len(texts), "", "length") + b"data: [DONE]\n\n"
    bounds = sorted(
        {0, len(stream), *(split for split in splits if split < len(stream))}
    )
    parser = EventParser()
    tokens = []
    for first, last in zip(bounds, bounds[1:], strict=False):
        tokens += parser.feed(stream[first:last])
    expected = [Token(offset, text, None) for offset, text in enumerate(texts)]
    assert tokens == [*expected, Token(len(texts), "", "length")]
    assert parser.done


@params('"', "\\", "\n", "\u2028", "]}", '","finish_reason":null}]}')
def test_text_with_json_syntax_is_preserved(text):
    assert EventParser().feed(encode_engine_event(0, text)) == [Token(0, text, None)]


@params(b"id: x\ndata: {}\n\n", b"id: 1\ndata: nonsense\n\n")
def test_malformed_event_is_rejected(event):
    try:
        EventParser().feed(event)
    except (ValueError, LookupError):
        return
    raise AssertionError("the event was accepted")


def test_encoded_events_contain_offset_generation_and_server():
    events = EventEncoder("r").encode_tokens(
        ["a", "b\n"], offset=7, generation="0" * 8, server="s1"
    )
    blocks = events.decode().split("\n\n")[:-1]
    ids = [block.split("\n")[0] for block in blocks]
    assert ids == ["id: 7-00000000-s1", "id: 8-00000000-s1"]
    bodies = [
        json.loads(block.split("\n")[1].removeprefix("data: ")) for block in blocks
    ]
    assert [body["choices"][0]["text"] for body in bodies] == ["a", "b\n"]
