"""Addresses that callers are told to use."""

from __future__ import annotations

from typing import Any, NamedTuple


class Entry(NamedTuple):
    """One instance that callers may connect to.

    Parameters
    ----------
    instance, address, data_centre : str
    load : float
        Share of its capacity in use.
    """

    instance: str
    address: str
    data_centre: str
    load: float


class EntryList(NamedTuple):
    """Entries in the order to try.

    Parameters
    ----------
    entries : tuple of Entry
    keep_s : float
        Time for which the answer may be kept, seconds.
    """

    entries: tuple[Entry, ...]
    keep_s: float

    def describe(self) -> dict[str, Any]:
        """Return the answer as JSON values."""
        entries = [entry._asdict() for entry in self.entries]
        return {"entries": entries, "keep_s": self.keep_s}
