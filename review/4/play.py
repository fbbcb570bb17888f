"""One entry in the list of servers can't be read; then the servers are replaced."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from rig import answer_after, main, make_configuration, make_entry, send  # noqa: E402

UNREADABLE = b"[" * 4000  # 4,000 of the 65,536 bytes that a row may have; no JSON value
DRAIN_S = 2.0
LINGER_S = (
    4.0  # a server goes on for `drainMs` and a little longer (at times many seconds)
)
CONTACT_S = 3.0


async def play(rig, has_trouble):
    work = answer_after(0.03)
    old = [await rig.add_server(f"i-old{number}", "app", work) for number in (1, 2, 3)]
    await rig.start(2, make_configuration(7))
    await rig.wait_ready()
    await asyncio.sleep(CONTACT_S)
    statuses = []
    is_over = asyncio.Event()

    async def ask():
        number = 0
        while not is_over.is_set():
            number += 1
            instance = rig.instances[number % 2]
            answer = await send(
                instance.listen["frontend"], "POST", "/once/charge", f"a{number:05d}",
                rig.record, body=b"charge",
            )  # fmt: skip
            statuses.append((time.monotonic(), answer.status))
            await asyncio.sleep(0.05)

    asking = asyncio.ensure_future(ask())
    await asyncio.sleep(1.0)
    if has_trouble:
        rig.record("another writer puts an entry that can't be read")
        rig.store.put_bytes("servers", "other-writer", UNREADABLE)
    await asyncio.sleep(2.0)
    for number in (4, 5, 6):
        await rig.add_server(f"i-new{number}", "app", work)
    await asyncio.sleep(1.0)
    for server in old:
        entry = make_entry(server, "app", state="draining", sequence=2)
        rig.store.put("servers", server.name, entry)
    draining_at = time.monotonic()
    rig.record("the old servers report draining; the store has acknowledged it")
    await asyncio.sleep(LINGER_S)
    for server in old:
        rig.store.drop("servers", server.name)
        server.close()
    ended_at = time.monotonic()
    rig.record("the old servers have ended and are removed from the list")
    await asyncio.sleep(4.0)
    is_over.set()
    await asking
    second = rig.instances[1]
    rig.record(second.name, "is killed and started again")
    second.signal(signal.SIGKILL)
    await second.process.wait()
    await second.start()
    is_ready = False
    for _ in range(100):
        is_ready = is_ready or await second.is_ready()
        if is_ready:
            break
        await asyncio.sleep(0.1)
    rig.record(
        second.name, "is ready" if is_ready else "is not ready 10 s after its start"
    )
    after = [status for at, status in statuses if at > ended_at + DRAIN_S]
    served = after.count(200)
    rig.record(
        f"{served} of {len(after)} requests served once the old servers are gone"
    )
    broken = []
    for server in old:
        late = [at - draining_at for at, _ in server.ran if at > draining_at + DRAIN_S]
        if late:
            broken.append(
                f"DRAIN: {len(late)} requests reached {server.name} later than drainMs "
                f"after it was draining, the last one {late[-1]:.2f} s after"
            )
    return broken


main(play, str(pathlib.Path(__file__).parent))
