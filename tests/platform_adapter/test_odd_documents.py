from __future__ import annotations

import contextlib
import json
import pathlib
import tempfile

from ebonyhaven_adapter._configuration import decode_configuration
from ebonyhaven_adapter._inspection import _decode_report
from ebonyhaven_adapter._servers import decode_backend_entry
from ebonyhaven_adapter._settings import read_settings
from ebonyhaven_adapter._source import CONFIGURATION_KEY
from ebonyhaven_adapter._store import _decode_rows
from ebonyhaven_adapter._table_follower import LONG_POLL_S
from ebonyhaven_adapter.exceptions import MalformedDocument, SettingsError
from ebonyhaven_decisions import decode_document
from ebonyhaven_node._frames import encode_json
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.platform_adapter.odd_documents import (
    CONFIGURATION,
    ODD_BYTES,
    ODD_TEXTS,
    SERVER,
    encode_page,
    encode_row,
    json_values,
    list_odd_entries,
    make_variants,
)
from tests.platform_adapter.state_sources import FixedGroup, build_source

LISTED = json.dumps(SERVER).encode()
OTHER = json.dumps({**SERVER, "address": "10.0.0.2:80"}).encode()
REPORT = {"models": [], "kvTotal": 5, "born": 3, "active": 1, "runs": [["r", 1, 0]]}
thorough = settings(max_examples=150)


class PublishingGroup(FixedGroup):
    """A group in which this instance reads for the others."""

    def __init__(self):
        super().__init__(count=2)
        self.published = []

    def find_rank(self):
        return 0

    def publish_changes(self, payload):
        self.published.append(encode_json(payload))


def read_page(version, **contents):
    """Return the batch that the store client makes of rows."""
    rows = [
        encode_row(key.replace("_", "-"), each, version)
        for key, each in contents.items()
    ]
    return _decode_rows(encode_page(rows, version), era=0)


def start_reader():
    clock, store, state, source = build_source()
    group = PublishingGroup()
    source.connect_group(group)
    configuration = json.dumps(CONFIGURATION).encode()
    store.push("op", read_page(10, **{CONFIGURATION_KEY: configuration}))
    store.push("servers", read_page(12, s_1=LISTED))
    source.start()
    return clock, store, state, group


def list_servers(state) -> set[str]:
    return {each.server_id for each in state.backends}


def test_odd_row_in_the_server_list_leaves_all_others_in_use():
    # Replays a list that no instance read any more, as one row raised an error.
    for odd in list_odd_entries():
        clock, store, state, group = start_reader()
        store.push("servers", read_page(15, odd=odd, s_2=OTHER))
        assert list_servers(state) == {"s-1", "s-2"}, odd[:80]
        clock.advance(LONG_POLL_S)
        assert store.calls[-1] == ("changes", "servers", 15), odd[:80]
        store.push("servers", read_page(20, s_1=None))
        assert list_servers(state) == {"s-2"}, odd[:80]
        assert len(group.published) >= 2


def test_list_with_an_odd_row_is_read_at_a_start():
    for odd in list_odd_entries():
        _, store, state, source = build_source()
        store.push("servers", read_page(12, odd=odd, s_1=LISTED))
        source.start()
        assert list_servers(state) == {"s-1"}, odd[:80]


def test_row_whose_key_no_header_can_hold_names_no_server():
    for key in ("", "s\u4e2d", "s 1", "s\n1", "s\ud800", "s" * 300):
        _, store, state, _ = start_reader()
        row = encode_row(key, OTHER, 15)
        store.push("servers", _decode_rows(encode_page([row], 15), era=0))
        assert list_servers(state) == {"s-1"}, ascii(key)


def list_odd_rows() -> list[object]:
    row = encode_row("s-9", OTHER, 15)
    odd = [{**row, "rowVersion": each} for each in (None, "15", True, 1.5, [])]
    odd += [{**row, "key": each} for each in (None, 5, [], "")]
    return [*odd, None, 5, "x", [], {}]


def test_odd_row_of_a_response_leaves_all_others_in_use():
    # Guards against a response that is refused again and again for one of its rows.
    for odd in list_odd_rows():
        _, store, state, _ = start_reader()
        page = encode_page([odd, encode_row("s-2", OTHER, 15)], 15)
        store.push("servers", _decode_rows(page, era=0))
        assert list_servers(state) == {"s-1", "s-2"}, odd


def test_response_without_rows_is_not_taken_for_an_empty_table():
    for odd in (b'{"rowVersion": 15}', b'{"rowVersion": 15, "rows": null}'):
        try:
            _decode_rows(odd, era=0)
        except MalformedDocument:
            continue
        raise AssertionError(odd)


