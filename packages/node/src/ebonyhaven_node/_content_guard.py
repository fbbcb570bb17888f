"""Stopping a run whose content crashes engines."""

from __future__ import annotations

from ebonyhaven_decisions import CrashVerdict, OutcomeTag
from twisted.internet import task
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._crash_reports import CrashReports
from ebonyhaven_node._failures import make_failure
from ebonyhaven_node._servers import BackendServer

EVIDENCE_CHECK_S = 0.1


class ContentGuard:
    """Evidence against the content of one run.

    Parameters
    ----------
    content : str
        Digest of the request content.
    crashes : CrashReports
    reactor : IReactorTime
    """

    __slots__ = ("_content", "_crashes", "_reactor")

    def __init__(self, *, content: str, crashes: CrashReports, reactor: IReactorTime):
        self._content = content
        self._crashes = crashes
        self._reactor = reactor

    def record_death(self, server: BackendServer, *, progress_tokens: int) -> None:
        """Record the death of an engine that had the run.

        Parameters
        ----------
        server : BackendServer
        progress_tokens : int
            Tokens that the run had made there.
        """
        self._crashes.record_death(
            self._content, server=server, progress_tokens=progress_tokens
        )

    def is_suspect(self) -> bool:
        """Tell whether an engine has died while it ran this content."""
        return self._crashes.judge(self._content) is not CrashVerdict.CLEAR

    async def check(self, tag: OutcomeTag) -> None:
        """Wait until the evidence is in, then raise if the content is stopped.

        Parameters
        ----------
        tag : OutcomeTag
            What is told in that case.

        Raises
        ------
        RequestFailure
        """
        verdict = self._crashes.judge(self._content)
        while verdict is CrashVerdict.UNDECIDED:
            await task.deferLater(self._reactor, EVIDENCE_CHECK_S)
            verdict = self._crashes.judge(self._content)
        if verdict is CrashVerdict.STOPPED:
            reason = "backend servers crashed each time they ran this content"
            raise make_failure(tag, "crash_check", reason, status=422)
