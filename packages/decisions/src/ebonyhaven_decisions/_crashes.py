"""Detection of request contents that crash engines.

A crash fails the whole batch of an engine, so a single crash does not identify the
content that caused it. Evidence is recorded by request content, so that it also
applies to a resubmission under a new idempotency key. A crash is *strong* evidence
if the attempt had made little progress: a content that crashes engines does so again
soon after it is continued, while other contents of the batch make progress on their
next engine.

A harmless content that is continued on the same engine as the crashing one also
fails early. A crash is therefore not counted against contents that had produced
tokens if another content in the batch had produced none.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

STRONG_EVIDENCE_LIMIT_TOKENS = 32  # fewer tokens make a crash strong evidence
MAX_CRASHES = 2
MAX_WEAK_CRASHES = 4
EVIDENCE_TTL_S = 600.0
EVIDENCE_WAIT_S = 1.5
MAX_CONTENTS = 4096
# Reports about a server within this time refer to the same crash.
SAME_CRASH_WINDOW_S = 30.0


class CrashVerdict(enum.Enum):
    """Decision about a request content.

    ``CLEAR`` means that there is no evidence, ``SUSPECT`` that there is too little to
    block the content, and ``STOPPED`` that the content is blocked.

    ``UNDECIDED`` lasts for up to `EVIDENCE_WAIT_S` after the last crash if the content
    had produced tokens at one of the counted crashes: until then, another instance
    may report that the same crash affected a content without any token.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    UNDECIDED = "undecided"
    STOPPED = "stopped"


class CrashEvidence(NamedTuple):
    """Crash of an engine that was running a content.

    Parameters
    ----------
    server : str
        Backend server that crashed.
    at : float
        Time of the crash on the clock of this instance, seconds.
    is_strong : bool
        Whether the attempt had made little progress.
    is_tokenless : bool
        Whether the attempt had produced no token.
    """

    server: str
    at: float
    is_strong: bool
    is_tokenless: bool = False


class CrashLedger:
    """Evidence by request content, limited by age and number of contents.

    Parameters
    ----------
    max_crashes : int
        Number of counted crashes that block a content if the last one is strong
        evidence.
    max_weak_crashes : int
        Number of crashes, weak or strong evidence, that block a content in any case.
    """

    __slots__ = ("_evidence", "_max_crashes", "_max_weak_crashes", "_tokenless_crashes")

    def __init__(
        self,
        *,
        max_crashes: int = MAX_CRASHES,
        max_weak_crashes: int = MAX_WEAK_CRASHES,
    ) -> None:
        self._max_crashes = max_crashes
        self._max_weak_crashes = max_weak_crashes
        self._tokenless_crashes: dict[str, float] = {}
        self._evidence: dict[str, dict[str, CrashEvidence]] = {}

    def record_crash(
        self, content: str, *, server: str, progress_tokens: int, now: float
    ) -> None:
        """Record the crash of an engine that was running a content.

        Parameters
        ----------
        content : str
            Digest of the request content.
        server : str
            Backend server that crashed.
        progress_tokens : int
            Tokens that the attempt had produced on that server.
        now : float
            Present time, seconds.
        """
        is_strong = progress_tokens < STRONG_EVIDENCE_LIMIT_TOKENS
        self._add(content, CrashEvidence(server, now, is_strong, progress_tokens == 0))

    def evaluate(self, content: str, *, now: float) -> CrashVerdict:
        """Decide whether a content may run again.

        Parameters
        ----------
        content : str
            Digest of the request content.
        now : float
            Present time, seconds.

        Returns
        -------
        CrashVerdict
        """
        evidence = [
            item
            for item in self._evidence.get(content, {}).values()
            if now - item.at < EVIDENCE_TTL_S
        ]
        if not evidence:
            return CrashVerdict.CLEAR
        last = max(evidence, key=lambda item: item.at)
        counted = [item for item in evidence if self._is_counted(item)]
        if len(counted) >= self._max_crashes and last.is_strong:
            is_certain = all(item.is_tokenless for item in counted)
            if is_certain or now - last.at >= EVIDENCE_WAIT_S:
                return CrashVerdict.STOPPED
            return CrashVerdict.UNDECIDED
        if len(evidence) >= self._max_weak_crashes:
            return CrashVerdict.STOPPED
        return CrashVerdict.SUSPECT

    def export(self, *, now: float, limit: int) -> list[tuple[str, CrashEvidence]]:
        """Return the newest evidence for other instances.

        Parameters
        ----------
        now : float
            Present time, seconds.
        limit : int
            Maximum number of entries.

        Returns
        -------
        list of (str, CrashEvidence)
            Content digest and evidence, ``at`` being its age in seconds.
        """
        entries = [
            (content, item._replace(at=now - item.at))
            for content, items in self._evidence.items()
            for item in items.values()
            if now - item.at < EVIDENCE_TTL_S
        ]
        entries.sort(key=lambda entry: entry[1].at)
        return entries[:limit]

    def merge(
        self, entries: Iterable[tuple[str, CrashEvidence]], *, now: float
    ) -> None:
        """Add the evidence of another instance.

        Parameters
        ----------
        entries : iterable of (str, CrashEvidence)
            Result of `export` on the other instance.
        now : float
            Present time, seconds.
        """
        for content, item in entries:
            self._add(content, item._replace(at=now - item.at))

    def read_evidence(self) -> Mapping[str, Mapping[str, CrashEvidence]]:
        """Return all evidence by content and backend server."""
        return self._evidence

    def _is_counted(self, item: CrashEvidence) -> bool:
        """Return False if the content had tokens and another in the batch had none."""
        if item.is_tokenless:
            return True
        tokenless_at = self._tokenless_crashes.get(item.server)
        return tokenless_at is None or abs(item.at - tokenless_at) > SAME_CRASH_WINDOW_S

    def _add(self, content: str, item: CrashEvidence) -> None:
        """Store a crash; evict the oldest content if the ledger is full.

        Further crashes of the same server within `EVIDENCE_TTL_S` are ignored: they
        may be reports of the same crash by other instances.
        """
        if item.is_tokenless:
            self._tokenless_crashes.pop(item.server, None)
            self._tokenless_crashes[item.server] = item.at
        if len(self._tokenless_crashes) > MAX_CONTENTS:
            self._tokenless_crashes.pop(next(iter(self._tokenless_crashes)))
        items = self._evidence.setdefault(content, {})
        known = items.get(item.server)
        if known is None or item.at - known.at > EVIDENCE_TTL_S:
            items[item.server] = item
        if len(self._evidence) > MAX_CONTENTS:
            self._evidence.pop(next(iter(self._evidence)))
