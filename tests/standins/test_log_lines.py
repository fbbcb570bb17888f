from __future__ import annotations

import json
import pathlib
import tempfile

from ebonyhaven_standins.log_lines import read_whole_lines

LINE = json.dumps({"event": "server_listed", "fields": {"name": "später"}})


def test_a_line_that_is_half_written_is_left_out_until_its_end_is_there():
    # Guards against parsing a line of a log of which only a part is visible yet.
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "n1.log"
        content = f"{LINE}\n{LINE}\n".encode()
        for size in range(len(content) + 1):
            path.write_bytes(content[:size])
            whole = content[:size].count(b"\n")
            assert read_whole_lines(path) == [LINE] * whole
