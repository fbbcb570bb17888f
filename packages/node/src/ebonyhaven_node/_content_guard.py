"""Stops runs whose content crashes engines."""

from __future__ import annotations

from ebonyhaven_decisions import CrashVerdict, OutcomeTag
from twisted.internet import task
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._crash_reports import CrashReports
from ebonyhaven_node._failures import make_failure
from ebonyhaven_node._servers import BackendServer

EVIDENCE_POLL_INTERVAL_S = 0.1


class ContentGuard:
    """Checks the content of one run against the evidence of engine crashes.

    Parameters
    ----------
    content_digest : str
        Digest of the request content.
    crashes : CrashReports
    reactor : IReactorTime
    """

    __slots__ = ("_content_digest", "_crashes", "_reactor")

    def __init__(
        self, *, content_digest: str, crashes: CrashReports, reactor: IReactorTime
    ):
        self._content_digest = content_digest
        self._crashes = crashes
        self._reactor = reactor

    def record_crash(self, server: BackendServer, *, progress_tokens: int) -> None:
        """Record the crash of an engine that was executing the run.

        Parameters
        ----------
        server : BackendServer
        progress_tokens : int
            Tokens that the engine had generated for the run.
        """
        self._crashes.record_crash(
            self._content_digest, server=server, progress_tokens=progress_tokens
        )

    def is_suspect(self) -> bool:
        """Return whether an engine has crashed while it was running this content."""
        return self._crashes.evaluate(self._content_digest) is not CrashVerdict.CLEAR

    async def check(self, tag: OutcomeTag) -> None:
        """Wait until the evidence is conclusive; raise if the content must not run.

        Parameters
        ----------
        tag : OutcomeTag
            Tag of the outcome to raise.

        Raises
        ------
        RequestFailure
            If the content must not run again.
        """
        verdict = self._crashes.evaluate(self._content_digest)
        while verdict is CrashVerdict.UNDECIDED:
            await task.deferLater(self._reactor, EVIDENCE_POLL_INTERVAL_S)
            verdict = self._crashes.evaluate(self._content_digest)
        if verdict is CrashVerdict.STOPPED:
            reason = "backend servers crashed each time they ran this content"
            raise make_failure(tag, "crash_check", reason, status=422)
