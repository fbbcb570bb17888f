"""Open engine streams of a run; the first one to deliver a token is kept."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from ebonyhaven_node._engine_streams import EngineStream
from ebonyhaven_node._events import Token
from ebonyhaven_node._orphans import OrphanCanceller
from ebonyhaven_node._runs import Run
from ebonyhaven_node._scheduling import Slot
from ebonyhaven_node._servers import BackendServer


@attrs.define(slots=True, kw_only=True, eq=False)
class Candidate:
    """An open engine stream of a run.

    Parameters
    ----------
    stream : EngineStream
    slot : Slot
    attempt : int
        Number of the attempt that the stream belongs to.
    """

    stream: EngineStream
    slot: Slot
    attempt: int


class CandidateSet:
    """Open engine streams of a run.

    Parameters
    ----------
    run : Run
    orphans : OrphanCanceller
        Cancels attempts whose streams are dropped.

    Attributes
    ----------
    primary : BackendServer or None
        Backend server that is expected to execute the run: that of the last stream
        promoted, or opened while no other stream was open.
    primary_first_offset : int
        Offset of the first token relayed from the primary server.
    """

    __slots__ = ("_candidates", "_orphans", "_run", "primary", "primary_first_offset")

    def __init__(self, *, run: Run, orphans: OrphanCanceller):
        self._run = run
        self._orphans = orphans
        self._candidates: list[Candidate] = []
        self.primary: BackendServer | None = None
        self.primary_first_offset = 0

    def __bool__(self) -> bool:
        return bool(self._candidates)

    def add(self, candidate: Candidate) -> None:
        """Add a newly opened stream.

        Parameters
        ----------
        candidate : Candidate
        """
        self._candidates.append(candidate)
        if not self._run.texts:
            self._run.record_acceptance(candidate.stream.server.name)
        if self.primary is None or len(self._candidates) == 1:
            self._set_primary(candidate)

    def find(self, stream: EngineStream) -> Candidate | None:
        """Return the candidate of a stream, or None if it was dropped."""
        for candidate in self._candidates:
            if candidate.stream is stream:
                return candidate
        return None

    def promote(self, winner: Candidate) -> None:
        """Keep the stream that delivered the next token and drop the others.

        Attempts on other servers are cancelled.

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
        """Close a stream and release its slot, without cancelling its attempt.

        Parameters
        ----------
        candidate : Candidate
        """
        if candidate in self._candidates:
            self._candidates.remove(candidate)
        candidate.stream.close()
        candidate.slot.release()

    def drop_all(self, *, cancel: bool) -> None:
        """Drop all streams.

        Parameters
        ----------
        cancel : bool
            Whether to cancel their attempts as well.
        """
        for candidate in list(self._candidates):
            self.drop(candidate)
            if cancel:
                self.cancel(candidate)

    def cancel(self, candidate: Candidate) -> None:
        """Cancel the attempt of a stream in the background.

        Parameters
        ----------
        candidate : Candidate
        """
        run_id = self._run.request.run_id
        self._orphans.cancel(candidate.stream.server, run_id, candidate.attempt)

    def select_new_tokens(self, tokens: Sequence[Token]) -> Sequence[Token]:
        """Return the tokens that the run does not have yet.

        Parameters
        ----------
        tokens : sequence of Token
            Consecutive tokens.

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
            self.primary_first_offset = len(self._run.texts)
        self.primary = server
