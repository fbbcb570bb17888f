"""The edits that turn one JSON document into another.

Designed for large documents of which little changes at a time, and that many instances
have. An edit is a JSON list: ``["set", path, value]``, ``["drop", path]`` for a field
of an object, or ``["take", path, parts]``, which builds a list anew from ranges of
items ``[start, stop]`` of the old one and new items ``{"new": [...]}``. Paths consist
of names of fields and indices of items, so that edits are hardly deeper than values.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator, Sequence
from typing import Any

SET = "set"
DROP = "drop"
TAKE = "take"
NEW_ITEMS = "new"

Path = tuple[str | int, ...]


def list_edits(old: Any, new: Any) -> list[list[Any]]:
    """Return the edits that turn a JSON value into another.

    Parameters
    ----------
    old, new : object
        JSON values.
    """
    return list(_list_edits(old, new, ()))


def apply_edits(document: Any, edits: Any) -> Any:
    """Return an edited JSON value; parts without changes are shared with the old one.

    Parameters
    ----------
    document : object
        JSON value; it stays as it is.
    edits : object
        See `list_edits`.

    Raises
    ------
    ValueError
        If the edits are malformed or belong to another document.
    """
    try:
        for kind, path, *values in edits:
            document = _apply_edit(document, kind, path, values)
    except (AttributeError, LookupError, TypeError) as error:
        raise ValueError(f"edits do not fit the document: {error}") from error
    return document


def compute_document_checksum(document: Any) -> int:
    """Return a number that tells two JSON values apart, whatever the order of fields.

    Parameters
    ----------
    document : object
    """
    return zlib.crc32(_encode(document).encode())


def _encode(value: Any) -> str:
    """Return a text that also tells true from 1, which are equal in Python."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True)


def _list_edits(old: Any, new: Any, path: Path) -> Iterator[list[Any]]:
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _list_field_edits(old, new, path)
    elif isinstance(old, list) and isinstance(new, list):
        yield from _list_item_edits(old, new, path)
    elif _encode(old) != _encode(new):
        yield [SET, list(path), new]


def _list_field_edits(
    old: dict[str, Any], new: dict[str, Any], path: Path
) -> Iterator[list[Any]]:
    for name in old.keys() - new.keys():
        yield [DROP, [*path, name]]
    for name, value in new.items():
        if name in old:
            yield from _list_edits(old[name], value, (*path, name))
        else:
            yield [SET, [*path, name], value]


def _list_item_edits(old: list[Any], new: list[Any], path: Path) -> Iterator[list[Any]]:
    old_texts, new_texts = list(map(_encode, old)), list(map(_encode, new))
    if old_texts == new_texts:
        return
    sources = _find_sources(old_texts, new_texts)
    if sources != list(range(len(old))):
        yield [TAKE, list(path), _list_parts(sources, new)]
    for index, source in enumerate(sources):
        if source is not None and old_texts[source] != new_texts[index]:
            yield from _list_edits(old[source], new[index], (*path, index))


def _find_sources(old: Sequence[str], new: Sequence[str]) -> list[int | None]:
    """Return the index of the old item that each new one is, or replaces."""
    places = {text: index for index, text in reversed(list(enumerate(old)))}
    kept = set(new)
    sources: list[int | None] = []
    start = 0  # of the old items that follow those found so far
    for text in new:
        is_next = start < len(old) and old[start] == text
        source = start if is_next else places.get(text, -1)
        if source < start:
            is_replaced = start < len(old) and old[start] not in kept
            source = start if is_replaced else None
        sources.append(source)
        start = start if source is None else source + 1
    return sources


def _list_parts(sources: Sequence[int | None], new: Sequence[Any]) -> list[Any]:
    parts: list[Any] = []
    for source, item in zip(sources, new, strict=True):
        last = parts[-1] if parts else None
        if source is None:
            if not isinstance(last, dict):
                parts.append({NEW_ITEMS: []})
            parts[-1][NEW_ITEMS].append(item)
        elif isinstance(last, list) and last[1] == source:
            last[1] = source + 1
        else:
            parts.append([source, source + 1])
    return parts


def _apply_edit(node: Any, kind: Any, path: Any, values: list[Any]) -> Any:
    """Return a copy of a value with an edit below it."""
    if not path:
        return _replace(node, kind, *values)
    key, *rest = path
    if not isinstance(key, str if isinstance(node, dict) else int):
        raise ValueError(f"no such part: {key!r}")
    copy = node.copy()
    if not rest and kind == DROP:
        del copy[key]
    elif not rest and kind == SET:
        copy[key] = values[0]
    else:
        copy[key] = _apply_edit(node[key], kind, rest, values)
    return copy


def _replace(node: Any, kind: Any, value: Any) -> Any:
    if kind == SET:
        return value
    if kind != TAKE or not isinstance(node, list):
        raise ValueError(f"no such edit: {kind!r}")
    items: list[Any] = []
    for part in value:
        if isinstance(part, dict):
            items += part[NEW_ITEMS]
            continue
        start, stop = part
        if not 0 <= start < stop <= len(node):
            raise ValueError("no such items")
        items += node[start:stop]
    return items
