"""HTTP API of the engine stand-in."""

from __future__ import annotations

from klein import Klein
from twisted.internet import defer
from twisted.web import http

from ebonyhaven_standins._serving import read_json_object, read_query_int, respond_json
from ebonyhaven_standins.engine._engine import Engine, RefusedError, StartRequest
from ebonyhaven_standins.engine._load import LoadSampler
from ebonyhaven_standins.engine._orders import StaleFenceError
from ebonyhaven_standins.engine._runs import Run


class ResponseSubscriber:
    """Writes the output of a run to one HTTP response.

    Parameters
    ----------
    request : twisted.web.http.Request
    """

    __slots__ = ("_is_open", "_request", "done")

    def __init__(self, request: http.Request):
        self._request = request
        self._is_open = True
        self.done: defer.Deferred[None] = defer.Deferred(_ignore_cancel)

    def write(self, data: bytes) -> None:
        """Write bytes to the response unless it has ended.

        Parameters
        ----------
        data : bytes
        """
        if self._is_open:
            self._request.write(data)

    def end(self) -> None:
        """End the response."""
        if self._is_open:
            self._is_open = False
            self.done.callback(None)

    def mark_disconnected(self) -> None:
        """Discard further output because the connection was lost."""
        self._is_open = False


class EngineHttpApi:
    """HTTP routes of one engine.

    Parameters
    ----------
    engine : Engine
    load : LoadSampler
        Source of the load reports.
    """

    app = Klein()

    def __init__(self, engine: Engine, load: LoadSampler):
        self._engine = engine
        self._load = load

    @app.handle_errors(RefusedError)
    def handle_refused(self, request, failure):
        """Respond to a request that the engine refused."""
        error = failure.value
        body = {"error": error.error}
        if error.generation is not None:
            body["generation"] = error.generation
        self._add_load_headers(request)
        return respond_json(request, body, error.status)

    @app.handle_errors(ValueError, KeyError, TypeError)
    def handle_malformed(self, request, failure):
        """Respond to a malformed request with status 400."""
        body = {"error": "malformed", "reason": failure.getErrorMessage()}
        return respond_json(request, body, http.BAD_REQUEST)

    @app.route("/v1/completions", methods=["POST"])
    def start_run(self, request):
        """Start, continue or attach to a run and stream its output."""
        run, offset = self._engine.start(
            StartRequest.from_body(read_json_object(request))
        )
        return self._stream(request, run, offset)

    @app.route("/v1/runs/<run_id>", methods=["GET"])
    def attach_run(self, request, run_id):
        """Attach to a run and stream its output from an offset."""
        generation = request.args.get(b"generation", [b""])[0].decode()
        fence = read_query_int(request, b"fence", 0)
        offset = read_query_int(request, b"from", 0)
        run = self._engine.find(run_id, generation, fence)
        return self._stream(request, run, offset)

    @app.route("/v1/runs/<run_id>", methods=["DELETE"])
    def cancel_run(self, request, run_id):
        """Cancel a run; with ``if_detached``, only if it has no subscribers."""
        attempt = read_query_int(request, b"attempt", -1)
        if read_query_int(request, b"if_detached", 0) and self._engine.has_subscribers(
            run_id
        ):
            return self._respond(request, {"cancelled": False, "attended": True})
        cancelled = self._engine.cancel(run_id, attempt if attempt >= 0 else None)
        return self._respond(request, {"cancelled": cancelled, "attended": False})

    @app.route("/v1/load", methods=["GET"])
    def report_load(self, request):
        """Return the last load sample."""
        return self._respond(request, self._load.report())

    @app.route("/v1/state", methods=["GET"])
    def report_state(self, request):
        """Return the loaded models, the role and the highest fencing number."""
        return self._respond(request, self._engine.state.describe())

    @app.route("/v1/orders", methods=["POST"])
    def accept_order(self, request):
        """Accept an order of a controller."""
        order = read_json_object(request)
        try:
            self._engine.state.accept_order(order)
        except StaleFenceError:
            raise RefusedError(409, "stale_fence") from None
        return self._respond(request, {"order_id": order["order_id"], "accepted": True})

    @app.route("/v1/cache-events", methods=["GET"])
    def list_cache_events(self, request):
        """Return the published cache events."""
        since = read_query_int(request, b"since", 0)
        events, next_sequence = self._engine.feed.list_since(since)
        body = {
            "events": [
                {"sequence": event.sequence, "kind": event.kind, "prefix": event.prefix}
                for event in events
            ],
            "next": next_sequence,
        }
        return self._respond(request, body)

    @app.route("/health", methods=["GET"])
    def report_health(self, request):
        """Return the name of the server."""
        return self._respond(request, {"server": self._engine.settings.name})

    def _respond(self, request: http.Request, body: object) -> bytes:
        self._add_load_headers(request)
        return respond_json(request, body)

    def _stream(self, request: http.Request, run: Run, offset: int) -> defer.Deferred:
        self._add_load_headers(request)
        request.setHeader("Content-Type", "text/event-stream")
        # An empty write sends the headers before the first token is ready.
        request.write(b"")
        subscriber = ResponseSubscriber(request)
        disconnected = request.notifyFinish()
        disconnected.addErrback(lambda _: self._handle_disconnect(run, subscriber))
        run.attach(subscriber, offset)
        return subscriber.done

    def _handle_disconnect(self, run: Run, subscriber: ResponseSubscriber) -> None:
        subscriber.mark_disconnected()
        self._engine.detach(run, subscriber)

    def _add_load_headers(self, request: http.Request) -> None:
        scheduler = self._engine.scheduler
        headers = {
            "Engine-Running": str(scheduler.running),
            "Engine-Waiting": str(scheduler.waiting),
            "Engine-Capacity": str(self._engine.settings.capacity),
            "Engine-Pace-Ms": f"{scheduler.pace_ms:.2f}",
            "Engine-Leaving": "1" if self._engine.state.leaving else "0",
        }
        for name, value in headers.items():
            request.setHeader(name, value)


def _ignore_cancel(_done: defer.Deferred) -> None:
    """Do nothing on cancellation; the Deferred then fires with `CancelledError`."""
