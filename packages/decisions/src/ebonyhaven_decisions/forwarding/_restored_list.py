"""Merge of a server list that the store restored from an older copy.

Designed for a store that loses the writes of the last seconds: the restored list lacks
servers that registered since, contains servers that left since, and states of the past.
Servers write their entries again within seconds of the restore.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from ebonyhaven_decisions.forwarding._backends import BackendEntry, BackendState


def merge_restored_list(
    known: Mapping[str, BackendEntry],
    restored: Mapping[str, BackendEntry],
    departed: Collection[tuple[str, int]],
) -> dict[str, BackendEntry]:
    """Return the server list to use after a restore of the store.

    What was known before the restore is newer than the copy, except for entries that
    were written again since. A server that left stays away in either case, one that
    leaves in either list leaves, and one that the copy lacks is kept for the caller to
    remove if it does not return.

    Parameters
    ----------
    known : mapping of str to BackendEntry
        List before the restore, by server id.
    restored : mapping of str to BackendEntry
        List read after the restore, by server id.
    departed : collection of tuple of (str, int)
        Ids and start times of processes that left before the restore.

    Returns
    -------
    dict of str to BackendEntry
        By server id.
    """
    merged = {
        server_id: entry
        for server_id, entry in restored.items()
        if entry.state is BackendState.LEAVING
        or (server_id, entry.started_ms) not in departed
    }
    for server_id, entry in known.items():
        merged[server_id] = _merge_entries(entry, merged.get(server_id))
    return merged


def _merge_entries(known: BackendEntry, restored: BackendEntry | None) -> BackendEntry:
    if restored is None or restored.started_ms < known.started_ms:
        return known
    if restored.started_ms > known.started_ms:
        return restored
    return known if known.state is BackendState.LEAVING else restored
