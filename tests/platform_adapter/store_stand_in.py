"""Stand-in for the store of the platform, on loopback."""

from __future__ import annotations

import base64
import json

from twisted.internet import reactor
from twisted.web import resource, server


class StoreStandIn(resource.Resource):
    """In-memory store with versioned rows and a change feed.

    It responds with status 503 while ``is_down`` is set, and holds back the answers to
    polls that wait for changes while ``holds_polls`` is. `forget_history` has it answer
    410 to those that follow an older version. `restore` brings back an older
    copy, as after the loss of the latest writes.
    """

    isLeaf = True  # noqa: N815 defined by Twisted

    def __init__(self):
        super().__init__()
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.changes: list[tuple[str, str, str | None, int]] = []
        self.version = 10
        self._oldest_version = 0
        self.is_down = False
        self.holds_polls = False
        self.era = 1
        self._pending_polls: list[tuple[server.Request, str, int]] = []

    def put(self, table: str, key: str, document) -> None:
        content = None if document is None else json.dumps(document).encode()
        self.put_bytes(table, key, content)

    def put_bytes(self, table: str, key: str, content: bytes | None) -> None:
        """Write a row of any content, or remove it."""
        self.version += 1
        value = None
        if content is None:
            self.rows.pop((table, key), None)
        else:
            value = base64.b64encode(content).decode()
            self.rows[table, key] = (value, self.version)
        self.changes.append((table, key, value, self.version))
        if self.holds_polls:
            return
        polls, self._pending_polls = self._pending_polls, []
        for request, name, after in polls:
            self._answer_feed(request, name, after)

    def forget_history(self) -> None:
        """Drop the changes up to now."""
        self._oldest_version = self.version
        self.changes.clear()

    def take_copy(self):
        """Return a copy for `restore`."""
        return dict(self.rows), list(self.changes), self.version

    def restore(self, copy) -> None:
        """Lose all writes since the copy was taken; polls in progress are answered."""
        rows, changes, self.version = copy
        self.rows, self.changes = dict(rows), list(changes)
        self.era += 1
        polls, self._pending_polls = self._pending_polls, []
        for request, name, after in polls:
            if request._disconnected:
                continue
            self._set_era(request)
            if after > self.version:
                request.setResponseCode(410)
                request.finish()
            else:
                self._answer_feed(request, name, after)

    def _set_era(self, request):
        request.setHeader("Store-Era", str(self.era))

    def render(self, request):
        self._set_era(request)
        if self.is_down:
            request.setResponseCode(503)
            return b"{}"
        call = request.path.decode().strip("/")
        return getattr(self, f"_{call.replace('-', '_')}")(request)

    def _rows_get(self, request):
        table = request.args[b"tableName"][0].decode()
        rows = [
            self._describe(table, key, value, version)
            for (name, key), (value, version) in sorted(self.rows.items())
            if name == table
        ]
        return self._encode(rows)

    def _rows_feed(self, request):
        table = request.args[b"tableName"][0].decode()
        after = int(request.args[b"after"][0])
        if after > self.version or after < self._oldest_version:
            request.setResponseCode(410)
            return b"{}"
        wait_s = int(request.args[b"waitMs"][0]) / 1000
        is_held = self.holds_polls and wait_s > 0.0
        has_changes = any(
            change[0] == table and change[3] > after for change in self.changes
        )
        if has_changes and not is_held:
            return self._encode(self._list_changes(table, after))
        entry = (request, table, after)
        self._pending_polls.append(entry)
        reactor.callLater(wait_s, self._expire, entry)
        return server.NOT_DONE_YET

    def _rows_tx(self, request):
        body = json.loads(request.content.read())
        held = [self._find(each["tableName"], each["key"]) for each in body["expect"]]
        expected = [each["rowVersion"] for each in body["expect"]]
        if [each["rowVersion"] if each else 0 for each in held] != expected:
            request.setResponseCode(412)
            return self._encode([each for each in held if each])
        for row in body["write"]:
            content = json.loads(base64.b64decode(row["value"]))
            self.put(row["tableName"], row["key"], content)
        return self._encode([])

    def _find(self, table, key):
        """Return the description of a row, or None if there is none."""
        if (table, key) not in self.rows:
            return None
        return self._describe(table, key, *self.rows[table, key])

    def _expire(self, entry):
        if entry in self._pending_polls and not self.holds_polls:
            self._pending_polls.remove(entry)
            self._answer_feed(*entry)

    def _answer_feed(self, request, table, after):
        if not request._disconnected:
            request.write(self._encode(self._list_changes(table, after)))
            request.finish()

    def _list_changes(self, table, after):
        return [
            self._describe(table, key, value, version)
            for name, key, value, version in self.changes
            if name == table and version > after
        ]

    def _describe(self, table, key, value, version):
        row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    def _encode(self, rows):
        body = {
            "rows": rows,
            "hasMore": False,
            "rowVersion": self.version,
            "nowMs": int(reactor.seconds() * 1000),
        }
        return json.dumps(body).encode()
