"""What an instance reports to the others, once it has joined them."""

from __future__ import annotations

from ebonyhaven_decisions import MemberRecord
from ebonyhaven_decisions.forwarding import Backend

from ebonyhaven_node.forwarding._contact_monitor import ContactMonitor
from ebonyhaven_node.forwarding._peer_group import PeerGroup


class PeerReports:
    """Passes reports on to the peer group; drops them before there is one.

    Parameters
    ----------
    contact : ContactMonitor
        What it finds of servers says nothing about them while contact is lost.
    """

    __slots__ = ("_contact", "_group")

    def __init__(self, contact: ContactMonitor):
        self._contact = contact
        self._group: PeerGroup | None = None

    def connect(self, group: PeerGroup) -> None:
        """Pass reports on to a group from now on.

        Parameters
        ----------
        group : PeerGroup
        """
        self._group = group

    def is_chosen(self, key: str) -> bool:
        """See `PeerGroup.is_chosen`."""
        return self._group is None or self._group.is_chosen(key)

    def list_reaching(self) -> list[MemberRecord]:
        """See `PeerGroup.list_reaching`."""
        return self._group.list_reaching() if self._group is not None else []

    def list_instances(self) -> list[str]:
        """See `PeerGroup.list_instances`; empty before there is a group."""
        return self._group.list_instances() if self._group is not None else []

    def schedule_use_report(self) -> None:
        """See `PeerGroup.schedule_use_report`."""
        if self._group is not None:
            self._group.schedule_use_report()

    def report_contact(self, *, is_lost: bool) -> None:
        """See `PeerGroup.report_contact`."""
        if self._group is not None:
            self._group.report_contact(is_lost=is_lost)

    def report_ended_process(self, process: str) -> None:
        """See `PeerGroup.report_ended_process`."""
        if self._group is not None:
            self._group.report_ended_process(process)

    def report_survival(self, trait: str) -> None:
        """See `PeerGroup.report_survival`."""
        if self._group is not None:
            self._group.report_survival(trait)

    def report_limits(self, backend: Backend) -> None:
        """See `PeerGroup.report_limits`."""
        if self._group is not None:
            self._group.report_limits(backend)

    def report_lost_server(self, backend: Backend) -> None:
        """See `PeerGroup.report_lost_server`; waits until contact is known."""

        def report() -> None:
            if self._group is not None and not self._contact.is_lost:
                self._group.report_lost_server(backend)

        self._contact.call_when_known(report)
