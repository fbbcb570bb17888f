"""Knowledge of runs' copies that survives the loss of their instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import (
    RunCopyIndex,
    RunCopyLocation,
    choose_index_instances,
)
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController

PLACE_LIFE_S = 30.0  # longer than a generation takes
ANSWER_TIMEOUT_S = 0.05  # instances answer within some milliseconds

_log = structlog.get_logger()


class SharedCopyIndex:
    """Tells some other instances where copies of runs are, and asks them.

    Works alone until it is connected.

    Parameters
    ----------
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(self, reactor: IReactorTime, clock: Callable[[], float]):
        self._reactor = reactor
        self._clock = clock
        self._places = RunCopyIndex(PLACE_LIFE_S)
        self._membership: MembershipController | None = None
        self._questions: dict[str, list[Deferred]] = {}

    def connect(self, membership: MembershipController, channels: Channels) -> None:
        """Tell and ask other instances from now on.

        Parameters
        ----------
        membership : MembershipController
        channels : Channels
        """
        self._membership = membership
        channels.subscribe(FrameKind.RUN_PLACE, self._take)
        channels.subscribe(FrameKind.RUN_PLACE_REQUEST, self._answer)
        channels.subscribe(FrameKind.RUN_PLACE_ANSWER, self._take)

    def tell(self, key: str, place: RunCopyLocation | None) -> None:
        """Let the keepers of a run know where its copy is.

        Parameters
        ----------
        key : str
            See `ForwardRequest.run_key`.
        place : RunCopyLocation or None
            None when there is none any more.
        """
        self._places.record(key, place, self._clock())
        for name in self._choose_keepers(key):
            self._membership.send(name, FrameKind.RUN_PLACE, [key, place])

    def forget(self, key: str) -> None:
        """Drop what this instance knows of a run.

        Others are not told, which would cost half as much again as telling them of
        the copy: an engine refuses to go on from a copy that it has no more.

        Parameters
        ----------
        key : str
        """
        self._places.record(key, None, self._clock())

    async def find(self, key: str) -> RunCopyLocation | None:
        """Return where the copy of a run is, asking others if need be.

        Parameters
        ----------
        key : str

        Returns
        -------
        RunCopyLocation or None
            None when nobody answers in time that there is one.
        """
        known = self._places.find(key, self._clock())
        keepers = self._choose_keepers(key)
        if known is not None or not keepers:
            return known
        answer: Deferred = Deferred()
        waiting = self._questions.setdefault(key, [])
        waiting.append(answer)
        timer = self._reactor.callLater(ANSWER_TIMEOUT_S, self._give_up, answer)
        for name in keepers:
            self._membership.send(name, FrameKind.RUN_PLACE_REQUEST, key)
        try:
            return await answer
        finally:
            if timer.active():
                timer.cancel()
            waiting.remove(answer)
            if not waiting:
                self._questions.pop(key, None)

    def _give_up(self, answer: Deferred) -> None:
        if not answer.called:
            answer.callback(None)

    def _choose_keepers(self, key: str) -> list[str]:
        if self._membership is None:
            return []
        own = self._membership.own.name
        names = [
            record.name
            for record in self._membership.members
            if record.state != MemberState.DEAD
        ]
        return [name for name in choose_index_instances(key, names) if name != own]

    def _answer(self, frame: Frame) -> None:
        key = frame.payload
        place = self._places.find(key, self._clock()) if isinstance(key, str) else None
        if place is not None:
            answer = [key, place]
            self._membership.send(frame.sender, FrameKind.RUN_PLACE_ANSWER, answer)

    def _take(self, frame: Frame) -> None:
        try:
            key, place = _parse_place(frame.payload)
        except (TypeError, ValueError) as error:
            _log.warning("run_place_malformed", peer=frame.sender, reason=str(error))
            return
        self._places.record(key, place, self._clock())
        for answer in list(self._questions.get(key, ())):
            if place is not None and not answer.called:
                answer.callback(place)


def _parse_place(payload: Any) -> tuple[str, RunCopyLocation | None]:
    key, values = payload
    if values is None:
        return str(key), None
    holder_id, address, handle = values
    return str(key), RunCopyLocation(str(holder_id), str(address), str(handle))
