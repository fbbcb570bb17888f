from __future__ import annotations

from ebonyhaven_decisions.forwarding import (
    RunCopyLocation,
    StreamRecord,
    decode_stream_record,
    encode_stream_record,
)

RECORDS = (
    StreamRecord("v1", "r1", None),
    StreamRecord("v1", "r1", RunCopyLocation("e-1", None, "r1")),
    StreamRecord("v1", "r1", RunCopyLocation("e-1", None, "r2")),
    StreamRecord("v1", "r1", RunCopyLocation("e-1", "10.0.0.1:9001", "h-1")),
)
MALFORMED = (None, 7, [], ["v1"], ["v1", None], [1, "r1"], ["v1", "r1", "e-1"])


def test_records_are_decoded_as_they_were_encoded():
    for record in RECORDS:
        assert decode_stream_record(encode_stream_record(record)) == record


def test_malformed_records_are_rejected():
    for values in (*MALFORMED, ["v1", "r1", "e-1", 7, "h"], ["v1", "r1", 1, None, "h"]):
        try:
            decode_stream_record(values)
        except (TypeError, ValueError):
            continue
        raise AssertionError(f"accepted {values!r}")
