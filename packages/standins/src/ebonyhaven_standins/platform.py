"""Stand-in for the platform: table, objects, weights and instance list.

Run as ``python -m ebonyhaven_standins.platform --address IP:PORT``.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Coroutine
from typing import Any

import attrs
from klein import Klein
from twisted.internet import reactor, task
from twisted.internet.defer import Deferred
from twisted.web.iweb import IRequest
from twisted.web.server import Site

from ebonyhaven_standins._instance_list import LaggingInstanceList
from ebonyhaven_standins._table import RowConflict, StoredRow, Table, ValueTooLarge
from ebonyhaven_standins._token_bucket import TokenBucket

DEFAULT_WRITES_PER_S = 300.0
DEFAULT_READS_PER_S = 2000.0
DEFAULT_WEIGHTS_PER_S = 1.0
DEFAULT_LIST_LAG_MS = 500.0
BURST_S = 0.5


@attrs.define(slots=True, kw_only=True)
class PlatformFaults:
    """Faults that tests switch on.

    Parameters
    ----------
    outage : bool
        Table and objects answer 503 and do nothing.
    delay_ms : float
        Delay before table and objects act, in milliseconds.
    lose_answers : int
        Number of transactions whose connection is aborted after the commit.
    list_lag_ms : float
        Lag of the instance list in milliseconds.
    refuse_list : bool
        The instance list answers 503.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    list_lag_ms: float = DEFAULT_LIST_LAG_MS
    refuse_list: bool = False


@attrs.define(slots=True)
class OperationCounts:
    """Operations that reached the store since it started."""

    reads: int = 0
    writes: int = 0
    throttled: int = 0


def _describe_rows(rows: list[StoredRow]) -> list[dict[str, Any]]:
    return [row._asdict() for row in rows]


def _arguments(request: IRequest, name: bytes) -> list[str]:
    return [value.decode() for value in request.args.get(name, [])]


def _finish_if_abandoned(operation: Coroutine) -> Deferred:
    """Run an operation to its end even if the connection is lost meanwhile."""
    answer: Deferred = Deferred()
    Deferred.fromCoroutine(operation).chainDeferred(answer)
    return answer


