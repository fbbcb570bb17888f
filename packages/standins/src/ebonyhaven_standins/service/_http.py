"""HTTP API of the plain service stand-in."""

from __future__ import annotations

import hashlib

import attrs
from klein import Klein
from twisted.internet import task
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_standins._execution_log import ExecutionLog
from ebonyhaven_standins._serving import MAX_BODY_BYTES, respond_json


@attrs.frozen(kw_only=True, slots=True)
class ServiceSettings:
    """Name and response delay of a service.

    Parameters
    ----------
    name : str
        Name of the backend server.
    delay_ms : float
        Time between the execution of a request and its response.
    request_limit : float or None
        Requests per second that its answers name as its limit.
    """

    name: str
    delay_ms: float = 0.0
    request_limit: float | None = None


class ServiceHttpApi:
    """Executes every request and records it in the execution log.

    Parameters
    ----------
    settings : ServiceSettings
    log : ExecutionLog
    clock : twisted.internet.interfaces.IReactorTime
    """

    app = Klein()

    def __init__(
        self, settings: ServiceSettings, log: ExecutionLog, clock: IReactorTime
    ):
        self._settings = settings
        self._log = log
        self._clock = clock
        self._execution_count = 0
        self._running = 0
        self.leaving = False

    @app.route("/health", methods=["GET"])
    def report_health(self, request):
        """Return the name of the server."""
        self._add_load_headers(request)
        return respond_json(request, {"server": self._settings.name})

    @app.route("/", branch=True)
    def execute(self, request):
        """Execute a request, record it and respond after the delay."""
        if self.leaving:
            self._add_load_headers(request)
            return respond_json(request, {"error": "leaving"}, 503)
        self._execution_count += 1
        self._running += 1
        execution = self._execution_count
        key = request.getHeader("Idempotency-Key") or ""
        body = request.content.read(MAX_BODY_BYTES)
        self._log.write(
            "start",
            run_id=key,
            execution=execution,
            method=request.method.decode(),
            path=request.path.decode(),
        )
        response_body = {
            "server": self._settings.name,
            "execution": execution,
            "method": request.method.decode(),
            "path": request.path.decode(),
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        delay_s = self._settings.delay_ms / 1000.0
        return task.deferLater(
            self._clock, delay_s, self._finish, request, key, response_body
        )

    def _finish(self, request, key: str, response_body: dict) -> bytes:
        self._running -= 1
        self._log.write("finish", run_id=key, execution=response_body["execution"])
        self._add_load_headers(request)
        return respond_json(request, response_body)

    def _add_load_headers(self, request) -> None:
        request.setHeader("Engine-Running", str(self._running))
        request.setHeader("Engine-Leaving", "1" if self.leaving else "0")
        limit = self._settings.request_limit
        if limit is not None:
            request.setHeader("Backend-Request-Limit", str(limit))
