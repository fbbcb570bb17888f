"""The claim of one run, for requests that must not be repeated."""

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
from ebonyhaven_node._failures import make_failure
from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._run_parts import RETRY_AFTER_S

FIRST_EPOCH = 1


class RunClaim:
    """Claim of one run; does nothing for a request that may be repeated.

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
        """Whether the request must be claimed."""
        return not self._request.repeatable

    @property
    def fence(self) -> int:
        """Fence number of the attempts under this claim."""
        return FIRST_EPOCH if self._claim is None else self._claim.row["epoch"]

    @property
    def server(self) -> str:
        """Name of the backend server in the claim."""
        return "" if self._claim is None else self._claim.row["server"]

    @property
    def generation(self) -> str:
        """Generation in the claim."""
        return "" if self._claim is None else self._claim.row["generation"]

    async def wait_available(self, deadline: float) -> None:
        """Wait until a claim can be written.

        Parameters
        ----------
        deadline : float
            Monotonic time after which to give up, seconds.

        Raises
        ------
        RequestFailure
            Nothing was dispatched and nothing will be.
        """
        try:
            await self._claims.wait_available(deadline)
        except ClaimTimeout as error:
            raise _describe_unrecorded(error) from error

    async def insert(self, *, generation: str, server: str, deadline: float) -> bool:
        """Claim the fresh start.

        Parameters
        ----------
        generation, server : str
            What is about to be dispatched, and where.
        deadline : float
            Monotonic time after which to give up, seconds.

        Returns
        -------
        bool
            Whether to dispatch, at once; otherwise the run of the claim that
            stands is to be attached to.

        Raises
        ------
        RequestFailure
            Nothing was dispatched and nothing will be.
        ClaimUnavailable
            The table is out; the claim may be tried again later.
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
            raise _describe_unrecorded(error) from error
        verdict = evaluate_claim(
            self._claim.row,
            claimant=self._claims.claimant,
            digest=self._request.digest,
            inserted_by_submission=self._claim.own,
        )
        if verdict is ClaimDecision.DIGEST_MISMATCH:
            reason = "the idempotency key was used with a different body"
            raise make_failure(OutcomeTag.NOT_RUN, "deduplicate", reason, status=409)
        if verdict is ClaimDecision.ATTACH:
            return False
        await self._confirm(self._claim, deadline)
        return True

    async def move(self, *, server: str, deadline: float) -> bool:
        """Take the claim along to another server for a continuation.

        Parameters
        ----------
        server : str
        deadline : float
            Monotonic time after which to give up, seconds.

        Returns
        -------
        bool
            False if another instance was first; its run is to be attached to.

        Raises
        ------
        RequestFailure
        """
        try:
            self._claim = await self._claims.move(
                self._request.run_id,
                await self._read(deadline),
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
        return self._claim.own

    async def withdraw(self) -> None:
        """Give the claim back after the proof that nothing ran."""
        claim, self._claim = self._claim, None
        if claim is not None:
            await self._claims.withdraw(self._request.run_id, claim)

    async def _confirm(self, claim: Claim, deadline: float) -> None:
        if may_dispatch(
            write_sent_at=claim.write_sent_at,
            deadline=deadline,
            pause_ended_at=self._claims.pauses.find_wake(),
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

    async def _read(self, deadline: float) -> Claim:
        if self._claim is not None:
            return self._claim
        claim = await self._claims.read(self._request.run_id, deadline=deadline)
        if claim is None:
            raise make_failure(
                OutcomeTag.UNKNOWN, "claim", "the claim is gone", peer="platform"
            )
        return claim


def _describe_unrecorded(error: ClaimTimeout) -> RequestFailure:
    return make_failure(
        OutcomeTag.NOT_RUN,
        "claim",
        f"the request could not be recorded in time: {error}",
        peer="platform",
        retry_after_s=RETRY_AFTER_S,
    )
