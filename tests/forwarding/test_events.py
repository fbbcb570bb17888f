from __future__ import annotations

import random

from ebonyhaven_node.forwarding._events import EventSplitter


def test_events_are_the_same_however_their_bytes_arrive():
    rng = random.Random(1)
    ends = (b"\n\n", b"\r\n\r\n", b"\n\r\n", b"\r\n\n")
    text = b"".join(
        b"id: %d\ndata: %s%s" % (each, b"x" * rng.randrange(60), rng.choice(ends))
        for each in range(200)
    )
    whole = EventSplitter().feed(text)
    assert b"".join(whole) == text
    for _ in range(50):
        splitter, events, start = EventSplitter(), [], 0
        while start < len(text):
            end = start + rng.randrange(1, 9)
            events += splitter.feed(text[start:end])
            start = end
        assert events == whole
        assert splitter.partial_bytes == 0