def test_server_whose_row_is_odd_for_a_time_is_used_again():
    for odd in list_odd_entries():
        clock, store, state, _ = start_reader()
        store.push("servers", read_page(15, s_1=odd, s_2=OTHER))
        assert list_servers(state) == {"s-2"}, odd[:80]
        clock.advance(LONG_POLL_S)
        store.push("servers", read_page(16, s_1=LISTED))
        assert state.backends.find("s-1").is_usable(clock.seconds())


def list_odd_configurations() -> list[bytes]:
    newer = {**CONFIGURATION, "version": 8}
    sections = [{**newer, name: 5} for name in ("routes", "services", "tenants")]
    sections += [{**newer, "limits": [5]}, {**newer, "limits": {"maxBodyBytes": "x"}}]
    sections += [{**newer, "routes": "x"}, {**newer, "version": True}, [newer], 5]
    texts = [
        json.dumps({**newer, field: "@"}).replace('"@"', text)
        for field in ("version", "routes", "other")
        for text in ODD_TEXTS
    ]
    texts += [json.dumps(each) for each in sections] + list(ODD_TEXTS)
    return [each.encode() for each in texts] + list(ODD_BYTES)


def test_odd_configuration_keeps_the_one_in_force_and_later_ones_apply():
    for odd in list_odd_configurations():
        clock, store, state, _ = start_reader()
        store.push("op", read_page(15, **{CONFIGURATION_KEY: odd}))
        assert state.configuration.version == 7, odd[:80]
        clock.advance(LONG_POLL_S)
        assert store.calls[-1] == ("changes", "op", 15), odd[:80]
        later = json.dumps({**CONFIGURATION, "version": 9}).encode()
        store.push("op", read_page(20, **{CONFIGURATION_KEY: later}))
        assert state.configuration.version == 9


def expect_one_error(decode, data) -> None:
    """Decode bytes; anything but a value or the one typed error fails the test."""
    try:
        decode(decode_document(data))
    except MalformedDocument as error:
        assert len(str(error)) < 500
    else:
        encode_json(decode_document(data))


@thorough
@given(make_variants(SERVER), st.text(max_size=4))
def test_any_server_entry_is_decoded_or_refused(data, key):
    def decode(document):
        entry = decode_backend_entry(key, document)
        encode_json(list(entry))

    expect_one_error(decode, data)


@thorough
@given(make_variants(CONFIGURATION))
def test_any_configuration_is_decoded_or_refused(data):
    expect_one_error(decode_configuration, data)


@thorough
@given(make_variants(REPORT))
def test_any_report_of_an_engine_is_decoded_or_refused(data):
    expect_one_error(_decode_report, data)


@thorough
@given(make_variants(json.loads(encode_page([encode_row("s-1", LISTED, 1)], 1))))
def test_any_response_of_the_store_is_decoded_or_refused(data):
    try:
        _decode_rows(data, era=0)
    except MalformedDocument:
        return


@thorough
@given(st.binary(max_size=64) | json_values.map(lambda each: json.dumps(each).encode()))
def test_any_bytes_are_decoded_or_refused(data):
    expect_one_error(lambda document: document, data)


ENTRY = ["s-2", 1000, "engines", "10.0.0.2:80", "dc-a", 4, "ready", "v1"]
MESSAGE = [0, 12, 14, [[0, "9000", None], [13, "s-2", ENTRY], [14, "s-1", None]]]
STATE = [0, None, [0, 14], [ENTRY]]


def apply_of_peer(name, data) -> None:
    """Pass a payload of a peer to a source; fail if odd entries are used."""
    _, store, state, source = build_source()
    store.push("op", read_page(10))
    store.push("servers", read_page(12, s_1=LISTED))
    source.start()
    with contextlib.suppress(KeyError, TypeError, ValueError):
        getattr(source, name)(decode_document(data))
    for each in state.backends:
        document = {**SERVER, "slots": each.entry.slots, "address": each.entry.address}
        document |= {"service": each.entry.service, "born": each.entry.started_ms}
        assert decode_backend_entry(each.server_id, document)


@thorough
@given(make_variants(MESSAGE))
def test_any_changes_that_a_reader_tells_are_applied_or_refused(data):
    apply_of_peer("apply_changes", data)


@thorough
@given(make_variants(STATE))
def test_any_state_of_a_peer_is_merged_or_refused(data):
    apply_of_peer("merge", data)


def test_odd_settings_file_is_refused_with_its_name():
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.json"
        for content in (*ODD_BYTES, *(each.encode() for each in ODD_TEXTS)):
            path.write_bytes(content)
            try:
                read_settings(path)
            except SettingsError as error:
                assert str(path) in str(error)
            else:
                raise AssertionError(content[:80])


def test_deeply_nested_document_is_refused_whatever_its_depth():
    for depth in (65, 500, 990, 1010, 50_000):
        try:
            decode_document(b"[" * depth + b"]" * depth)
        except MalformedDocument:
            continue
        raise AssertionError(depth)
    assert decode_document(b"[" * 64 + b"]" * 64)
