"""Evidence of request content that crashes engines, shared with other instances."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from typing import Any, Protocol

import structlog
from ebonyhaven_decisions import (
    CrashEvidence,
    CrashLedger,
    CrashVerdict,
    check_integer,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._evidence_exchange import EvidenceExchange
from ebonyhaven_node._frames import FrameKind
from ebonyhaven_node._membership import MembershipController

PROCESS_ID_HEX_DIGITS = 8
MAX_EXPORTED_EVIDENCE = 512  # a message of about 32 KB
MS_PER_S = 1000.0

_log = structlog.get_logger()


class ServerProcess(Protocol):
    """One process of a backend server.

    Attributes
    ----------
    name : str
    identity : str
        Changes when the backend server restarts.
    """

    @property
    def name(self) -> str: ...

    @property
    def identity(self) -> str: ...


class CrashReports:
    """Records engine crashes by request content and shares them with other instances.

    Parameters
    ----------
    ledger : CrashLedger
    clock : callable
        Returns seconds.
    """

    def __init__(
        self, ledger: CrashLedger, clock: Callable[[], float] = time.monotonic
    ):
        self._ledger = ledger
        self._clock = clock
        self._exchange: EvidenceExchange | None = None

    def connect(
        self,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
    ) -> None:
        """Start to share the evidence with other instances.

        Parameters
        ----------
        membership : MembershipController
        channels : Channels
        reactor : IReactorTime
        """
        self._exchange = EvidenceExchange(
            kind=FrameKind.CRASHES,
            membership=membership,
            channels=channels,
            reactor=reactor,
            export=self._export,
            merge=self._merge,
        )

    def stop(self) -> None:
        """Cancel scheduled messages."""
        if self._exchange is not None:
            self._exchange.stop()

    def record_crash(
        self, content: str, *, server: ServerProcess, progress_tokens: int
    ) -> None:
        """Record the crash of an engine that was running the content.

        Parameters
        ----------
        content : str
            Digest of the request content.
        server : ServerProcess
            The engine process that crashed.
        progress_tokens : int
            Tokens that the engine had generated for the run.
        """
        self._ledger.record_crash(
            content,
            server=_format_process_id(server),
            progress_tokens=progress_tokens,
            now=self._clock(),
        )
        if self._exchange is not None:
            self._exchange.publish(content)

    def evaluate(self, content: str) -> CrashVerdict:
        """Decide whether the content may run again.

        Parameters
        ----------
        content : str
            Digest of the request content.

        Returns
        -------
        CrashVerdict
        """
        return self._ledger.evaluate(content, now=self._clock())

    def _export(self, contents: list[str] | None) -> list[list[Any]]:
        """Return a list ``[content, process, age in ms, is strong, is tokenless]``."""
        evidence = self._ledger.export(now=self._clock(), limit=MAX_EXPORTED_EVIDENCE)
        return [
            [
                content,
                each.server,
                round(each.at * MS_PER_S),
                each.is_strong,
                each.is_tokenless,
            ]
            for content, each in evidence
            if contents is None or content in contents
        ]

    def _merge(self, sender: str, payload: Any) -> None:
        evidence = [_decode_evidence(*values) for values in payload]
        self._ledger.merge(evidence, now=self._clock())
        for content, each in evidence:
            _log.info(
                "crash_evidence_received",
                peer=sender,
                traits=[content],
                process=each.server,
                age_s=each.at,
            )


def _decode_evidence(
    content: Any, process: Any, age_ms: Any, is_strong: Any, is_tokenless: Any
) -> tuple[str, CrashEvidence]:
    if not isinstance(content, str) or not isinstance(process, str):
        raise ValueError("content and process must be strings")
    age_s = max(0, check_integer(age_ms)) / MS_PER_S
    return content, CrashEvidence(process, age_s, bool(is_strong), bool(is_tokenless))


def _format_process_id(server: ServerProcess) -> str:
    """Return a short identifier that changes when the process is replaced."""
    identity = f"{server.name}/{server.identity}".encode()
    return hashlib.sha256(identity).hexdigest()[:PROCESS_ID_HEX_DIGITS]