class Platform:
    """State of the stand-in and its HTTP interface.

    Parameters
    ----------
    clock : IReactorTime
        Source of time and delayed calls.
    writes_per_s, reads_per_s, weights_per_s : float
        Enforced rates.
    """

    app = Klein()

    def __init__(
        self,
        clock: Any,
        *,
        writes_per_s: float = DEFAULT_WRITES_PER_S,
        reads_per_s: float = DEFAULT_READS_PER_S,
        weights_per_s: float = DEFAULT_WEIGHTS_PER_S,
    ):
        now = clock.seconds()
        self._clock = clock
        self._table = Table()
        self._objects: dict[str, bytes] = {}
        self._faults = PlatformFaults()
        self._counts = OperationCounts()
        self._list = LaggingInstanceList(lag_ms=DEFAULT_LIST_LAG_MS)
        self._writes = TokenBucket(
            per_s=writes_per_s, burst=max(1.0, writes_per_s * BURST_S), now=now
        )
        self._reads = TokenBucket(
            per_s=reads_per_s, burst=max(1.0, reads_per_s * BURST_S), now=now
        )
        self._weights = TokenBucket(per_s=weights_per_s, burst=1.0, now=now)

    @app.route("/table/transact", methods=["POST"])
    def transact(self, request: IRequest) -> Deferred[bytes]:
        """Run one transaction."""
        body = json.load(request.content)
        return _finish_if_abandoned(self._transact(request, body))

    @app.route("/table/rows", methods=["GET"])
    async def read_rows(self, request: IRequest) -> bytes:
        """Answer the named rows."""
        refusal = await self._enter(request, self._reads)
        if refusal is not None:
            return refusal
        self._counts.reads += 1
        rows = self._table.read_rows(_arguments(request, b"key"))
        return self._answer_rows(request, "rows", rows)

    @app.route("/table/range", methods=["GET"])
    async def read_range(self, request: IRequest) -> bytes:
        """Answer the rows with a prefix."""
        refusal = await self._enter(request, self._reads)
        if refusal is not None:
            return refusal
        self._counts.reads += 1
        rows = self._table.read_range(_arguments(request, b"prefix")[0])
        return self._answer_rows(request, "rows", rows)

    @app.route("/table/changes", methods=["GET"])
    async def read_changes(self, request: IRequest) -> bytes:
        """Answer the rows changed after a version."""
        refusal = await self._enter(request, self._reads)
        if refusal is not None:
            return refusal
        self._counts.reads += 1
        since = int(_arguments(request, b"since")[0])
        prefix = (_arguments(request, b"prefix") or [""])[0]
        rows = self._table.read_changes(since, prefix)
        return self._answer_rows(request, "changes", rows)

    @app.route("/objects/<path:name>", methods=["GET"])
    async def read_object(self, request: IRequest, name: str) -> bytes:
        """Answer the bytes of an object."""
        refusal = await self._enter(request, self._reads)
        if refusal is not None:
            return refusal
        self._counts.reads += 1
        if name not in self._objects:
            return self._answer(request, {"error": "absent"}, status=404)
        return self._objects[name]

    @app.route("/objects/<path:name>", methods=["PUT"])
    async def write_object(self, request: IRequest, name: str) -> bytes:
        """Store an object."""
        content = request.content.read()
        refusal = await self._enter(request, self._writes)
        if refusal is not None:
            return refusal
        self._counts.writes += 1
        self._objects[name] = content
        return self._answer(request, {})

    @app.route("/objects/<path:name>", methods=["DELETE"])
    async def delete_object(self, request: IRequest, name: str) -> bytes:
        """Delete an object; an absent one is no error."""
        refusal = await self._enter(request, self._writes)
        if refusal is not None:
            return refusal
        self._counts.writes += 1
        self._objects.pop(name, None)
        return self._answer(request, {})

    @app.route("/weights/<path:name>", methods=["GET"])
    def grant_weights(self, request: IRequest, name: str) -> bytes:
        """Grant or refuse a fetch of weights."""
        wait_s = self._weights.take(self._clock.seconds())
        if wait_s:
            return self._refuse_rate(request, wait_s)
        return self._answer(request, {"granted": True, "name": name})

    @app.route("/instances", methods=["GET"])
    def read_instances(self, request: IRequest) -> bytes:
        """Answer the lagging list."""
        if self._faults.refuse_list:
            return self._answer(request, {"error": "unavailable"}, status=503)
        entries = self._list.read(self._clock.seconds())
        body = {"instances": entries, "measured_ms_ago": self._list.lag_ms}
        return self._answer(request, body)

    @app.route("/instances/<name>", methods=["PUT"])
    def put_instance(self, request: IRequest, name: str) -> bytes:
        """Register or change an entry."""
        self._list.put(self._clock.seconds(), name, json.load(request.content))
        return self._answer(request, {})

    @app.route("/instances/<name>", methods=["DELETE"])
    def delete_instance(self, request: IRequest, name: str) -> bytes:
        """Remove an entry."""
        self._list.put(self._clock.seconds(), name, None)
        return self._answer(request, {})

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: IRequest) -> bytes:
        """Change the named faults, keep the others."""
        self._faults = attrs.evolve(self._faults, **json.load(request.content))
        self._list.lag_ms = self._faults.list_lag_ms
        return self._answer(request, attrs.asdict(self._faults))

    @app.route("/counts", methods=["GET"])
    def read_counts(self, request: IRequest) -> bytes:
        """Answer how many operations reached the store."""
        return self._answer(request, attrs.asdict(self._counts))

    async def _transact(self, request: IRequest, body: dict[str, Any]) -> bytes:
        refusal = await self._enter(request, self._writes)
        if refusal is not None:
            return refusal
        self._counts.writes += 1
        conditions = {row["key"]: row["version"] for row in body["conditions"]}
        writes = {row["key"]: row["value"] for row in body["writes"]}
        try:
            version = self._table.transact(conditions, writes)
        except RowConflict as conflict:
            return self._answer(
                request, {"conflicts": _describe_rows(conflict.rows)}, status=409
            )
        except ValueTooLarge as error:
            return self._answer(request, {"error": f"too large: {error}"}, status=400)
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            request.channel.forceAbortClient()
            await Deferred()
        return self._answer(request, {"version": version})

    async def _enter(self, request: IRequest, limit: TokenBucket) -> bytes | None:
        if self._faults.delay_ms > 0:
            await task.deferLater(self._clock, self._faults.delay_ms / 1000)
        if self._faults.outage:
            return self._answer(request, {"error": "unavailable"}, status=503)
        wait_s = limit.take(self._clock.seconds())
        if wait_s:
            return self._refuse_rate(request, wait_s)
        return None

    def _refuse_rate(self, request: IRequest, wait_s: float) -> bytes:
        self._counts.throttled += 1
        request.setHeader("Retry-After", f"{wait_s:.3f}")
        return self._answer(request, {"error": "rate"}, status=429)

    def _answer_rows(
        self, request: IRequest, name: str, rows: list[StoredRow]
    ) -> bytes:
        body = {name: _describe_rows(rows), "version": self._table.version}
        return self._answer(request, body)

    def _answer(self, request: IRequest, body: Any, *, status: int = 200) -> bytes:
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        return json.dumps(body).encode()


def main(arguments: list[str]) -> None:
    """Serve until the process is stopped.

    Parameters
    ----------
    arguments : list of str
        Command line without the program's name.
    """
    parser = argparse.ArgumentParser(prog="ebonyhaven_standins.platform")
    parser.add_argument("--address", required=True, help="IP:PORT to listen on")
    parser.add_argument("--writes-per-s", type=float, default=DEFAULT_WRITES_PER_S)
    parser.add_argument("--reads-per-s", type=float, default=DEFAULT_READS_PER_S)
    parser.add_argument("--weights-per-s", type=float, default=DEFAULT_WEIGHTS_PER_S)
    options = parser.parse_args(arguments)
    host, port = options.address.rsplit(":", 1)
    platform = Platform(
        reactor,
        writes_per_s=options.writes_per_s,
        reads_per_s=options.reads_per_s,
        weights_per_s=options.weights_per_s,
    )
    reactor.listenTCP(int(port), Site(platform.app.resource()), interface=host)
    reactor.callWhenRunning(print, "ready", flush=True)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
