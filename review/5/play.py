"""An instance is stopped while streams wait in it for room on busy engines."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from rig import main, make_configuration, send, stream_events  # noqa: E402

STREAMS = (
    40  # prompts of 8,200 tokens; three engines have memory for 88,000 tokens each
)
EVENTS = 130
GAP_S = 0.1  # a whole stream takes 13 s of its 25 s
LOSS_SLACK_S = 0.2
DEADLINE_S = 25.0  # and a caller waits 18 s, four times its objective, for an event


async def play(rig, has_trouble):
    copies = {}
    for number, zone in ((1, "sala-a"), (2, "sala-b"), (3, "sala-b")):
        work = stream_events(EVENTS, gap_s=GAP_S, copies=copies)
        await rig.add_server(f"i-llm{number}", "llm", work, zone, slots=96)
    await rig.start(2, make_configuration(7))
    await rig.wait_ready()
    await asyncio.sleep(1.0)
    first = rig.instances[0]
    answers = {}

    async def ask(number):
        attempt = f"s{number:04d}"
        headers = {
            "X-Model-Name": "m",
            "X-Token-Count": "8200,780",
            "X-Prompt-Prefix": f"5c1e07a2:200,{number:08x}:8000",
        }
        answers[attempt] = await send(
            first.listen["frontend"], "POST", "/fixed/draft", attempt, rig.record,
            body=b"dossier %d" % number, deadline_ms=int(1000 * DEADLINE_S), headers=headers,
            patience_s=DEADLINE_S + 1.0,
        )  # fmt: skip

    tasks = []
    for number in range(STREAMS):
        tasks.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    ran = {
        request.headers["x-attempt-id"]
        for each in rig.servers
        for _, request in each.ran
    }
    rig.record(f"{len(ran)} of {STREAMS} streams run, the others wait in {first.name}")
    if has_trouble:
        rig.record("SIGTERM to", first.name)
        first.signal(signal.SIGTERM)
        began = time.monotonic()
        await asyncio.wait_for(first.process.wait(), 12.0)
        rig.record(f"process ended {time.monotonic() - began:.2f} s after the SIGTERM")
        await asyncio.gather(*tasks)
    else:
        await asyncio.gather(*tasks)
    ran = {
        request.headers["x-attempt-id"]
        for each in rig.servers
        for _, request in each.ran
    }
    return [
        f"LOST: {attempt} was read, reached no server, and its channel ended without an "
        f"answer {answer.ended - answer.started:.2f} s after it was sent"
        for attempt, answer in sorted(answers.items())
        if attempt not in ran
        and answer.status == 0
        and LOSS_SLACK_S < answer.ended - answer.started < DEADLINE_S - 0.5
    ]


main(play, str(pathlib.Path(__file__).parent))
