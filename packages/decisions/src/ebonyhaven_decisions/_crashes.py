"""Requests that make engines crash: who is to blame, and when to stop.

An engine that dies takes its whole batch with it, so one death alone blames
nobody. Evidence is kept per request content, so it outlives a resubmission
under a new idempotency key. A death is *strong* evidence when the attempt had
made little progress: a content that crashes engines does so again soon after it
is continued, while an innocent neighbour makes progress on its next engine. A
neighbour that follows the guilty content to its next engine dies there early as
well; it is told apart by the death before: where some content had no token yet, that
death does not count against contents that had.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

STRONG_PROGRESS_TOKENS = 32
MAX_DEATHS = 2
MAX_WEAK_DEATHS = 4
EVIDENCE_TTL_S = 600.0
EVIDENCE_WAIT_S = 1.5
MAX_CONTENTS = 4096
SAME_DEATH_S = 30.0


class CrashVerdict(enum.Enum):
    """What may be done with a request content.

    ``UNDECIDED`` lasts for `EVIDENCE_WAIT_S` after a death at which the content had
    tokens: another instance may be about to tell of one that had none.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    UNDECIDED = "undecided"
    STOPPED = "stopped"


class CrashEvidence(NamedTuple):
    """One engine death seen by a run of a content.

    Parameters
    ----------
    server : str
        Backend server that died.
    at : float
        Time of the death, seconds on the reader's clock.
    strong : bool
        Whether the attempt had made little progress.
    idle : bool
        Whether the attempt had made no token.
    """

    server: str
    at: float
    strong: bool
    idle: bool = False


class CrashLedger:
    """Evidence against request contents, bounded in size and age.

    Parameters
    ----------
    max_deaths : int
        Deaths that stop a content when the last of them is strong.
    max_weak_deaths : int
        Deaths that stop a content in any case.
    """

    __slots__ = ("_evidence", "_idle_deaths", "_max_deaths", "_max_weak_deaths")

    def __init__(
        self, *, max_deaths: int = MAX_DEATHS, max_weak_deaths: int = MAX_WEAK_DEATHS
    ) -> None:
        self._max_deaths = max_deaths
        self._max_weak_deaths = max_weak_deaths
        self._idle_deaths: dict[str, float] = {}
        self._evidence: dict[str, dict[str, CrashEvidence]] = {}

    def record_death(
        self, content: str, *, server: str, progress_tokens: int, now: float
    ) -> None:
        """Add the death of an engine that was running a content.

        Parameters
        ----------
        content : str
            Digest of the request content.
        server : str
            Backend server that died.
        progress_tokens : int
            Tokens that the attempt had produced on that server.
        now : float
            Present time, seconds.
        """
        strong = progress_tokens < STRONG_PROGRESS_TOKENS
        self._add(content, CrashEvidence(server, now, strong, progress_tokens == 0))

    def judge(self, content: str, *, now: float) -> CrashVerdict:
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
        counted = [item for item in evidence if self._counts(item)]
        if len(counted) >= self._max_deaths and last.strong:
            certain = all(item.idle for item in counted)
            if certain or now - last.at >= EVIDENCE_WAIT_S:
                return CrashVerdict.STOPPED
            return CrashVerdict.UNDECIDED
        if len(evidence) >= self._max_weak_deaths:
            return CrashVerdict.STOPPED
        return CrashVerdict.SUSPECT

    def export(self, *, now: float, limit: int) -> list[tuple[str, CrashEvidence]]:
        """Return the newest evidence for other instances.

        Parameters
        ----------
        now : float
            Present time, seconds; ``at`` in the result is an age instead.
        limit : int
            Largest number of entries.

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
        """Take evidence of another instance into account.

        Parameters
        ----------
        entries : iterable of (str, CrashEvidence)
            As returned by `export` of another instance.
        now : float
            Present time, seconds.
        """
        for content, item in entries:
            self._add(content, item._replace(at=now - item.at))

    def view(self) -> Mapping[str, Mapping[str, CrashEvidence]]:
        """Return all evidence by content and backend server."""
        return self._evidence

    def _counts(self, item: CrashEvidence) -> bool:
        """Tell whether no other content is likelier to have caused a death."""
        if item.idle:
            return True
        idle_at = self._idle_deaths.get(item.server)
        return idle_at is None or abs(item.at - idle_at) > SAME_DEATH_S

    def _add(self, content: str, item: CrashEvidence) -> None:
        """Keep the first report of each death, and drop the oldest content."""
        if item.idle:
            self._idle_deaths.pop(item.server, None)
            self._idle_deaths[item.server] = item.at
        if len(self._idle_deaths) > MAX_CONTENTS:
            self._idle_deaths.pop(next(iter(self._idle_deaths)))
        items = self._evidence.setdefault(content, {})
        known = items.get(item.server)
        if known is None or item.at - known.at > EVIDENCE_TTL_S:
            items[item.server] = item
        if len(self._evidence) > MAX_CONTENTS:
            self._evidence.pop(next(iter(self._evidence)))
