"""Payloads of instances that can't be read: one kind of error, no odd values."""

from __future__ import annotations

import json
import random

from ebonyhaven_decisions import Heartbeat, LoadReport, MemberState
from ebonyhaven_decisions.forwarding import (
    LossReport,
    RunCopyLocation,
    StreamRecord,
    decode_loss_report,
    decode_stream_record,
    decode_survivals,
    encode_loss_report,
    encode_stream_record,
)
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node._frames import FrameError, decode_frame, encode_frame, encode_json
from ebonyhaven_node._membership_codec import (
    decode_heartbeat,
    decode_message,
    encode_heartbeat,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.membership_cluster import make_record
from tests.platform_adapter.odd_documents import json_values, make_variants

RECORD = make_record("n2", incarnation=4)
HEARTBEAT = Heartbeat(MemberState.LIVE, 5, (RECORD,), (LoadReport(1, 2, 3, "n2"),))
LOCATION = RunCopyLocation("e-1", "10.0.0.1:80", "h-1")
STREAM_RECORD = StreamRecord("v1", "r1", LOCATION)
LOSS = LossReport("e-1", "dc-a", 0.5, (("content", "part"),))
thorough = settings(max_examples=150)


def to_json(value):
    return json.loads(encode_json(value))


def decode_or_refuse(decode, data) -> None:
    """Decode a payload; fail unless it is refused or can be encoded again."""
    text = b'["c","n1",1,' + data + b"]"
    try:
        frame = decode_frame(text)
    except FrameError:
        return
    try:
        decoded = decode(frame.payload)
    except (TypeError, ValueError):
        return
    encode_json(decoded)


@thorough
@given(make_variants(to_json(encode_heartbeat(HEARTBEAT, {"v": [1, 2, 3]}))))
def test_any_heartbeat_is_decoded_or_refused(data):
    decode_or_refuse(decode_heartbeat, data)


@thorough
@given(
    make_variants(to_json(RECORD)),
    st.sampled_from((FrameKind.PROBE, FrameKind.TABLE, FrameKind.QUERY)),
)
def test_any_message_about_members_is_decoded_or_refused(data, kind):
    decode_or_refuse(lambda payload: decode_message(kind, payload), data)


@thorough
@given(make_variants(to_json(encode_stream_record(STREAM_RECORD))))
def test_any_record_of_a_stream_is_decoded_or_refused(data):
    def decode(payload):
        record = decode_stream_record(payload)
        if record.copy is not None:
            f"{record.copy.address}/{record.copy.handle}".encode("ascii")
        return record

    decode_or_refuse(decode, data)


@thorough
@given(make_variants(to_json(encode_loss_report(LOSS))))
def test_any_report_of_a_loss_is_decoded_or_refused(data):
    decode_or_refuse(lambda payload: decode_loss_report(payload).age_s / 2, data)


@thorough
@given(make_variants([["content", 500]]))
def test_any_survivals_are_decoded_or_refused(data):
    decode_or_refuse(decode_survivals, data)


@thorough
@given(st.binary(max_size=48), json_values, st.integers(0, 10_000))
def test_any_frame_is_decoded_or_refused(data, payload, seed):
    text = bytearray(encode_json(["c", "n1", 1, json.dumps(payload)]))
    rng = random.Random(seed)
    start = rng.randrange(len(text))
    for each in (data, bytes(text[:start]) + data + bytes(text[start + 2 :])):
        try:
            frame = decode_frame(each)
        except FrameError:
            continue
        assert decode_frame(encode_frame(Frame(*frame))) == frame
