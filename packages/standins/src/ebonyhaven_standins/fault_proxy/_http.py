"""Control interface of the fault proxy."""

from __future__ import annotations

from klein import Klein

from ebonyhaven_standins._serving import read_json_object, respond_json
from ebonyhaven_standins.fault_proxy._faults import FaultKind
from ebonyhaven_standins.fault_proxy._links import Link, LinkTable


class ControlInterface:
    """HTTP routes that add links and set faults."""

    app = Klein()

    def __init__(self) -> None:
        self._links = LinkTable()

    @app.handle_errors(KeyError, ValueError)
    def reject(self, request, failure):
        """Return status 400 for a malformed request."""
        body = {"error": "malformed", "reason": failure.getErrorMessage()}
        return respond_json(request, body, 400)

    @app.route("/links", methods=["POST"])
    def add_link(self, request):
        """Add a link and start listening on its address."""
        body = read_json_object(request)
        sides = frozenset((body.get("side_a", ""), body.get("side_b", "")))
        link = Link(
            name=body["name"],
            listen=body["listen"],
            target=body["target"],
            sides=sides,
        )
        self._links.add(link)
        return respond_json(request, {"name": link.name})

    @app.route("/links", methods=["GET"])
    def list_links(self, request):
        """Return the links with their numbers of open connections."""
        links = [
            {"name": link.name, "open": link.open_count}
            for link in self._links.list_all()
        ]
        return respond_json(request, {"links": links})

    @app.route("/faults", methods=["POST"])
    async def set_fault(self, request):
        """Set a fault on a link or on all links between two sides."""
        body = read_json_object(request)
        target = body["link"] if "link" in body else _read_sides(body)
        links = self._links.select(target)
        for link in links:
            await link.set_fault(FaultKind(body["kind"]), body.get("delay_ms", 0.0))
        return respond_json(request, {"links": [link.name for link in links]})


def _read_sides(body: dict) -> list[str]:
    # The sides are given as a pair "sides" or as the members "side_a" and "side_b".
    return body["sides"] if "sides" in body else [body["side_a"], body["side_b"]]
