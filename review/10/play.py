"""Most machines are killed while streams are open that began over 15 s before."""

from __future__ import annotations

import os
import pathlib
import random
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))

import rig

MACHINES = 9  # as on the sheet of ferias-sts
SURVIVORS = 1
ENGINES = 6  # three of each software version
STREAMS = 72  # that begin together
EVENTS = 150
GAP_MS = 150  # pauses of up to 700 ms are on time
LIMIT_MS = 25000
KILL_AFTER_S = float(os.environ.get("AGE", "18.5"))
TRICKLE_S = 2.0  # between two more streams, until the machines are killed
NEW_STREAMS = 20  # after that


class Consumer:
    """A stream and what its consumer does to receive the whole of it."""

    def __init__(self, number: int):
        self.number = number
        self.tries: list[rig.Answer] = []
        part = f"{number:04x}"
        self._headers = {
            "X_Model_Name": "m",
            "X_Token_Count": "800,1000",
            "X_Prompt_Prefix": f"aa{part}:200,bb{part}:600",
        }

    def run(self, node: rig.Node, others: list[rig.Node]) -> None:
        """Send the request, and once more at another machine if it is broken off."""
        first = self._send(node, LIMIT_MS)
        if first.is_whole or not first.events:
            return
        for other in random.sample(others, len(others)):
            left_ms = LIMIT_MS - int(1000 * (time.monotonic() - first.sent_at))
            again = self._send(
                other,
                left_ms,
                Last_Event_Id=str(first.events[-1]),
                Resumes=first.request_id,
            )
            if again.status is not None:  # else the machine takes no channels
                return

    def _send(self, node: rig.Node, limit_ms: int, **headers: str) -> rig.Answer:
        answer = rig.send(
            node.address,
            f"/draft/{self.number}",
            timeout_ms=limit_ms,
            **self._headers,
            **headers,
        )
        answer.node = node.name
        if answer.status is not None or not self.tries:
            self.tries.append(answer)
        return answer


def play(has_trouble: bool) -> bool:
    record = rig.Record(str(pathlib.Path(__file__).parent))
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
                version=f"v{1 + number % 2}",
            )
        deployment.start_nodes(MACHINES)
        time.sleep(4.0)
        nodes = deployment.nodes
        threads: list[threading.Thread] = []
        early: list[Consumer] = []
        late: list[Consumer] = []

        def begin(consumers: list[Consumer], node: rig.Node) -> None:
            consumer = Consumer(len(early) + len(late))
            consumers.append(consumer)
            thread = threading.Thread(target=consumer.run, args=(node, nodes))
            thread.start()
            threads.append(thread)

        record.write(f"{STREAMS} streams begin at {MACHINES} machines")
        began_at = time.monotonic()
        for number in range(STREAMS):
            begin(early, nodes[number % MACHINES])
        while (left_s := began_at + KILL_AFTER_S - time.monotonic()) > 0:
            time.sleep(min(TRICKLE_S, left_s))
            begin(early, nodes[len(early) % MACHINES])
        survivors = nodes[:SURVIVORS]
        if has_trouble:
            for node in nodes[SURVIVORS:]:
                node.signal(signal.SIGKILL)
            record.write(
                f"{MACHINES - SURVIVORS} machines are killed, {survivors[0].name} is not"
            )
        for number in range(NEW_STREAMS):
            time.sleep(0.1)
            begin(late, survivors[number % SURVIVORS])
        for thread in threads:
            thread.join(40)
        return judge(record, early, late)


def judge(record: rig.Record, early: list[Consumer], late: list[Consumer]) -> bool:
    """LOST: of 12 or more streams that are taken up, the share that goes on."""
    taken_up = [each for each in early if len(each.tries) > 1]
    went_on = [each for each in taken_up if each.tries[1].events]
    began = [each for each in late if each.tries[0].events]
    for each in early:
        for number, answer in enumerate(each.tries):
            events = answer.events
            received = f"{events[0]} to {events[-1]}" if events else "none"
            what = "again, with Last-Event-Id and Resumes," if number else "first"
            record.write(
                f"stream {each.number}: {what} at {answer.node}: status {answer.status},"
                f" events {received}{'' if events else ' ' + repr(answer.body[:80])}",
                answer.ended_at,
            )
    share_new = len(began) / len(late)
    record.write(f"new streams: {len(began)} of {len(late)} began")
    record.write(f"taken up: {len(taken_up)}, of which {len(went_on)} went on")
    if share_new < 0.9:
        raise rig.CannotRun("new streams did not begin")
    if len(taken_up) < 12:
        return False
    is_broken = len(went_on) / len(taken_up) < share_new / 2
    record.write("LOST is broken" if is_broken else "LOST holds")
    return is_broken


rig.run_case(play)
