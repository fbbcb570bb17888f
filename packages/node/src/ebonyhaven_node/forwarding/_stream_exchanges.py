"""Questions to the replicas of a stream's entry, and records sent to them."""

from __future__ import annotations

from typing import NamedTuple

from twisted.internet.defer import Deferred

from ebonyhaven_node.forwarding._stream_messages import StreamQuestion


class StreamQuery:
    """Question to the replicas of an entry.

    Parameters
    ----------
    question : StreamQuestion
    replicas : iterable of str
        Names of the instances that are asked.

    Attributes
    ----------
    unanswered : set of str
        Names of the instances that have not answered.
    result : Deferred
        Fired when a record is found, when all have answered, or by a timer.
    """

    def __init__(self, question: StreamQuestion, replicas: list[str]):
        self.question = question
        self.unanswered = set(replicas)
        self.result: Deferred = Deferred()

    def end(self) -> None:
        """Stop to wait for answers."""
        if not self.result.called:
            self.result.callback(None)


class RecordReceiver(NamedTuple):
    """Instance that was sent a record, and whether it was to write it to the store."""

    name: str
    incarnation: int
    is_recorder: bool


class PublishedRecord(NamedTuple):
    """When this instance published a record, and who was sent it.

    Parameters
    ----------
    published_at : float
        Seconds.
    receivers : set of RecordReceiver
    """

    published_at: float
    receivers: set[RecordReceiver]
