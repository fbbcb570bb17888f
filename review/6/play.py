"""A part of prompts crashes servers; a part behind it stands in all prompts."""

from __future__ import annotations

import os
import pathlib
import random
import secrets
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))

import rig

MACHINES = 3
ENGINES = 6
PARTS = 4  # of each prompt; the last one is the request's own
DEADLY_INDEX = int(os.environ.get("INDEX", "1"))
DEADLY_PART = "dead0001"
BACK_AFTER_S = 2.0
SOUND_CONSUMERS = 16
EVENTS = 20
GAP_MS = 180  # pauses of up to 700 ms are on time
DEADLY_REQUESTS = int(os.environ.get("DEADLY", "44"))
SOUND_EACH_S = 4.0  # of one consumer; its streams last for 3.8 s
COMES_EACH_S = float(os.environ.get("EACH", "1.5"))
CONTACT_S = 3.0
MOST_REQUESTS = 3


def list_parts(own: str, *, is_deadly: bool) -> str:
    """Return the parts of a prompt, of which all but the last are shared."""
    parts = [f"5a{number:04x}" for number in range(PARTS - 1)] + [own]
    if is_deadly:
        parts[DEADLY_INDEX] = DEADLY_PART
    return ",".join(f"{part}:200" for part in parts)


def send(node: rig.Node, request_id: str, *, is_deadly: bool) -> rig.Answer:
    return rig.send(
        node.address,
        f"/draft/{request_id}",  # no two requests are alike
        request_id=request_id,
        X_Model_Name="m",
        X_Token_Count="800,200",
        X_Prompt_Prefix=list_parts(request_id, is_deadly=is_deadly),
    )


def play(has_trouble: bool) -> bool:
    record = rig.Record(str(pathlib.Path(__file__).parent))
    sound: list[rig.Answer] = []
    with rig.Rig() as deployment:
        deployment.configure(
            [rig.route("draft", "/draft/", "streaming", "llm")],
            [rig.service("llm", engine=rig.ENGINE)],
        )
        for number in range(ENGINES):
            deployment.add_server(
                "llm",
                deployment.zones[number % 3],
                is_engine=True,
                slots=96,
                events=EVENTS,
                gap_ms=GAP_MS,
                deadly_part=DEADLY_PART,
            )
        deployment.restart_crashed(BACK_AFTER_S)
        deployment.start_nodes(MACHINES)
        time.sleep(3.0)
        nodes = deployment.nodes
        is_over = threading.Event()

        def consume() -> None:
            while not is_over.is_set():
                answer = send(
                    random.choice(nodes), secrets.token_hex(8), is_deadly=False
                )
                sound.append(answer)
                pause_s = answer.sent_at + SOUND_EACH_S - time.monotonic()
                is_over.wait(max(0.1, pause_s))

        for _ in range(SOUND_CONSUMERS):
            threading.Thread(target=consume, daemon=True).start()
        record.write(
            f"{SOUND_CONSUMERS} consumers send sound streams, one after the other"
        )
        time.sleep(8.0)
        results = []
        for number in range(DEADLY_REQUESTS if has_trouble else 0):
            request_id = f"deadbeef{number:04x}"
            node = nodes[number % MACHINES]
            record.write(f"request {request_id} with the deadly part, at {node.name}")
            results.append(rig.start(send, node, request_id, is_deadly=True))
            time.sleep(COMES_EACH_S)
        record.last_deadly_at = time.monotonic()
        for each in results:
            answer = each.get(timeout=40)
            record.write(
                f"request {answer.request_id}: status {answer.status} {answer.body[:70]!r}",
                answer.ended_at,
            )
        if not has_trouble:
            time.sleep(10.0)
        is_over.set()
        log = deployment.read_servers()
    return judge(record, log, sound)


def judge(record: rig.Record, log, sound: list[rig.Answer]) -> bool:
    """LOST: sound requests that begin at the first attempt after the fifth crash."""
    crashes = [line for line in log if line["what"] == "crashed"]
    for number, line in enumerate(crashes, 1):
        record.write(
            f"crash {number}: server {line['server']}, by {line['id']}, which ran"
            f" {line['active'] - 1} other requests",
            line["t"],
        )
    first = min(answer.sent_at for answer in sound)
    for second in range(0, 100, 2):
        sent = [each for each in sound if second <= each.sent_at - first < second + 2]
        if sent:
            began = sum(bool(each.events) for each in sent)
            refused = [each for each in sent if each.status == 503]
            reason = f"; refused: {refused[0].body[:110]!r}" if refused else ""
            text = f"sound streams sent in 2 s: {len(sent)}, begun: {began}{reason}"
            record.write(text, first + second)
    deadly = [
        line
        for line in log
        if line["what"] == "arrived" and line["id"].startswith("deadbeef")
    ]
    if len(crashes) < 5:
        record.write(f"{len(crashes)} crashes; fewer than five")
        return False
    fifth = crashes[4]["t"]
    late = [line for line in deadly if line["t"] > fifth + CONTACT_S]
    record.write(
        f"{len(late)} requests with the part ({len({line['id'] for line in late})} of"
        f" consumers) reached servers later than contactMs after the fifth crash"
        f" (BUDGET: more than {MOST_REQUESTS})"
    )
    before = [each for each in sound if each.ended_at < crashes[0]["t"]]
    during = [
        each
        for each in sound
        if fifth + 2 * CONTACT_S < each.sent_at < record.last_deadly_at
    ]
    shares = [
        sum(bool(each.events) for each in group) / max(1, len(group))
        for group in (before, during)
    ]
    record.write(
        f"sound streams begun: {shares[0]:.2f} of {len(before)} before the first crash,"
        f" {shares[1]:.2f} of {len(during)} from 2 x contactMs after the fifth crash on,"
        " while such requests came"
    )
    if len(before) < 20 or len(during) < 20:
        raise rig.CannotRun("too few sound streams")
    is_broken = shares[1] < shares[0] / 2
    record.write("LOST is broken" if is_broken else "LOST holds")
    return is_broken


rig.run_case(play)
