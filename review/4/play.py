"""A server pauses in the middle of streams that may not be resumed."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from rig import Channel, answer_after, main, make_configuration, stream_events  # noqa: E402

STREAMS = 6
EVENTS = 60
PAUSE_S = 3.0  # a caller abandons a stream after a gap of 18 s (4 x 4.5 s)
GRACE_S = 8
GENERATION = {"X-Model-Name": "m", "X-Token-Count": "8200,300"}


async def play(rig, has_trouble):
    await rig.add_server("i-app1", "app", answer_after(0.02))
    pauses = {30: PAUSE_S} if has_trouble else {}
    for number in (1, 2, 3):
        await rig.add_server(f"i-llm{number}", "llm", stream_events(EVENTS, pauses=pauses))
    await rig.start(2, make_configuration(7), graceS=GRACE_S)
    await rig.wait_ready()
    await asyncio.sleep(1.0)
    first = rig.instances[0]
    answers = {}

    async def ask(number):
        channel = Channel(first.listen["frontend"], rig.record)
        await channel.request("GET", "/safe/look", f"k{number:04d}")
        attempt = f"s{number:04d}"
        headers = {**GENERATION, "X-Prompt-Prefix": f"aa:200,{number:08x}:8000"}
        answers[attempt] = await channel.request(
            "POST", "/fixed/draft", attempt, body=b"dossier %d" % number,
            deadline_ms=25000, headers=headers,
        )  # fmt: skip
        channel.close()

    tasks = [asyncio.ensure_future(ask(number)) for number in range(STREAMS)]
    await asyncio.sleep(0.6)  # all of them stream by now
    rig.record("SIGTERM to", first.name)
    first.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    await asyncio.gather(*tasks)
    ended_s = max(answer.ended for answer in answers.values()) - stopped_at
    rig.record(f"last answer ended {ended_s:.2f} s after the SIGTERM")
    ran = [request.headers["x-attempt-id"] for each in rig.servers for _, request in each.ran]
    return [
        f"LOST: {attempt} ran once at a sound server, its channel ended after "
        f"{len(answer.body.splitlines()) // 3} of {EVENTS} events"
        for attempt, answer in sorted(answers.items())
        if ran.count(attempt) == 1 and not answer.is_complete
    ]


main(play, str(pathlib.Path(__file__).parent))
