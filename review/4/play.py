"""The instance of a stream is killed while its session has the same prompt open twice."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from rig import Channel, CouldNotRun, main, make_configuration, stream_events  # noqa: E402

EVENTS = 130
PROMPT = {"X-Token-Count": "8200,300", "X-Prompt-Prefix": "5c1e07a2:200,91bd3f06:8000"}
BODY = b"Draft the decision on dossier 4711."
WAIT_S = 10.0


class Caller:
    """A caller that goes on at another instance when its channel is broken."""

    def __init__(self, name, model, rig):
        self.model, self.rig = model, rig
        self.name = name
        self.attempts = []
        self.body = b""
        self.is_complete = False

    @property
    def position(self):
        ids = [line[4:] for line in self.body.split(b"\n") if line.startswith(b"id: ")]
        return ids[-1].decode() if ids else None

    def read(self, data):
        self.body += data

    async def ask(self, instances):
        for number, instance in enumerate(instances, 1):
            attempt = f"{self.name}{number}"
            self.attempts.append(attempt)
            headers = {**PROMPT, "X-Model-Name": self.model}
            if self.position is not None:
                headers["Last-Event-Id"] = self.position
            channel = Channel(instance.listen["frontend"], self.rig.record)
            answer = await channel.request(
                "POST", "/stream/draft", attempt, body=BODY, deadline_ms=25000,
                headers=headers, on_data=self.read,
            )  # fmt: skip
            channel.close()
            if answer.is_complete and answer.status == 200:
                self.is_complete = True
                return
            if answer.status not in (0, 200):
                return

    async def reach(self, position):
        for _ in range(int(WAIT_S / 0.02)):
            if int(self.position or 0) >= position:
                return
            await asyncio.sleep(0.02)
        raise CouldNotRun(f"stream {self.name} did not begin")


async def play(rig, has_trouble):
    copies = {}
    for number in range(1, 5):
        work = stream_events(EVENTS, copies=copies)
        zone = "sala-a" if number < 3 else "sala-b"
        await rig.add_server(f"i-llm{number}", "llm", work, zone, slots=96)
    configuration = make_configuration(7)
    for service in configuration["services"]:
        if service["name"] == "llm":
            service["engine"]["models"] = [{"name": "m"}, {"name": "n"}]
    await rig.start(3, configuration)
    await rig.wait_ready()
    await asyncio.sleep(2.0)
    edge1, edge2, edge3 = rig.instances
    first = Caller("a", "m", rig)
    second = Caller("b", "n", rig)
    asked = [asyncio.ensure_future(first.ask([edge1, edge3]))]
    await first.reach(5)
    asked.append(asyncio.ensure_future(second.ask([edge2])))
    await second.reach(25)
    if has_trouble:
        rig.record("SIGKILL to", edge1.name)
        edge1.signal(signal.SIGKILL)
    await asyncio.gather(*asked)
    broken = []
    for server in rig.servers:
        for _, request in server.ran:
            attempt, source = (
                request.headers["x-attempt-id"],
                request.headers.get("kv-from"),
            )
            run = (source or "").rpartition("/")[2]
            own = first.attempts if attempt in first.attempts else second.attempts
            if run and run not in own:
                broken.append(
                    f"MIXED: {attempt} (model {request.headers['x-model-name']}) went on "
                    f"at {server.name} from the memory of {run}"
                )
    for caller in (first, second):
        wrong = [
            line for line in caller.body.split(b"\n")
            if line.startswith(b"data: ") and line.split()[2].decode() != caller.model
        ]  # fmt: skip
        if wrong:
            broken.append(
                f"MIXED: the caller of {caller.attempts} asked model {caller.model} and "
                f"got {len(wrong)} events of another, from {wrong[0].decode()!r} on"
            )
        if not has_trouble and not caller.is_complete:
            raise CouldNotRun(f"stream {caller.name} did not end")
    return broken


main(play, str(pathlib.Path(__file__).parent))
