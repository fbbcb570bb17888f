"""Tests of the caller with connections that are never established."""

from __future__ import annotations

import contextlib
import pathlib
import random
import socket
import tempfile
from collections.abc import Iterator

from ebonyhaven_standins.caller import (
    Caller,
    CallerLimits,
    CompletionRequest,
    HistoryWriter,
)
from ebonyhaven_standins.cluster import allocate_address
from twisted.internet import reactor

from tests.reactor_thread import run_in_reactor

QUEUED_CONNECTION_COUNT = 4
# response_timeout_s expires first and cancels the pending connection.
LIMITS = CallerLimits(
    connect_timeout_s=30.0, response_timeout_s=0.3, total_timeout_s=0.5
)
REQUEST = CompletionRequest(
    workspace="studio-a", request_class="look-up", prompt="p", max_tokens=1
)


class FixedEntryList:
    def __init__(self, address: str):
        self._address = address

    async def choose(self) -> str:
        return self._address

    def mark_failed(self, address: str) -> None:
        """Ignore the failure; there is no other address."""


@contextlib.contextmanager
def listen_without_accepting() -> Iterator[str]:
    """Yield the address of a listener whose accept queue is full."""
    address = allocate_address()
    host, _, port = address.rpartition(":")
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((host, int(port)))
        listener.listen(0)
        for _ in range(QUEUED_CONNECTION_COUNT):
            queued_connection = stack.enter_context(socket.socket())
            queued_connection.setblocking(False)
            queued_connection.connect_ex((host, int(port)))
        yield address


def test_connect_timeout_counts_as_refused():
    async def complete(address: str, path: pathlib.Path):
        history = HistoryWriter(path)
        caller = Caller(
            reactor=reactor,
            bootstrap_addresses=[address],
            history=history,
            rng=random.Random(1),
            limits=LIMITS,
        )
        caller.entries = FixedEntryList(address)
        record = await caller.complete(REQUEST)
        history.close()
        return record

    with listen_without_accepting() as address, tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "history.jsonl"
        record = run_in_reactor(complete, address, path)
    assert {item["outcome"] for item in record["connections"]} == {"refused"}
