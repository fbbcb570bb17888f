"""Stand-in platform: table, object store, weight fetches and instance list.

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
BURST_WINDOW_S = 0.5


@attrs.define(slots=True, kw_only=True)
class PlatformFaults:
    """Faults that tests inject with ``POST /faults``.

    Parameters
    ----------
    outage : bool
        Requests for the table and objects fail with status 503.
    delay_ms : float
        Delay of requests for the table and objects, in milliseconds.
    lose_answers : int
        Number of transactions whose connection is aborted after the commit.
    list_lag_ms : float
        Lag of the instance list in milliseconds.
    refuse_list : bool
        Reads of the instance list fail with status 503.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    list_lag_ms: float = DEFAULT_LIST_LAG_MS
    refuse_list: bool = False


@attrs.define(slots=True)
class OperationCounts:
    """Numbers of table and object operations since the process started.

    Parameters
    ----------
    reads, writes : int
        Operations that were not rejected by a fault or a rate limit.
    throttled : int
        Operations rejected by a rate limit, fetches of weights included.
    """

    reads: int = 0
    writes: int = 0
    throttled: int = 0


def _encode_rows(rows: list[StoredRow]) -> list[dict[str, Any]]:
    return [row._asdict() for row in rows]


def _read_query_values(request: IRequest, name: bytes) -> list[str]:
    return [value.decode() for value in request.args.get(name, [])]


def _run_uncancelled(operation: Coroutine) -> Deferred:
    """Return a Deferred whose cancellation does not cancel the operation.

    Klein cancels the returned Deferred when the caller disconnects.
    """
    response: Deferred = Deferred()
    Deferred.fromCoroutine(operation).chainDeferred(response)
    return response


