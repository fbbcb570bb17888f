"""Streams that are asked for twice are taken up again after the loss of an instance."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
import kit  # noqa: E402

PAIRS = 16
NEW_STREAMS = 16
IS_ASKED_AGAIN = os.environ.get("AGAIN", "1") != "0"
ENGINES = (("v1", "dc-a"), ("v1", "dc-b"), ("v2", "dc-b"), ("v2", "dc-c"))


async def play(deployment: kit.Deployment) -> str:
    store, record = deployment.store, deployment.record
    options = {"store": store, "record": record, "service": "engines"}
    await deployment.start()
    engines = []
    for number, (version, zone) in enumerate(ENGINES):
        server_id = f"e-{number + 1}"
        engine = kit.Server(server_id, zone=zone, version=version, slots=64, **options)
        engine.events = 60
        engines.append(await engine.start())
    await asyncio.sleep(1.5)

    async def ask(name: str, question: str, instance: int, **headers) -> kit.Answer:
        return await deployment.connect(instance).send(
            name,
            "/draft/1",
            body=f'{{"question": "{question}"}}'.encode(),
            X_Model_Name="m",
            X_Token_Count="400,400",
            X_Prompt_Prefix=f"aa:200,{question}:200",
            **headers,
        )

    async def ask_and_take_up(number: int) -> kit.Answer | None:
        """Return the answer to the second try; None if the first was whole."""
        answer = await ask(f"a-{number}", f"{number:x}", 0)
        events = answer.events
        if answer.is_whole or not events:
            return None
        await asyncio.sleep(0.3)
        return await ask(
            f"c-{number}",
            f"{number:x}",
            1 + number % 2,
            Last_Event_Id=str(events[-1][0]),
            Resumes=f"a-{number}",
        )

    first = [asyncio.create_task(ask_and_take_up(each)) for each in range(PAIRS)]
    await asyncio.sleep(0.5)
    second = [
        asyncio.create_task(ask(f"b-{each}", f"{each:x}", 1 + each % 2))
        for each in range(PAIRS if IS_ASKED_AGAIN else 0)
    ]
    await asyncio.sleep(1.5)
    if kit.DISTURBED:
        record.add("SIGKILL to", deployment.instances[0].name)
        deployment.instances[0].send_signal(signal.SIGKILL)
    await asyncio.sleep(0.5)
    new = [
        asyncio.create_task(ask(f"n-{each}", f"f{each:x}", 1 + each % 2))
        for each in range(NEW_STREAMS)
    ]
    taken_up = [each for each in await asyncio.gather(*first) if each is not None]
    begun = sum(bool(each.events) for each in await asyncio.gather(*new))
    await asyncio.gather(*second)
    for engine in engines:
        await engine.end()
    went_on = sum(bool(each.events) for each in taken_up)
    record.add(f"{went_on} of {len(taken_up)} streams that were taken up went on")
    record.add(f"{begun} of {NEW_STREAMS} new streams began")
    if len(taken_up) >= 12 and went_on / len(taken_up) < 0.5 * begun / NEW_STREAMS:
        return (
            f"LOST: {went_on} of {len(taken_up)} streams that were taken up went on, "
            f"{begun} of {NEW_STREAMS} new streams began"
        )
    return ""


kit.run(str(FOLDER), play)
