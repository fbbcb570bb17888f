"""Calls to plain services whose content crashes the servers that run them."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable

import structlog
from ebonyhaven_decisions import OutcomeTag
from ebonyhaven_decisions.forwarding import SETTLE_S, CrashHistory, LossReport
from twisted.internet import task
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory, Protocol

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._crash_exchange import CrashExchange
from ebonyhaven_node._failures import make_failure
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node._servers import BackendServer

CHECK_DELAY_S = 0.05  # shorter than a server restart
PROBE_TIMEOUT_S = 0.5
DIGEST_HEX_DIGITS = 16

_log = structlog.get_logger()


class ServiceCrashes:
    """Holds the contents of calls responsible for the servers lost under them.

    Parameters
    ----------
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self, reactor: IReactorTime, clock: Callable[[], float] = time.monotonic
    ):
        self._reactor = reactor
        self._clock = clock
        self._history = CrashHistory()
        self._exchange: CrashExchange | None = None

    def connect(self, membership: MembershipController, channels: Channels) -> None:
        """Start to share losses with other instances.

        Parameters
        ----------
        membership : MembershipController
        channels : Channels
        """
        self._exchange = CrashExchange(
            history=self._history,
            membership=membership,
            channels=channels,
            reactor=self._reactor,
            clock=self._clock,
            on_received=lambda: None,
        )

    def stop(self) -> None:
        """Cancel scheduled messages."""
        if self._exchange is not None:
            self._exchange.stop()

    async def check(self, content: str, tag: OutcomeTag) -> None:
        """Wait until recent losses count; raise if the content must not run again.

        Parameters
        ----------
        content : str
            Result of `compute_content`.
        tag : OutcomeTag
            Tag of the outcome to raise.

        Raises
        ------
        RequestFailure
        """
        now = self._clock()
        if self._history.may_be_blocked_soon(content, now, unconfirmed_losses=0):
            await task.deferLater(self._reactor, SETTLE_S)
        if self._history.find_blocked_trait((content,), self._clock()) is not None:
            reason = "backend servers crashed each time they ran this content"
            raise make_failure(tag, "crash_check", reason, status=422)

    async def check_loss(self, content: str, server: BackendServer) -> None:
        """Check whether a server that closed its connection has crashed.

        Parameters
        ----------
        content : str
        server : BackendServer
        """
        lost_at = self._clock()
        await task.deferLater(self._reactor, CHECK_DELAY_S)
        if server.leaving or not await self._is_refused(server.address):
            return
        process = f"{server.name}/{server.identity}"
        now = self._clock()
        report = LossReport(process, server.data_centre, now - lost_at, ((content,),))
        self._history.add(report, now)
        if self._exchange is not None:
            self._exchange.publish_loss(process)
        crashes = self._history.count_crashes(content, now)
        _log.info(
            "service_crashed", server=server.name, traits=[content], crashes=crashes
        )

    def record_survival(self, content: str) -> None:
        """Record that a server answered a call.

        Parameters
        ----------
        content : str
        """
        now = self._clock()
        if not self._history.count_crashes(content, now):
            return
        if self._history.add_survival(content, now) and self._exchange is not None:
            self._exchange.publish_survival(content)

    async def _is_refused(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=PROBE_TIMEOUT_S
        )
        try:
            probe = await endpoint.connect(Factory.forProtocol(Protocol))
        except ConnectionRefusedError:
            return True
        except ConnectError:
            return False
        probe.transport.abortConnection()
        return False


def compute_content(method: bytes, service: str, target: str, body: bytes) -> str:
    """Return the digest of what a server sees of a call.

    Parameters
    ----------
    method : bytes
    service : str
    target : str
        Path and query.
    body : bytes

    Returns
    -------
    str
    """
    hasher = hashlib.sha256(f"{method!r} {service} {target}".encode())
    hasher.update(body)
    return hasher.hexdigest()[:DIGEST_HEX_DIGITS]
