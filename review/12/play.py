"""Streams of a split route are taken up after a change of weights and a loss."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
import kit  # noqa: E402

SERVICES = 2  # among which the route is split, each with two servers
WEIGHTS = (90, 10)
CHANGED_WEIGHTS = (10, 90)
STREAMS = 36
NEW_STREAMS = 16


def make_configuration(version: int, weights: tuple[int, ...]) -> dict:
    """Return a configuration whose route of streams is split by weights."""
    configuration = kit.make_configuration(version)
    route = configuration["routes"][0]
    del route["service"]
    names = [f"engines-{each + 1}" for each in range(SERVICES)]
    route["trafficSplit"] = [
        {"service": name, "weight": weight}
        for name, weight in zip(names, weights, strict=True)
    ]
    engine = configuration["services"][0]
    configuration["services"][:1] = [{**engine, "name": each} for each in names]
    return configuration


async def play(deployment: kit.Deployment) -> str:
    store, record = deployment.store, deployment.record
    await deployment.start(make_configuration(1, WEIGHTS))
    engines = []
    for number in range(2 * SERVICES):
        service = number // 2 + 1
        engine = kit.Server(
            f"e-{number + 1}",
            store=store,
            record=record,
            service=f"engines-{service}",
            zone=("dc-a", "dc-b")[number % 2],
            version=f"v{service}",
            slots=64,
        )
        engine.events = 100
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

    first = [asyncio.create_task(ask_and_take_up(each)) for each in range(STREAMS)]
    await asyncio.sleep(1.0)
    record.add("the operator changes the weights from", WEIGHTS, "to", CHANGED_WEIGHTS)
    store.put("op", "config", make_configuration(2, CHANGED_WEIGHTS))
    await asyncio.sleep(2.5)  # longer than `configApplyMs`
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
