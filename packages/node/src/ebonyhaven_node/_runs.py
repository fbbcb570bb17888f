"""Runs that this instance relays, with their output and their connections."""

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
        """Handle an acceptance, new tokens or the end of the run."""


@attrs.define(slots=True, kw_only=True, eq=False)
class Run:
    """A run that this instance relays or has relayed recently.

    Parameters
    ----------
    request : GenerationRequest
        Request that started the run.
    generation : str
        Identity of the generation.
    texts : list of str
        Texts of all tokens so far, from offset 0.
    segments : list of (int, str)
        Consecutive sections of the output by backend server: offset of the first
        token, and name of the server that generated it.
    accepted_by : str
        Backend server that accepted the run last before its first token.
    finish_reason : str or None
        Set when the run completes.
    outcome : Outcome or None
        Set when the run fails.
    sinks : set of Sink
        Connections that the run is relayed to.
    abandoned : bool
        Whether the run was stopped because its last caller had disconnected.
    ended_at : float or None
        Monotonic time of the end, seconds.
    on_detached : callable
        Called when the last sink is removed before the end of the run.
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
        """Name of the backend server that generated the last token, or empty."""
        return self.segments[-1][1] if self.segments else ""

    def record_acceptance(self, server: str) -> None:
        """Record the backend server that has accepted the run; notify the sinks.

        Parameters
        ----------
        server : str
        """
        self.accepted_by = server
        self._notify()

    def append(self, texts: list[str], *, server: str) -> None:
        """Append tokens and notify the sinks.

        Parameters
        ----------
        texts : list of str
            Texts of the tokens that follow those in `texts`.
        server : str
            Backend server that generated them.
        """
        if server != self.server:
            self.segments.append((len(self.texts), server))
        self.texts.extend(texts)
        self._notify()

    def complete(self, finish_reason: str) -> None:
        """End the run after its last token and notify the sinks.

        Parameters
        ----------
        finish_reason : str
            Finish reason that the engine reported.
        """
        self.finish_reason = finish_reason
        self.ended_at = time.monotonic()
        self._notify()

    def fail(self, outcome: Outcome) -> None:
        """End the run as failed and notify the sinks.

        Parameters
        ----------
        outcome : Outcome
            Outcome that is reported to the callers.
        """
        self.outcome = outcome
        self.ended_at = time.monotonic()
        self._notify()

    def contains_position(self, position: EventId) -> bool:
        """Return whether the run can be relayed from a caller's position on.

        Parameters
        ----------
        position : EventId

        Returns
        -------
        bool
            False if the position belongs to another generation, or if this run
            has the token from another backend server. True for any generation if
            the caller has not received a token yet.
        """
        if position.offset == OFFSET_BEFORE_FIRST_TOKEN:
            return True
        if position.generation != self.generation:
            return False
        servers = [name for first, name in self.segments if first <= position.offset]
        return bool(servers) and servers[-1] == position.server

    def attach(self, sink: Sink) -> None:
        """Start relaying the run to a connection."""
        self.sinks.add(sink)
        self.on_attached()

    def detach(self, sink: Sink) -> None:
        """Stop relaying the run to a connection."""
        self.sinks.discard(sink)
        if not self.sinks and not self.ended:
            self.on_detached()

    def _notify(self) -> None:
        for sink in tuple(self.sinks):
            sink.handle_output()


class RunRegistry:
    """Runs by their id, so that a resubmitted request is attached to its run."""

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}

    def find(self, run_id: str) -> Run | None:
        """Return the run with an id, or None."""
        return self._runs.get(run_id)

    def add(self, run: Run) -> None:
        """Add a run and replace an earlier run with the same id."""
        self._runs.pop(run.request.run_id, None)
        self._runs[run.request.run_id] = run
        self._drop_expired()

    def discard(self, run: Run) -> None:
        """Remove a run unless it has been replaced."""
        if self._runs.get(run.request.run_id) is run:
            del self._runs[run.request.run_id]

    def list_active(self) -> list[Run]:
        """Return the runs that have not ended."""
        return [run for run in self._runs.values() if not run.ended]

    def _drop_expired(self) -> None:
        now = time.monotonic()
        ended = [run for run in self._runs.values() if run.ended]
        surplus = len(ended) - MAX_FINISHED_RUNS
        for index, run in enumerate(ended):
            if index < surplus or now - run.ended_at > FINISHED_RETENTION_S:
                del self._runs[run.request.run_id]
