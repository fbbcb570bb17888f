"""HTTP interface for callers."""

from __future__ import annotations

import json
from collections.abc import Callable

import attrs
from ebonyhaven_decisions import EntryList, RequestFailure
from klein import Klein
from prometheus_client import CollectorRegistry, generate_latest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.threads import deferToThread
from twisted.web.http import Request

from ebonyhaven_node._active_configuration import ActiveConfiguration
from ebonyhaven_node._exchanges import Exchange
from ebonyhaven_node._filter_chain import Proceed
from ebonyhaven_node._requests import MAX_BODY_BYTES, decode_body
from ebonyhaven_node._services import ServiceRelay
from ebonyhaven_node._sinks import write_outcome


@attrs.define(slots=True, kw_only=True)
class InstanceState:
    """Identity of this instance and whether it accepts new runs.

    Parameters
    ----------
    instance : str
    incarnation : int
    leaving : bool
    """

    instance: str
    incarnation: int
    leaving: bool = False


class CallerInterface:
    """HTTP routes for callers.

    Parameters
    ----------
    chain : callable
        Filter chain for generation requests.
    services : ServiceRelay
    entries : callable
        Returns the entry list to send to a caller.
    state : InstanceState
    configuration : ActiveConfiguration
    registry : CollectorRegistry
    """

    app = Klein()

    def __init__(
        self,
        *,
        chain: Proceed,
        services: ServiceRelay,
        entries: Callable[[], EntryList],
        state: InstanceState,
        configuration: ActiveConfiguration,
        registry: CollectorRegistry,
    ):
        self._chain = chain
        self._services = services
        self._entries = entries
        self._state = state
        self._configuration = configuration
        self._registry = registry

    @app.route("/v1/completions", methods=["POST"])
    def complete(self, request: Request) -> object:
        """Handle a request for a generation."""
        try:
            body = decode_body(request.content.read(MAX_BODY_BYTES + 1))
        except RequestFailure as failure:
            write_outcome(request, failure.outcome)
            return Deferred()
        ensureDeferred(self._chain(Exchange(http_request=request, body=body)))
        return Deferred()  # never fires, because the filters finish the request

    @app.route("/services/<service>/", defaults={"path": ""})
    @app.route("/services/<service>/<path:path>")
    def call_service(self, request: Request, service: str, path: str) -> object:
        """Relay a call to a plain service."""
        ensureDeferred(self._services.relay(request, service, path))
        return Deferred()  # never fires, because the relay finishes the request

    @app.route("/v1/entries", methods=["GET"])
    def list_entries(self, request: Request) -> bytes:
        """Return the entry list, best instance first, with its time to live."""
        return _write_json(request, self._entries().describe())

    @app.route("/health", methods=["GET"])
    def report_health(self, request: Request) -> bytes:
        """Report whether this instance accepts new runs."""
        health = {
            "status": "leaving" if self._state.leaving else "live",
            "instance": self._state.instance,
            "incarnation": self._state.incarnation,
            "configuration_version": self._configuration.version,
        }
        return _write_json(request, health)

    @app.route("/metrics", methods=["GET"])
    def report_metrics(self, request: Request) -> Deferred[bytes]:
        """Return all metrics in the Prometheus text format.

        They are rendered in a thread, so that streams are not delayed.
        """
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return deferToThread(generate_latest, self._registry)


def _write_json(request: Request, value: dict) -> bytes:
    request.setHeader("Content-Type", "application/json")
    return json.dumps(value).encode()