class Platform:
    """State and HTTP interface of the stand-in platform.

    Parameters
    ----------
    clock : IReactorTime
        Source of time and delayed calls.
    writes_per_s, reads_per_s, weights_per_s : float
        Rate limits of writes, reads and fetches of weights.
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
        self._operation_counts = OperationCounts()
        self._instance_list = LaggingInstanceList(lag_ms=DEFAULT_LIST_LAG_MS)
        self._write_limit = TokenBucket(
            per_s=writes_per_s, burst=max(1.0, writes_per_s * BURST_WINDOW_S), now=now
        )
        self._read_limit = TokenBucket(
            per_s=reads_per_s, burst=max(1.0, reads_per_s * BURST_WINDOW_S), now=now
        )
        self._weight_limit = TokenBucket(per_s=weights_per_s, burst=1.0, now=now)

    @app.route("/table/transact", methods=["POST"])
    def transact(self, request: IRequest) -> Deferred[bytes]:
        """Apply a conditional transaction to the table.

        A transaction is applied even if the caller disconnects meanwhile.
        """
        body = json.load(request.content)
        return _run_uncancelled(self._transact(request, body))

    @app.route("/table/rows", methods=["GET"])
    async def read_rows(self, request: IRequest) -> bytes:
        """Return the rows with the requested keys."""
        rejection = await self._admit(request, self._read_limit)
        if rejection is not None:
            return rejection
        self._operation_counts.reads += 1
        rows = self._table.read_rows(_read_query_values(request, b"key"))
        return self._respond_rows(request, "rows", rows)

    @app.route("/table/range", methods=["GET"])
    async def read_range(self, request: IRequest) -> bytes:
        """Return the rows whose key starts with a prefix."""
        rejection = await self._admit(request, self._read_limit)
        if rejection is not None:
            return rejection
        self._operation_counts.reads += 1
        rows = self._table.read_range(_read_query_values(request, b"prefix")[0])
        return self._respond_rows(request, "rows", rows)

    @app.route("/table/changes", methods=["GET"])
    async def read_changes(self, request: IRequest) -> bytes:
        """Return the rows changed after a version of the table."""
        rejection = await self._admit(request, self._read_limit)
        if rejection is not None:
            return rejection
        self._operation_counts.reads += 1
        since = int(_read_query_values(request, b"since")[0])
        prefix = (_read_query_values(request, b"prefix") or [""])[0]
        rows = self._table.read_changes(since, prefix)
        return self._respond_rows(request, "changes", rows)

    @app.route("/objects/<path:name>", methods=["GET"])
    async def read_object(self, request: IRequest, name: str) -> bytes:
        """Return the content of an object, or 404 if it is absent."""
        rejection = await self._admit(request, self._read_limit)
        if rejection is not None:
            return rejection
        self._operation_counts.reads += 1
        if name not in self._objects:
            return self._respond(request, {"error": "absent"}, status=404)
        return self._objects[name]

    @app.route("/objects/<path:name>", methods=["PUT"])
    async def write_object(self, request: IRequest, name: str) -> bytes:
        """Store an object."""
        content = request.content.read()
        rejection = await self._admit(request, self._write_limit)
        if rejection is not None:
            return rejection
        self._operation_counts.writes += 1
        self._objects[name] = content
        return self._respond(request, {})

    @app.route("/objects/<path:name>", methods=["DELETE"])
    async def delete_object(self, request: IRequest, name: str) -> bytes:
        """Delete an object; deleting an absent one is not an error."""
        rejection = await self._admit(request, self._write_limit)
        if rejection is not None:
            return rejection
        self._operation_counts.writes += 1
        self._objects.pop(name, None)
        return self._respond(request, {})

    @app.route("/weights/<path:name>", methods=["GET"])
    def grant_weights(self, request: IRequest, name: str) -> bytes:
        """Grant a fetch of model weights, or reject it with status 429."""
        wait_s = self._weight_limit.try_acquire(self._clock.seconds())
        if wait_s:
            return self._reject_throttled(request, wait_s)
        return self._respond(request, {"granted": True, "name": name})

    @app.route("/instances", methods=["GET"])
    def read_instances(self, request: IRequest) -> bytes:
        """Return the instance list as it was ``list_lag_ms`` ago."""
        if self._faults.refuse_list:
            return self._respond(request, {"error": "unavailable"}, status=503)
        entries = self._instance_list.read(self._clock.seconds())
        body = {"instances": entries, "measured_ms_ago": self._instance_list.lag_ms}
        return self._respond(request, body)

    @app.route("/instances/<name>", methods=["PUT"])
    def put_instance(self, request: IRequest, name: str) -> bytes:
        """Register or change an entry of the instance list."""
        self._instance_list.put(self._clock.seconds(), name, json.load(request.content))
        return self._respond(request, {})

    @app.route("/instances/<name>", methods=["DELETE"])
    def delete_instance(self, request: IRequest, name: str) -> bytes:
        """Remove an entry from the instance list."""
        self._instance_list.put(self._clock.seconds(), name, None)
        return self._respond(request, {})

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: IRequest) -> bytes:
        """Change the faults in the request and leave the others as they are."""
        self._faults = attrs.evolve(self._faults, **json.load(request.content))
        self._instance_list.lag_ms = self._faults.list_lag_ms
        return self._respond(request, attrs.asdict(self._faults))

    @app.route("/counts", methods=["GET"])
    def read_counts(self, request: IRequest) -> bytes:
        """Return the numbers of operations."""
        return self._respond(request, attrs.asdict(self._operation_counts))

    async def _transact(self, request: IRequest, body: dict[str, Any]) -> bytes:
        rejection = await self._admit(request, self._write_limit)
        if rejection is not None:
            return rejection
        self._operation_counts.writes += 1
        conditions = {row["key"]: row["version"] for row in body["conditions"]}
        writes = {row["key"]: row["value"] for row in body["writes"]}
        try:
            version = self._table.transact(conditions, writes)
        except RowConflict as conflict:
            return self._respond(
                request, {"conflicts": _encode_rows(conflict.rows)}, status=409
            )
        except ValueTooLarge as error:
            return self._respond(request, {"error": f"too large: {error}"}, status=400)
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            request.channel.forceAbortClient()
            await Deferred()
        return self._respond(request, {"version": version})

    async def _admit(self, request: IRequest, limit: TokenBucket) -> bytes | None:
        if self._faults.delay_ms > 0:
            await task.deferLater(self._clock, self._faults.delay_ms / 1000)
        if self._faults.outage:
            return self._respond(request, {"error": "unavailable"}, status=503)
        wait_s = limit.try_acquire(self._clock.seconds())
        if wait_s:
            return self._reject_throttled(request, wait_s)
        return None

    def _reject_throttled(self, request: IRequest, wait_s: float) -> bytes:
        self._operation_counts.throttled += 1
        request.setHeader("Retry-After", f"{wait_s:.3f}")
        return self._respond(request, {"error": "rate"}, status=429)

    def _respond_rows(
        self, request: IRequest, name: str, rows: list[StoredRow]
    ) -> bytes:
        body = {name: _encode_rows(rows), "version": self._table.version}
        return self._respond(request, body)

    def _respond(self, request: IRequest, body: Any, *, status: int = 200) -> bytes:
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        return json.dumps(body).encode()


def main(arguments: list[str]) -> None:
    """Run the stand-in platform until the process is stopped.

    Parameters
    ----------
    arguments : list of str
        Command line arguments without the program name.
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
