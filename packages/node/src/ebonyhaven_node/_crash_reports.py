"""Evidence of request content that crashes engines, shared by gossip."""

from __future__ import annotations

import hashlib
import time
from typing import Protocol

import structlog
from ebonyhaven_decisions import (
    EVIDENCE_TTL_S,
    CrashEvidence,
    CrashLedger,
    CrashVerdict,
    GossipEntry,
    GossipTable,
)

from ebonyhaven_node._digests import Digest, TableDigest

DIGEST_CODE = "x"
PROCESS_ID_HEX_DIGITS = 8

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
    """

    def __init__(self, ledger: CrashLedger):
        self._ledger = ledger
        self._table = GossipTable(ttl_s=EVIDENCE_TTL_S)

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
        process = _format_process_id(server)
        now = time.monotonic()
        self._ledger.record_crash(
            content, server=process, progress_tokens=progress_tokens, now=now
        )
        evidence = self._ledger.read_evidence()[content][process]
        entry = GossipEntry(
            f"{content}{process}",
            int(time.time()),
            evidence.is_strong + evidence.is_tokenless,  # tokenless implies strong
        )
        self._table.merge(entry, now)

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
        return self._ledger.evaluate(content, now=time.monotonic())

    def make_digest(self) -> Digest:
        """Return the gossip digest of the evidence."""
        return TableDigest(
            code=DIGEST_CODE,
            table=self._table,
            clock=time.monotonic,
            on_merge=self._merge_entry,
        )

    def _merge_entry(self, entry: GossipEntry) -> None:
        content, process = (
            entry.key[:-PROCESS_ID_HEX_DIGITS],
            entry.key[-PROCESS_ID_HEX_DIGITS:],
        )
        age_s = max(0.0, time.time() - entry.version)
        evidence = CrashEvidence(
            process, age_s, is_strong=entry.value > 0, is_tokenless=entry.value > 1
        )
        self._ledger.merge([(content, evidence)], now=time.monotonic())
        _log.info(
            "crash_evidence_received",
            content=content,
            process=process,
            age_s=round(age_s, 3),
        )


def _format_process_id(server: ServerProcess) -> str:
    """Return a short identifier that changes when the process is replaced."""
    identity = f"{server.name}/{server.identity}".encode()
    return hashlib.sha256(identity).hexdigest()[:PROCESS_ID_HEX_DIGITS]
