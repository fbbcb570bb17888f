"""Exceptions of the platform clients."""

from __future__ import annotations

from ebonyhaven_store._rows import Row


class PlatformError(Exception):
    """An operation on the platform failed.

    Parameters
    ----------
    step : str
        Name of the operation, such as ``"table.transact"``.
    peer : str
        ``IP:PORT`` of the platform.
    reason : str
        Cause of the failure, such as an HTTP status or the error of the connection.
    """

    def __init__(self, *, step: str, peer: str, reason: str):
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class Unavailable(PlatformError):
    """The operation had no effect; a retry may succeed."""


class Throttled(Unavailable):
    """The platform's rate limit was exceeded; the operation had no effect.

    Parameters
    ----------
    retry_after_s : float
        Delay in seconds after which the platform may accept the operation.
    """

    def __init__(self, *, step: str, peer: str, reason: str, retry_after_s: float):
        super().__init__(step=step, peer=peer, reason=reason)
        self.retry_after_s = retry_after_s


class Unconfirmed(PlatformError):
    """The write may have been applied or may still be applied."""


class Conflict(PlatformError):
    """A condition of a transaction did not hold; nothing was written.

    Parameters
    ----------
    rows : tuple of Row
        Current state of the rows whose conditions failed; a row that does not
        exist has version 0 and the value None.
    """

    def __init__(self, *, step: str, peer: str, rows: tuple[Row, ...]):
        keys = ", ".join(row.key for row in rows)
        super().__init__(step=step, peer=peer, reason=f"changed rows: {keys}")
        self.rows = rows


class Rejected(PlatformError):
    """The platform rejected the operation as invalid; retries fail as well."""
