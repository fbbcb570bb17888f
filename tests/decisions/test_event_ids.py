from __future__ import annotations

from ebonyhaven_decisions import EventId, parse_event_id
from ebonyhaven_decisions.exceptions import MalformedEventId
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params


@given(
    offset=st.integers(-1, 2**31),
    generation=st.text("0123456789abcdef", min_size=8, max_size=8),
    server=st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,40}", fullmatch=True),
)
def test_formatted_id_round_trips(offset, generation, server):
    event_id = EventId(offset, generation, server)
    assert parse_event_id(str(event_id)) == event_id


@given(text=st.text(max_size=120))
def test_arbitrary_text_is_rejected_or_round_trips(text):
    try:
        parsed = parse_event_id(text)
    except MalformedEventId:
        return
    assert parse_event_id(str(parsed)) == parsed


@params("", "17", "-2-00000000-s", "1-0000000g-s", "1-00000000-", "1-00000000-s\n")
def test_error_quotes_the_malformed_id(text):
    try:
        parse_event_id(text)
    except MalformedEventId as error:
        assert repr(text) in str(error)
    else:
        raise AssertionError("the id was accepted")
