"""Engines whose slots are full are brittle; load stays below what they can serve."""

from __future__ import annotations

import os
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))

import rig

MACHINES = 3
ENGINES = 6
SLOTS = 12  # as on the sheet of bluemahoe-kgn
EVENTS = 40
GAP_MS = 100  # a stream takes 4.1 s, so that 6 engines serve 17.5 a second
RATE = float(os.environ.get("RATE", "14"))  # streams a second, 0.8 of that
FINAL_SHARE = 0.2  # of the streams are on a route that may not be resumed
SURVIVED = 4  # `Server-Brittle`
CALM_S = 8.0
BRITTLE_S = 24.0
BACK_AFTER_S = 2.0


def play(has_trouble: bool) -> bool:
    record = rig.Record(str(pathlib.Path(__file__).parent))
    with rig.Rig() as deployment:
        engine_traits = {**rig.ENGINE, "slots": SLOTS}
        deployment.configure(
            [
                rig.route("draft", "/draft/", "streaming", "llm"),
                rig.route("final", "/final/", "streaming", "llm", streamResume=False),
            ],
            [rig.service("llm", engine=engine_traits)],
        )
        lead_s = 16.0  # for the starts
        begin = time.monotonic() + lead_s + CALM_S
        for number in range(ENGINES):
            deployment.add_server(
                "llm",
                deployment.zones[number % 3],
                is_engine=True,
                slots=SLOTS,
                keeps_to_slots=True,
                queue=6,
                events=EVENTS,
                gap_ms=GAP_MS,
                first_ms=200,
                brittle=SURVIVED if has_trouble else None,
                brittle_from=begin,
                brittle_until=begin + BRITTLE_S,
            )
        deployment.restart_crashed(BACK_AFTER_S)
        deployment.start_nodes(MACHINES)
        time.sleep(max(0.0, begin - CALM_S - time.monotonic()))
        answers: list[tuple[str, rig.Answer]] = []
        end = begin + BRITTLE_S
        record.write(
            f"{RATE} streams a second at {MACHINES} machines, {ENGINES} engines"
        )

        def consume(number: int) -> None:
            route = "final" if random.random() < FINAL_SHARE else "draft"
            answer = rig.send(
                random.choice(deployment.nodes).address,
                f"/{route}/{number}",
                X_Model_Name="m",
                X_Token_Count="400,200",
                X_Prompt_Prefix=f"aa{number:04x}:100,bb{number:04x}:300",
            )
            answers.append((route, answer))

        threads = []
        while time.monotonic() < end:
            thread = threading.Thread(target=consume, args=(len(threads),), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(random.expovariate(RATE))
        for thread in threads:
            thread.join(15)
        log = deployment.read_servers()
    return judge(record, log, answers, begin)


def judge(record: rig.Record, log, answers, begin: float) -> bool:
    """LIMIT: servers that fall over in the time in which they are brittle."""
    refused = [line["t"] for line in log if line["what"] == "refused"]
    record.write(
        f"refusals for want of room: {sum(at < begin for at in refused)} before the"
        f" servers are brittle, {sum(at >= begin for at in refused)} while they are"
    )
    falls = [line for line in log if line["what"] == "fell"]
    for line in falls:
        record.write(
            f"server {line['server']} turns away {line['refused']} requests within a"
            f" second, {SURVIVED} are survived, and falls over with {line['active']}"
            f" streams, {line['t'] - begin:.1f} s after the servers named it first",
            line["t"],
        )
    for route in ("draft", "final"):
        of_route = [answer for name, answer in answers if name == route]
        whole = sum(answer.is_whole and bool(answer.events) for answer in of_route)
        cut = sum(bool(answer.events) and not answer.is_whole for answer in of_route)
        record.write(f"/{route}/: {len(of_route)} sent, {whole} whole, {cut} cut")
    allowed = 2 + ENGINES / 10
    record.write(f"{len(falls)} falls, {allowed:.1f} are allowed")
    return len(falls) > allowed


rig.run_case(play)
