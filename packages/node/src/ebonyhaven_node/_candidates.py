"""Open engine streams of one run, of which the first to deliver is kept."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from ebonyhaven_node._engines import EngineStream
from ebonyhaven_node._events import Token
from ebonyhaven_node._orphans import OrphanCanceller
from ebonyhaven_node._runs import Run
from ebonyhaven_node._scheduling import Slot
from ebonyhaven_node._servers import BackendServer


@attrs.define(slots=True, kw_only=True, eq=False)
class Candidate:
    """One open engine stream of a run.

    Parameters
    ----------
    stream : EngineStream
    slot : Slot
    attempt : int
        Number of the attempt at the engine.
    """

    stream: EngineStream
    slot: Slot
    attempt: int


class CandidateSet:
    """The open streams of one run.

    Parameters
    ----------
    run : Run
    orphans : OrphanCanceller
        Cancels what is given up.

    Attributes
    ----------
    primary : BackendServer or None
        Where the run was last known to be.
    primary_since : int
        Number of tokens of the run when it came there.
    """

    __slots__ = ("_candidates", "_orphans", "_run", "primary", "primary_since")

    def __init__(self, *, run: Run, orphans: OrphanCanceller):
        self._run = run
        self._orphans = orphans
        self._candidates: list[Candidate] = []
        self.primary: BackendServer | None = None
        self.primary_since = 0

    def __bool__(self) -> bool:
        return bool(self._candidates)

    def add(self, candidate: Candidate) -> None:
        """Add a stream that was just opened.

        Parameters
        ----------
        candidate : Candidate
        """
        self._candidates.append(candidate)
        if not self._run.texts:
            self._run.announce(candidate.stream.server.name)
        if self.primary is None or len(self._candidates) == 1:
            self._set_primary(candidate)

    def find(self, stream: EngineStream) -> Candidate | None:
        """Return the candidate of a stream; None if it was given up."""
        for candidate in self._candidates:
            if candidate.stream is stream:
                return candidate
        return None

    def promote(self, winner: Candidate) -> None:
        """Keep the stream that delivered first and give the others up.

        Parameters
        ----------
        winner : Candidate
        """
        for candidate in list(self._candidates):
            if candidate is winner:
                continue
            self.drop(candidate)
            if candidate.stream.server is not winner.stream.server:
                self.cancel(candidate)
        self._set_primary(winner)

    def drop(self, candidate: Candidate) -> None:
        """Close a stream without cancelling the run behind it.

        Parameters
        ----------
        candidate : Candidate
        """
        if candidate in self._candidates:
            self._candidates.remove(candidate)
        candidate.stream.close()
        candidate.slot.release()

    def drop_all(self, *, cancel: bool) -> None:
        """Close all streams.

        Parameters
        ----------
        cancel : bool
            Whether to cancel the run behind each as well.
        """
        for candidate in list(self._candidates):
            self.drop(candidate)
            if cancel:
                self.cancel(candidate)

    def cancel(self, candidate: Candidate) -> None:
        """Cancel the run behind a stream in the background.

        Parameters
        ----------
        candidate : Candidate
        """
        run_id = self._run.request.run_id
        self._orphans.cancel(candidate.stream.server, run_id, candidate.attempt)

    def select_fresh(self, tokens: Sequence[Token]) -> Sequence[Token]:
        """Leave out tokens that another stream has delivered already.

        Parameters
        ----------
        tokens : sequence of Token

        Returns
        -------
        sequence of Token
        """
        length = len(self._run.texts)
        if not tokens or tokens[0].offset == length:
            return tokens
        return [token for token in tokens if token.offset >= length]

    def _set_primary(self, candidate: Candidate) -> None:
        server = candidate.stream.server
        if server is not self.primary:
            self.primary_since = len(self._run.texts)
        self.primary = server
