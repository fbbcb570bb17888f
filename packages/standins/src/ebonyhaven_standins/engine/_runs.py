"""Runs of an engine: state, output and subscribers."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs

from ebonyhaven_standins.engine._tokens import BLOCK_CHARACTERS, CHARACTERS_PER_TOKEN

END_OF_STREAM = b"data: [DONE]\n\n"


class RunState(enum.Enum):
    """Stage in the lifecycle of a run."""

    WAITING = "waiting"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class Subscriber(Protocol):
    """Receives the output of a run on one connection."""

    def write(self, data: bytes) -> None:
        """Write bytes of the event stream."""

    def end(self) -> None:
        """End the stream."""


@attrs.define(slots=True, kw_only=True, eq=False)
class Run:
    """One run of a request on this engine.

    Parameters
    ----------
    run_id : str
    generation : str
    attempt : int
        Highest attempt number that started or attached to the run.
    digest : str
        Digest of the request.
    prompt : str
    max_tokens : int
        Length of the whole output, including ``prior_tokens``.
    priority : int
        Priority in the queue; 0 is the highest.
    origin : str
        Identifier of the first start; part of the text of every token.
    prior_tokens : tuple of str
        Texts of the output tokens that a continuation starts from.
    prefix_hashes : list of str
        Hashes of the prompt's prefixes, from the shortest to the longest.
    arrival_index : int
        Position in the order of arrival at the engine.
    state : RunState
    remaining_prefill_tokens : float
        Tokens still to be prefilled.
    planned_prefill_tokens : int
        Tokens to prefill in total: uncached prompt tokens and ``prior_tokens``.
    unlogged_prefill_tokens, unlogged_decoded_tokens : int
        Tokens computed since the last line in the execution log.
    unsubscribed_since : float or None
        Time in seconds since which the run has had no subscriber; None while it has
        one.
    ended_at : float or None
        Time in seconds at which the run finished.
    """

    run_id: str
    generation: str
    attempt: int
    digest: str
    prompt: str
    max_tokens: int
    priority: int
    origin: str
    prior_tokens: tuple[str, ...]
    prefix_hashes: list[str]
    arrival_index: int
    state: RunState = RunState.WAITING
    remaining_prefill_tokens: float = 0.0
    planned_prefill_tokens: int = 0
    unlogged_prefill_tokens: int = 0
    unlogged_decoded_tokens: int = 0
    unsubscribed_since: float | None = None
    ended_at: float | None = None
    _events: list[bytes] = attrs.field(init=False, factory=list)
    _subscribers: dict[Subscriber, int] = attrs.field(init=False, factory=dict)
    _event_prefix: bytes = attrs.field(init=False, default=b"")

    def __attrs_post_init__(self) -> None:
        self._event_prefix = (
            b'\ndata: {"id":"cmpl-%b","object":"text_completion",'
            b'"choices":[{"index":0,"text":"' % self.run_id.encode()
        )
        for text in self.prior_tokens:
            self._events.append(self._encode_event(text.encode(), b"null"))

    @property
    def offset(self) -> int:
        """Number of output tokens, including ``prior_tokens``."""
        return len(self._events) - (self.state is RunState.FINISHED)

    @property
    def has_ended(self) -> bool:
        """Whether the run has finished or was cancelled."""
        return self.state in (RunState.FINISHED, RunState.CANCELLED)

    @property
    def has_subscribers(self) -> bool:
        """Whether a connection is attached to the output."""
        return bool(self._subscribers)

    def plan_prefill(self, cached_blocks: int) -> None:
        """Enter the prefill stage and compute the number of tokens to prefill.

        Parameters
        ----------
        cached_blocks : int
            Number of leading prompt blocks in the cache.
        """
        uncached_characters = len(self.prompt) - cached_blocks * BLOCK_CHARACTERS
        self.planned_prefill_tokens = -(
            -uncached_characters // CHARACTERS_PER_TOKEN
        ) + len(self.prior_tokens)
        self.remaining_prefill_tokens = float(self.planned_prefill_tokens)
        self.state = RunState.PREFILLING

    def decode_token(self) -> None:
        """Generate the next token and publish it."""
        text = f"{self.origin}:{len(self._events)} ".encode()
        self._publish(self._encode_event(text, b"null"))
        self.unlogged_decoded_tokens += 1

    def finish(self) -> None:
        """Publish the finish event and end the streams of all subscribers."""
        self._publish(self._encode_event(b"", b'"length"'))
        self.state = RunState.FINISHED
        for subscriber in self._pop_subscribers():
            subscriber.write(END_OF_STREAM)
            subscriber.end()

    def cancel(self) -> None:
        """Stop the run and end all streams without a finish event."""
        self.state = RunState.CANCELLED
        for subscriber in self._pop_subscribers():
            subscriber.end()

    def attach(self, subscriber: Subscriber, offset: int) -> None:
        """Add a subscriber and send it the output from an offset.

        Parameters
        ----------
        subscriber : Subscriber
        offset : int
            First token to send; may lie beyond the tokens generated so far.
        """
        self.unsubscribed_since = None
        backlog = b"".join(self._events[offset:])
        if self.state is RunState.FINISHED:
            subscriber.write(backlog + END_OF_STREAM)
            subscriber.end()
            return
        if backlog:
            subscriber.write(backlog)
        self._subscribers[subscriber] = offset

    def detach(self, subscriber: Subscriber, now: float) -> None:
        """Remove a subscriber whose connection was lost.

        Parameters
        ----------
        subscriber : Subscriber
        now : float
            Current time, in seconds.
        """
        self._subscribers.pop(subscriber, None)
        if not self._subscribers:
            self.unsubscribed_since = now

    def pop_unlogged_counts(self) -> tuple[int, int]:
        """Return the prefilled and decoded tokens since the last call.

        Returns
        -------
        tuple of int and int
        """
        counts = (self.unlogged_prefill_tokens, self.unlogged_decoded_tokens)
        self.unlogged_prefill_tokens = self.unlogged_decoded_tokens = 0
        return counts

    def _publish(self, event: bytes) -> None:
        position = len(self._events)
        self._events.append(event)
        for subscriber, first in self._subscribers.items():
            if position >= first:
                subscriber.write(event)

    def _pop_subscribers(self) -> list[Subscriber]:
        subscribers = list(self._subscribers)
        self._subscribers.clear()
        return subscribers

    def _encode_event(self, text: bytes, finish_reason: bytes) -> bytes:
        return b'id: %d%b%b","finish_reason":%b}]}\n\n' % (
            len(self._events),
            self._event_prefix,
            text,
            finish_reason,
        )
