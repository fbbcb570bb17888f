"""Membership messages between instances."""

from __future__ import annotations

from typing import NamedTuple

from ebonyhaven_decisions._members import MemberRecord, MemberState


class LoadReport(NamedTuple):
    """Load of an instance as reported by that instance.

    Parameters
    ----------
    incarnation : int
        Incarnation of the reporting process.
    sequence : int
        Number of the report within the incarnation; the higher one is newer.
    load_tenths : int
        Load in tenths, 0 to 10.
    name : str
        Name of the instance.
    """

    incarnation: int
    sequence: int
    load_tenths: int
    name: str


class Heartbeat(NamedTuple):
    """Periodic message to a neighbour that also carries recent changes.

    Parameters
    ----------
    state : MemberState
        State that the sender announces.
    digest : int
        Digest of the sender's member table.
    updates : tuple of MemberRecord
        Records that changed recently.
    loads : tuple of LoadReport
        Load reports that changed recently.
    """

    state: MemberState
    digest: int
    updates: tuple[MemberRecord, ...] = ()
    loads: tuple[LoadReport, ...] = ()


class Probe(NamedTuple):
    """Request for a `ProbeAnswer`, which shows that the receiver is alive.

    Parameters
    ----------
    sender : MemberRecord
        Record of the sender.
    """

    sender: MemberRecord


class ProbeAnswer(NamedTuple):
    """Answer to a `Probe`.

    Parameters
    ----------
    sender : MemberRecord
        Record of the sender.
    """

    sender: MemberRecord


class Query(NamedTuple):
    """Request to confirm that an instance is alive.

    Parameters
    ----------
    sender : MemberRecord
        Record of the querying instance.
    subject : str
        Name of the silent instance.
    """

    sender: MemberRecord
    subject: str


class QueryAnswer(NamedTuple):
    """Confirmation that the sender received a message from an instance recently.

    Parameters
    ----------
    subject : str
        Name of the instance that is alive.
    """

    subject: str


class TableRequest(NamedTuple):
    """Request for the complete member table.

    Parameters
    ----------
    sender : MemberRecord
        Record of the sender.
    """

    sender: MemberRecord


class TableAnswer(NamedTuple):
    """Some or all records of a member table.

    Parameters
    ----------
    records : tuple of MemberRecord
    """

    records: tuple[MemberRecord, ...]


MembershipMessage = (
    Heartbeat | Probe | ProbeAnswer | Query | QueryAnswer | TableRequest | TableAnswer
)


class Envelope(NamedTuple):
    """A message to be sent to another instance.

    Parameters
    ----------
    name : str
        Name of the receiver; empty when only its address is known.
    address : str
        Control address of the receiver.
    message : MembershipMessage
    new_connection : bool
        Whether to send the message over a new connection, because the existing one
        may have failed without an error.
    """

    name: str
    address: str
    message: MembershipMessage
    new_connection: bool = False
