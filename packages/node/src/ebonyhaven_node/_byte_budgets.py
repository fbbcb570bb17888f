"""Budget for bytes that are kept in memory at the same time."""

from __future__ import annotations


class ByteBudget:
    """Bounds the sum of what many holders keep.

    Parameters
    ----------
    limit_bytes : int

    Attributes
    ----------
    used_bytes : int
    """

    __slots__ = ("_limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self.used_bytes = 0

    def open_share(self) -> ByteShare:
        """Return an empty share of the budget."""
        return ByteShare(self)

    def acquire(self, size_bytes: int) -> bool:
        """Take bytes from the budget; return False, and take none, if it is spent.

        Parameters
        ----------
        size_bytes : int
        """
        if self.used_bytes + size_bytes > self._limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Return bytes to the budget.

        Parameters
        ----------
        size_bytes : int
        """
        self.used_bytes -= size_bytes


class ByteShare:
    """What one holder keeps of a budget.

    Parameters
    ----------
    budget : ByteBudget

    Attributes
    ----------
    size_bytes : int
    """

    __slots__ = ("_budget", "size_bytes")

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self.size_bytes = 0

    def grow(self, size_bytes: int) -> bool:
        """Keep more bytes; return False if the budget is spent.

        Parameters
        ----------
        size_bytes : int
        """
        if not self._budget.acquire(size_bytes):
            return False
        self.size_bytes += size_bytes
        return True

    def close(self) -> None:
        """Return all bytes to the budget."""
        self._budget.release(self.size_bytes)
        self.size_bytes = 0
