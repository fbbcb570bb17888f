"""Values and rows of other writers that can't be read or name no usable server."""

from __future__ import annotations

import base64
import json

from hypothesis import strategies as st

SERVER = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "dc-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": 1000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "draft",
            "host": "work.example",
            "pathPrefix": "/draft/",
            "kind": "streaming",
            "trafficSplit": [{"service": "engines", "weight": 1}],
            "timeoutMs": 25000,
        }
    ],
    "services": [
        {
            "name": "engines",
            "maxConnections": 100,
            "engine": {"slots": 4, "kvCapacityTokens": 9000, "handleTtlS": 4.0},
        }
    ],
    "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    "tenants": [{"name": "studio-a", "apiKeys": ["k1"], "priority": 1}],
}
DEEP_LIST = "[" * 2000 + "]" * 2000
MANY_DIGITS = "1" * 5000
# JSON texts that no field of a document may hold.
ODD_TEXTS = (
    DEEP_LIST,
    '{"a":' * 2000 + "1" + "}" * 2000,
    "[" * 100 + "]" * 100,
    "1" + "0" * 400,
    "-1" + "0" * 400,
    MANY_DIGITS,
    "1e999",
    "NaN",
    "-Infinity",
    r'"\ud800"',
)
ODD_ADDRESSES = (
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:" + MANY_DIGITS,
    "10.0.0.9:\u00b2",
    "10.0.0.9:\u0668\u0660",
    "10.0.0.\u00b2:80",
    f"10.0.0.{MANY_DIGITS}:80",
    "010.0.0.9:80",
    "10.0.0.9:+80",
)
ODD_BYTES = (b"[" * 4000, b"", b"\xff\xfe{", json.dumps(SERVER).encode("utf-16"))


def encode_row(key: str, content: bytes | None, version: int) -> dict:
    """Return a row as the store sends it; None for one that was deleted."""
    row = {"tableName": "servers", "part": "", "key": key, "rowVersion": version}
    if content is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(content).decode()}


def encode_page(rows: list[dict], version: int) -> bytes:
    """Return the body of a response with rows."""
    return json.dumps({"rows": rows, "rowVersion": version, "nowMs": 5000}).encode()


def list_odd_entries() -> list[bytes]:
    """Return the contents of odd rows in the list of servers."""
    texts = [
        json.dumps({**SERVER, field: "@"}).replace('"@"', text)
        for field in ("slots", "born", "version", "other")
        for text in ODD_TEXTS
    ]
    entries = [{**SERVER, "address": each} for each in ODD_ADDRESSES]
    entries += [{**SERVER, "slots": each} for each in (0, -1, True, 1.5, 10**9)]
    entries += [{**SERVER, "born": each} for each in (True, -1)]
    texts += [json.dumps(each) for each in entries] + list(ODD_TEXTS)
    return [each.encode() for each in texts] + list(ODD_BYTES)


def list_nodes(document: object) -> list[tuple]:
    """Return the paths of all values in a JSON document."""
    paths: list[tuple] = [()]
    if isinstance(document, dict | list):
        items = document.items() if isinstance(document, dict) else enumerate(document)
        for key, value in items:
            paths += [(key, *path) for path in list_nodes(value)]
    return paths


def replace_node(document: object, path: tuple, value: object) -> object:
    """Return a copy of a document in which one value is replaced."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = replace_node(copy[path[0]], path[1:], value)
    return copy


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**25), 10**25)
    | st.floats()
    | st.text(st.characters(exclude_categories=()), max_size=8),
    lambda each: (
        st.lists(each, max_size=4) | st.dictionaries(st.text(max_size=4), each)
    ),
    max_leaves=8,
)


def make_variants(document: object) -> st.SearchStrategy[bytes]:
    """Return texts of a document in which one or two values are replaced."""
    paths = list_nodes(document)

    def replace(path, text, second, value) -> bytes:
        changed = replace_node(document, path, "@")
        if second[: len(path)] != path:
            changed = replace_node(changed, second, value)
        return json.dumps(changed).replace('"@"', text).encode()

    texts = st.sampled_from(ODD_TEXTS) | json_values.map(json.dumps)
    return st.builds(
        replace,
        st.sampled_from(paths),
        texts,
        st.sampled_from(paths),
        json_values,
    )
