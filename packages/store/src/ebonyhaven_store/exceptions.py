"""Errors of the platform client, each with the step and the peer."""

from __future__ import annotations

from ebonyhaven_store._rows import Row


class PlatformError(Exception):
    """An operation of the platform did not succeed.

    Parameters
    ----------
    step : str
        Operation that was tried, such as ``"table.transact"``.
    peer : str
        Address of the platform.
    reason : str
        What was seen.
    """

    def __init__(self, *, step: str, peer: str, reason: str):
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class Unavailable(PlatformError):
    """The operation was not done."""


class Throttled(Unavailable):
    """The operation was not done because the rate was exceeded.

    Parameters
    ----------
    retry_after_s : float
        Seconds after which the platform may accept it.
    """

    def __init__(self, *, step: str, peer: str, reason: str, retry_after_s: float):
        super().__init__(step=step, peer=peer, reason=reason)
        self.retry_after_s = retry_after_s


class Unconfirmed(PlatformError):
    """The write may have taken effect or may still take effect."""


class Conflict(PlatformError):
    """A condition of a transaction did not hold and nothing was written.

    Parameters
    ----------
    rows : tuple of Row
        Present state of the rows whose conditions failed; an absent row has
        version 0 and no value.
    """

    def __init__(self, *, step: str, peer: str, rows: tuple[Row, ...]):
        keys = ", ".join(row.key for row in rows)
        super().__init__(step=step, peer=peer, reason=f"changed rows: {keys}")
        self.rows = rows


class Rejected(PlatformError):
    """The platform refuses the operation as malformed; a retry cannot help."""
