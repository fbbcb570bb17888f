"""Helpers shared by the stand-ins that serve HTTP."""

from __future__ import annotations

import json

from klein import Klein
from twisted.internet import endpoints, reactor
from twisted.web import http, server

MAX_BODY_BYTES = 64 * 1024 * 1024


class SiteWithoutAccessLog(server.Site):
    """Site without an access log."""

    noisy = False

    def log(self, request: http.Request) -> None:
        """Discard the access log entry.

        Parameters
        ----------
        request : twisted.web.http.Request
        """


def respond_json(request: http.Request, body: object, status: int = http.OK) -> bytes:
    """Set the status and content type of a response and return its body.

    Parameters
    ----------
    request : twisted.web.http.Request
    body : object
        Value to encode as JSON.
    status : int
        HTTP status code.

    Returns
    -------
    bytes
        Encoded body.
    """
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(body, separators=(",", ":")).encode()


def read_json_object(request: http.Request) -> dict:
    """Return the JSON object in the body of a request.

    Parameters
    ----------
    request : twisted.web.http.Request

    Returns
    -------
    dict

    Raises
    ------
    ValueError
        If the body is not a JSON object.
    """
    body = json.loads(request.content.read(MAX_BODY_BYTES))
    if not isinstance(body, dict):
        raise ValueError("the body is not a JSON object")
    return body


def read_query_int(request: http.Request, name: bytes, default: int) -> int:
    """Return an integer parameter of the query string.

    Parameters
    ----------
    request : twisted.web.http.Request
    name : bytes
        Name of the parameter.
    default : int
        Value if the parameter is absent.

    Returns
    -------
    int

    Raises
    ------
    ValueError
        If the parameter is not an integer.
    """
    values = request.args.get(name)
    return int(values[0]) if values else default


def serve_app(app: Klein, address: str) -> None:
    """Serve an application until the reactor stops.

    Prints the line ``ready`` once the port is open. If listening fails, prints the
    error and stops the reactor.

    Parameters
    ----------
    app : klein.Klein
    address : str
        ``IP:PORT`` to listen on.
    """
    host, _, port = address.rpartition(":")
    endpoint = endpoints.TCP4ServerEndpoint(reactor, int(port), interface=host)
    listening = endpoint.listen(SiteWithoutAccessLog(app.resource()))
    listening.addCallbacks(_print_ready, _stop_with_error)
    reactor.run()


def _print_ready(_port: object) -> None:
    print("ready", flush=True)


def _stop_with_error(failure) -> None:
    print(f"cannot listen: {failure.getErrorMessage()}", flush=True)
    reactor.callWhenRunning(reactor.stop)
