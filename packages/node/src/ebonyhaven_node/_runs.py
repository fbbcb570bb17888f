"""Runs that this instance relays: their output so far, and who listens."""

from __future__ import annotations

import abc
import time
from collections.abc import Callable

import attrs
from ebonyhaven_decisions import OFFSET_BEFORE_FIRST_TOKEN, EventId, Outcome

from ebonyhaven_node._requests import GenerationRequest

FINISHED_RETENTION_S = 60.0
MAX_FINISHED_RUNS = 512


class Sink(abc.ABC):
    """Receives the output of a run for one caller's connection."""

    @abc.abstractmethod
    def handle_output(self) -> None:
        """Take new tokens of the run, or its end."""


@attrs.define(slots=True, kw_only=True, eq=False)
class Run:
    """One generation, from its acceptance to some time after its end.

    Parameters
    ----------
    request : GenerationRequest
        The request that it answers.
    generation : str
        Identity of the generation.
    texts : list of str
        Every token so far, from offset 0.
    segments : list of (int, str)
        Offset of the first token of each backend server, and its name.
    accepted_by : str
        Backend server that has the run while no token has come yet.
    finish_reason : str or None
        Set once the generation is complete.
    outcome : Outcome or None
        Set once the run has ended without completing.
    sinks : set of Sink
        Connections that the run is relayed to.
    abandoned : bool
        Whether it was stopped because its last caller had gone.
    ended_at : float or None
        Monotonic time of the end, seconds.
    on_detached : callable
        Called when the last sink has gone before the end.
    on_attached : callable
        Called when a sink is added.
    """

    request: GenerationRequest
    generation: str
    texts: list[str] = attrs.field(factory=list)
    segments: list[tuple[int, str]] = attrs.field(factory=list)
    accepted_by: str = ""
    finish_reason: str | None = None
    outcome: Outcome | None = None
    sinks: set[Sink] = attrs.field(factory=set)
    abandoned: bool = False
    ended_at: float | None = None
    on_detached: Callable[[], None] = lambda: None
    on_attached: Callable[[], None] = lambda: None

    @property
    def ended(self) -> bool:
        """Whether the run has completed or failed."""
        return self.ended_at is not None

    @property
    def server(self) -> str:
        """Name of the backend server that made the last token."""
        return self.segments[-1][1] if self.segments else ""

    def announce(self, server: str) -> None:
        """Tell the callers which backend server has accepted the run.

        Parameters
        ----------
        server : str
        """
        self.accepted_by = server
        self._notify()

    def append(self, texts: list[str], *, server: str) -> None:
        """Add tokens and pass them on.

        Parameters
        ----------
        texts : list of str
            Consecutive tokens that follow those held.
        server : str
            Backend server that made them.
        """
        if server != self.server:
            self.segments.append((len(self.texts), server))
        self.texts.extend(texts)
        self._notify()

    def complete(self, finish_reason: str) -> None:
        """End the run after its last token.

        Parameters
        ----------
        finish_reason : str
            Why the engine ended.
        """
        self.finish_reason = finish_reason
        self.ended_at = time.monotonic()
        self._notify()

    def fail(self, outcome: Outcome) -> None:
        """End the run without completion.

        Parameters
        ----------
        outcome : Outcome
            What its callers are told.
        """
        self.outcome = outcome
        self.ended_at = time.monotonic()
        self._notify()

    def contains_position(self, position: EventId) -> bool:
        """Tell whether a caller's position lies in this very generation.

        Parameters
        ----------
        position : EventId

        Returns
        -------
        bool
            False for another generation, and for a token that was made by a
            backend server which this run did not take it from. A caller that
            holds no token yet can be given any generation.
        """
        if position.offset == OFFSET_BEFORE_FIRST_TOKEN:
            return True
        if position.generation != self.generation:
            return False
        made_by = [name for first, name in self.segments if first <= position.offset]
        return bool(made_by) and made_by[-1] == position.server

    def attach(self, sink: Sink) -> None:
        """Relay the run to one more connection."""
        self.sinks.add(sink)
        self.on_attached()

    def detach(self, sink: Sink) -> None:
        """Stop relaying to a connection that has gone."""
        self.sinks.discard(sink)
        if not self.sinks and not self.ended:
            self.on_detached()

    def _notify(self) -> None:
        for sink in tuple(self.sinks):
            sink.handle_output()


class RunRegistry:
    """Runs by their identity, so that a resubmission finds its run."""

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}

    def find(self, run_id: str) -> Run | None:
        """Return the run of an identity, or None."""
        return self._runs.get(run_id)

    def add(self, run: Run) -> None:
        """Keep a run; it takes the place of an older one."""
        self._runs.pop(run.request.run_id, None)
        self._runs[run.request.run_id] = run
        self._drop_expired()

    def discard(self, run: Run) -> None:
        """Forget a run, unless another one has taken its place."""
        if self._runs.get(run.request.run_id) is run:
            del self._runs[run.request.run_id]

    def active(self) -> list[Run]:
        """Return the runs that have not ended."""
        return [run for run in self._runs.values() if not run.ended]

    def _drop_expired(self) -> None:
        now = time.monotonic()
        ended = [run for run in self._runs.values() if run.ended]
        surplus = len(ended) - MAX_FINISHED_RUNS
        for index, run in enumerate(ended):
            if index < surplus or now - run.ended_at > FINISHED_RETENTION_S:
                del self._runs[run.request.run_id]
