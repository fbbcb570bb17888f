"""Everything that an instance shares with the other instances."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Sequence

from ebonyhaven_decisions import MemberRecord, MemberState, choose_instances
from ebonyhaven_decisions.forwarding import (
    Backend,
    CrashHistory,
    PeerEngineUse,
    ServiceRetryBudget,
)
from prometheus_client import CollectorRegistry
from twisted.internet.interfaces import IReactorCore

from ebonyhaven_node._channel_metrics import ChannelMetrics
from ebonyhaven_node._channels import Channels
from ebonyhaven_node._crash_exchange import CrashExchange
from ebonyhaven_node._limit_exchange import LimitExchange
from ebonyhaven_node._link_monitor import LinkMonitor
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node._own_record import make_own_record
from ebonyhaven_node._processor_load import ProcessorLoad
from ebonyhaven_node.forwarding._contact_exchange import ContactExchange
from ebonyhaven_node.forwarding._engine_use_exchange import (
    USE_REFRESH_INTERVAL_S,
    EngineUseExchange,
)
from ebonyhaven_node.forwarding._peer_sections import PeerSection
from ebonyhaven_node.forwarding._permit_exchange import PermitExchange
from ebonyhaven_node.forwarding._settings import GatewaySettings
from ebonyhaven_node.forwarding._shared_stream_index import SharedStreamIndex
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding._state_feed import ServerChangeFeed
from ebonyhaven_node.forwarding._state_synchronization import StateSynchronizer
from ebonyhaven_node.forwarding.interfaces import StateSource

PEER_USE_TTL_S = 3 * USE_REFRESH_INTERVAL_S
# Each kind of record is written by one instance.
CRASH_RECORDS_KEY = "losses"
VERSION_RECORDS_KEY = "versions"


class PeerGroup:
    """Membership of the instances, and the state that they exchange.

    Parameters
    ----------
    settings : GatewaySettings
    reactor : IReactorCore
    rng : random.Random
    clock : callable
        Returns seconds.
    registry : CollectorRegistry
    state : ForwardingState
    source : StateSource
    peer_use : PeerEngineUse
        Updated with the reports of other instances.
    budget : ServiceRetryBudget
        Its number of instances is updated with the membership.
    stream_index : SharedStreamIndex
    permits : PermitExchange
    crash_history : CrashHistory
        Updated with the losses that other instances report.
    on_peer_use : callable
        Called after each report of another instance.
    on_peer_losses : callable
        Called after each report of losses of servers.
    on_loss : callable
        Called with each server that another instance found lost.
    link : LinkMonitor
        Told of each message to another instance.
    sections : sequence of PeerSection
        Of the reports to other instances.

    Attributes
    ----------
    membership : MembershipController
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        reactor: IReactorCore,
        rng: random.Random,
        clock: Callable[[], float],
        registry: CollectorRegistry,
        state: ForwardingState,
        source: StateSource,
        peer_use: PeerEngineUse,
        budget: ServiceRetryBudget,
        stream_index: SharedStreamIndex,
        permits: PermitExchange,
        crash_history: CrashHistory,
        on_peer_use: Callable[[], None],
        on_peer_losses: Callable[[], None],
        on_loss: Callable[[Backend], None],
        link: LinkMonitor,
        sections: Sequence[PeerSection] = (),
    ):
        self._stack = contextlib.ExitStack()
        channels = Channels(
            reactor=reactor,
            address=settings.control_address,
            metrics=ChannelMetrics(registry, link=link),
            rng=rng,
        )
        self._stack.callback(channels.close)
        membership = self.membership = MembershipController(
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
            registry=registry,
            clock=clock,
        )
        self._stack.callback(membership.stop)
        membership.set_load_source(ProcessorLoad().read)
        membership.set_seeds(settings.seeds)
        synchronizer = StateSynchronizer(
            source=source,
            membership=membership,
            channels=channels,
            reactor=reactor,
            clock=clock,
        )
        self._stack.callback(synchronizer.stop)
        feed = ServerChangeFeed(
            source=source,
            membership=membership,
            channels=channels,
            reactor=reactor,
            link_bytes_per_s=settings.link_bytes_per_s,
        )
        self._stack.callback(feed.stop)
        self._use_exchange = EngineUseExchange(
            state=state,
            peers=peer_use,
            budget=budget,
            membership=membership,
            channels=channels,
            reactor=reactor,
            rng=rng,
            on_peer_use=on_peer_use,
            on_loss=on_loss,
            sections=sections,
        )
        self._stack.callback(self._use_exchange.stop)
        self._crash_exchange = CrashExchange(
            history=crash_history,
            membership=membership,
            channels=channels,
            reactor=reactor,
            clock=clock,
            on_received=on_peer_losses,
        )
        self._stack.callback(self._crash_exchange.stop)
        self._contact_exchange = ContactExchange(
            membership=membership,
            channels=channels,
            reactor=reactor,
            clock=clock,
        )
        self._stack.callback(self._contact_exchange.stop)
        self._limit_exchange = LimitExchange(
            servers=state.backends.limits,
            membership=membership,
            channels=channels,
            reactor=reactor,
            clock=clock,
            list_cut_off=lambda: self._contact_exchange.lost_names,
        )
        self._stack.callback(self._limit_exchange.stop)
        self._contact_exchange.observe(self._limit_exchange.update_instances)
        stream_index.connect(membership, channels)
        self._stack.callback(stream_index.stop)
        permits.connect(membership, channels)
        self._stack.callback(permits.stop)

    def start(self) -> None:
        """Join the other instances."""
        self.membership.start()

    def stop(self) -> None:
        """Stop all exchanges and close the channels."""
        self._stack.close()

    def is_crash_recorder(self) -> bool:
        """Return whether this instance records the losses of servers for all."""
        return self.is_chosen(CRASH_RECORDS_KEY)

    def is_version_recorder(self) -> bool:
        """Return whether this instance records the software versions for all."""
        return self.is_chosen(VERSION_RECORDS_KEY)

    def is_chosen(self, key: str) -> bool:
        """Return whether this instance is the one of all that acts for a key.

        Parameters
        ----------
        key : str
        """
        names = self.list_instances()
        return choose_instances(key, names, 1) == [self.membership.own.name]

    def list_instances(self) -> list[str]:
        """Return the names of all instances not known to be dead."""
        return [
            record.name
            for record in self.membership.members
            if record.state is not MemberState.DEAD
        ]

    def schedule_use_report(self) -> None:
        """Report the engine use of this instance soon."""
        self._use_exchange.schedule_report()

    def report_ended_process(self, process: str) -> None:
        """Report what is known of the loss of a server soon.

        Parameters
        ----------
        process : str
            See `LossReport`.
        """
        self._crash_exchange.publish_loss(process)

    def report_contact(self, *, is_lost: bool) -> None:
        """Report whether this instance reaches no server.

        Parameters
        ----------
        is_lost : bool
        """
        self._contact_exchange.publish(is_lost=is_lost)

    def list_reaching(self) -> list[MemberRecord]:
        """Return the other live instances that reach servers, as far as is known."""
        return self._contact_exchange.list_reaching()

    def report_limits(self, backend: Backend) -> None:
        """Report a server that names limits, or names none after some.

        Parameters
        ----------
        backend : Backend
        """
        self._limit_exchange.publish(backend)

    def report_survival(self, trait: str) -> None:
        """Report that a server ran a request without a crash.

        Parameters
        ----------
        trait : str
            One of its traits, see `CrashHistory`.
        """
        self._crash_exchange.publish_survival(trait)

    def report_lost_server(self, backend: Backend) -> None:
        """Report a lost server soon.

        Parameters
        ----------
        backend : Backend
        """
        self._use_exchange.report_lost_server(backend)
