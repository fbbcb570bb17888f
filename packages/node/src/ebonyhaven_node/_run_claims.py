"""Claim of one run, required before the dispatch of some requests."""

from __future__ import annotations

import time

from ebonyhaven_decisions import (
    ClaimDecision,
    OutcomeTag,
    RequestFailure,
    evaluate_claim,
    may_dispatch,
)

from ebonyhaven_node._claim_records import Claim, ClaimTimeout
from ebonyhaven_node._claims import ClaimStore
from ebonyhaven_node._driver_dependencies import RETRY_AFTER_S
from ebonyhaven_node._failures import make_failure
from ebonyhaven_node._requests import GenerationRequest

FIRST_FENCE = 1  # epoch of a new claim


class RunClaim:
    """Claim that limits a run to one first dispatch.

    It is required only if the request is not repeatable.

    Parameters
    ----------
    request : GenerationRequest
    claims : ClaimStore
    """

    __slots__ = ("_claim", "_claims", "_request")

    def __init__(self, *, request: GenerationRequest, claims: ClaimStore):
        self._request = request
        self._claims = claims
        self._claim: Claim | None = None

    @property
    def is_required(self) -> bool:
        """Whether the request must be claimed before it is dispatched."""
        return not self._request.repeatable

    @property
    def fence(self) -> int:
        """Fencing number of the attempts under this claim."""
        return FIRST_FENCE if self._claim is None else self._claim.row["epoch"]

    @property
    def server(self) -> str:
        """Name of the backend server in the claim; empty without a claim."""
        return "" if self._claim is None else self._claim.row["server"]

    @property
    def generation(self) -> str:
        """Generation in the claim; empty without a claim."""
        return "" if self._claim is None else self._claim.row["generation"]

    async def wait_available(self, deadline: float) -> None:
        """Wait until the table of claims is available.

        Parameters
        ----------
        deadline : float
            Monotonic time after which to give up, in seconds.

        Raises
        ------
        RequestFailure
            With ``not_run``, if the deadline passes.
        """
        try:
            await self._claims.wait_available(deadline)
        except ClaimTimeout as error:
            raise _make_not_recorded_failure(error) from error

    async def insert(self, *, generation: str, server: str, deadline: float) -> bool:
        """Claim the first dispatch of the run.

        Parameters
        ----------
        generation : str
            Generation to dispatch.
        server : str
            Backend server to dispatch to.
        deadline : float
            Monotonic time after which to give up, in seconds.

        Returns
        -------
        bool
            True if the run must be dispatched immediately; False if the run is
            already claimed and the request must be attached to that run.

        Raises
        ------
        RequestFailure
            With ``not_run``, if the claim is not written in time, the idempotency
            key was used with a different body, or the claim no longer allows the
            dispatch; the run must not be dispatched.
        ClaimUnavailable
            If the table is unavailable; the insert may be retried later.
        """
        try:
            self._claim = await self._claims.insert(
                self._request.run_id,
                generation=generation,
                server=server,
                digest=self._request.digest,
                deadline=deadline,
            )
        except ClaimTimeout as error:
            raise _make_not_recorded_failure(error) from error
        decision = evaluate_claim(
            self._claim.row,
            claimant=self._claims.claimant,
            digest=self._request.digest,
            inserted_by_submission=self._claim.is_acquired,
        )
        if decision is ClaimDecision.DIGEST_MISMATCH:
            reason = "the idempotency key was used with a different body"
            raise make_failure(OutcomeTag.NOT_RUN, "deduplicate", reason, status=409)
        if decision is ClaimDecision.ATTACH:
            return False
        await self._ensure_may_dispatch(self._claim, deadline)
        return True

    async def move(self, *, server: str, deadline: float) -> bool:
        """Move the claim to another backend server for a continuation.

        Parameters
        ----------
        server : str
            Backend server that is to continue the run.
        deadline : float
            Monotonic time after which to give up, in seconds.

        Returns
        -------
        bool
            False if another instance moved the claim first; the request must then
            be attached to the run of that instance.

        Raises
        ------
        RequestFailure
            With ``unknown``, if the table does not confirm in time or the claim
            does not exist.
        """
        try:
            self._claim = await self._claims.move(
                self._request.run_id,
                await self._read_claim(deadline),
                server=server,
                deadline=deadline,
            )
        except ClaimTimeout as error:
            raise make_failure(
                OutcomeTag.UNKNOWN,
                "claim",
                f"the claim could not be moved: {error}",
                peer="platform",
                retry_after_s=RETRY_AFTER_S,
            ) from error
        return self._claim.is_acquired

    async def withdraw(self) -> None:
        """Delete the claim, if there is one.

        Call this only if it is certain that nothing ran.
        """
        claim, self._claim = self._claim, None
        if claim is not None:
            await self._claims.withdraw(self._request.run_id, claim)

    async def _ensure_may_dispatch(self, claim: Claim, deadline: float) -> None:
        """Withdraw the claim and raise `RequestFailure` if it is no longer valid.

        That is after the deadline, or if the process was paused since the write.
        """
        if may_dispatch(
            write_sent_at=claim.write_sent_at,
            deadline=deadline,
            pause_ended_at=self._claims.pauses.find_pause_end(),
            now=time.monotonic(),
        ):
            return
        await self.withdraw()
        raise make_failure(
            OutcomeTag.NOT_RUN,
            "claim",
            "the claim was too old to be dispatched",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _read_claim(self, deadline: float) -> Claim:
        if self._claim is not None:
            return self._claim
        claim = await self._claims.read(self._request.run_id, deadline=deadline)
        if claim is None:
            raise make_failure(
                OutcomeTag.UNKNOWN, "claim", "the claim is gone", peer="platform"
            )
        return claim


def _make_not_recorded_failure(error: ClaimTimeout) -> RequestFailure:
    return make_failure(
        OutcomeTag.NOT_RUN,
        "claim",
        f"the request could not be recorded in time: {error}",
        peer="platform",
        retry_after_s=RETRY_AFTER_S,
    )
