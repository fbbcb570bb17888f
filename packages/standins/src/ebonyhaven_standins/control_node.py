"""Process that runs only the membership of a node, for tests and measurements.

Run as ``python -m ebonyhaven_standins.control_node --settings FILE``. The JSON
file has the keys of `ControlNodeSettings`. The process serves ``GET /v1/entries``,
``GET /members``, ``GET /metrics``, ``POST /leave`` and ``POST /depart``.
"""

from __future__ import annotations

import contextlib
import json
import pathlib
import random
import sys

import attrs
import structlog
from ebonyhaven_node import (
    ChannelMetrics,
    ChannelOptions,
    Channels,
    MembershipController,
    make_own_record,
)
from klein import Klein
from prometheus_client import CollectorRegistry, generate_latest
from twisted.internet import reactor
from twisted.web.iweb import IRequest
from twisted.web.server import Site

SETTINGS_OPTION = "--settings"


@attrs.frozen(slots=True, kw_only=True)
class ControlNodeSettings:
    """Settings of a control node.

    Parameters
    ----------
    instance, data_centre, region : str
        Name and location of the instance.
    caller_address, control_address : str
        ``IP:PORT`` of the HTTP interface and of the control channels.
    seeds : dict of str to str
        Control addresses of instances by name, in place of the instance list of
        the platform.
    seed : int
        Seed of the random number generator.
    loss : float
        Probability of dropping a message, 0 to 1.
    routes : dict of str to str
        Maps a control address to the address to connect to instead.
    load : float
        Reported load of the instance, 0 to 1.
    """

    instance: str
    caller_address: str
    control_address: str
    data_centre: str = "dc-a"
    region: str = "r1"
    seeds: dict[str, str] = attrs.field(factory=dict)
    seed: int = 1
    loss: float = 0.0
    routes: dict[str, str] = attrs.field(factory=dict)
    load: float = 0.0


class ControlNode:
    """HTTP interface to the membership controller of a node.

    Parameters
    ----------
    settings : ControlNodeSettings
    """

    app = Klein()

    def __init__(self, settings: ControlNodeSettings):
        self.registry = CollectorRegistry()
        self.stack = contextlib.ExitStack()
        rng = random.Random(f"{settings.seed} {settings.instance}")
        channels = Channels(
            reactor=reactor,
            address=settings.control_address,
            metrics=ChannelMetrics(self.registry),
            rng=rng,
            options=ChannelOptions(loss=settings.loss, routes=settings.routes),
        )
        self.stack.callback(channels.close)
        self.membership = MembershipController(
            own=make_own_record(
                name=settings.instance,
                control_address=settings.control_address,
                caller_address=settings.caller_address,
                data_centre=settings.data_centre,
                region=settings.region,
            ),
            channels=channels,
            reactor=reactor,
            rng=rng,
            registry=self.registry,
        )
        self.stack.callback(self.membership.stop)
        self.membership.set_load_source(lambda: settings.load)
        self.membership.set_seeds(settings.seeds)
        self.membership.start()

    @app.route("/v1/entries")
    def get_entries(self, request: IRequest) -> str:
        """Return the instances that callers should use."""
        return json.dumps(self.membership.choose_entries().describe())

    @app.route("/members")
    def get_members(self, request: IRequest) -> str:
        """Return the records of all known instances."""
        return json.dumps([record._asdict() for record in self.membership.members])

    @app.route("/metrics")
    def get_metrics(self, request: IRequest) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    @app.route("/leave", methods=["POST"])
    def leave(self, request: IRequest) -> str:
        """Announce that the instance accepts no new callers."""
        self.membership.leave()
        return "{}"

    @app.route("/depart", methods=["POST"])
    def depart(self, request: IRequest) -> str:
        """Announce the departure of the instance and stop the process."""
        self.membership.depart().addCallback(lambda _: reactor.stop())
        return "{}"


def _configure_logging() -> None:
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt=None),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def main(arguments: list[str]) -> None:
    """Run the control node until the process is stopped.

    Parameters
    ----------
    arguments : list of str
        Command line arguments without the program name: ``--settings FILE``.
    """
    path = pathlib.Path(arguments[arguments.index(SETTINGS_OPTION) + 1])
    settings = ControlNodeSettings(**json.loads(path.read_text()))
    _configure_logging()
    node = ControlNode(settings)
    host, port = settings.caller_address.split(":")
    reactor.listenTCP(int(port), Site(node.app.resource()), interface=host)
    reactor.callWhenRunning(print, "ready", flush=True)
    with node.stack:
        reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
