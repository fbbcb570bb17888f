"""Messages between instances about membership."""

from __future__ import annotations

from typing import NamedTuple

from ebonyhaven_decisions._members import MemberRecord, MemberState


class LoadReport(NamedTuple):
    """Load of an instance as that instance reported it.

    Parameters
    ----------
    incarnation : int
        Incarnation of the reporting process.
    sequence : int
        Count of the reports of that incarnation; the higher is newer.
    tenths : int
        Load in tenths, 0 to 10.
    name : str
        Name of the instance.
    """

    incarnation: int
    sequence: int
    tenths: int
    name: str


class Heartbeat(NamedTuple):
    """Sign of life along an edge, with news.

    Parameters
    ----------
    state : MemberState
        State that the sender announces.
    digest : int
        Digest of the sender's member table.
    updates : tuple of MemberRecord
        Records that changed lately.
    loads : tuple of LoadReport
        Load reports that changed lately.
    """

    state: MemberState
    digest: int
    updates: tuple[MemberRecord, ...] = ()
    loads: tuple[LoadReport, ...] = ()


class Probe(NamedTuple):
    """Request for a `ProbeAnswer`.

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
    """Question whether the receiver hears an instance.

    Parameters
    ----------
    sender : MemberRecord
        Record of the instance that asks.
    subject : str
        Name of the silent instance.
    """

    sender: MemberRecord
    subject: str


class QueryAnswer(NamedTuple):
    """Statement that the sender hears an instance.

    Parameters
    ----------
    subject : str
        Name of the instance.
    """

    subject: str


class TableRequest(NamedTuple):
    """Request for the whole member table.

    Parameters
    ----------
    sender : MemberRecord
        Record of the sender.
    """

    sender: MemberRecord


class TableAnswer(NamedTuple):
    """Whole or part of a member table.

    Parameters
    ----------
    records : tuple of MemberRecord
    """

    records: tuple[MemberRecord, ...]


MembershipMessage = (
    Heartbeat | Probe | ProbeAnswer | Query | QueryAnswer | TableRequest | TableAnswer
)


class Envelope(NamedTuple):
    """A message on its way to another instance.

    Parameters
    ----------
    name : str
        Name of the receiver; empty when only its address is known.
    address : str
        Control address of the receiver.
    message : MembershipMessage
    fresh : bool
        Whether the message needs a new connection, as the present one may be
        silent.
    """

    name: str
    address: str
    message: MembershipMessage
    fresh: bool = False
