"""Send a second copy of an answer "not run", late, on a connection that is in use again.

Engines serve live streams, which may run once at most, beside a trainer's batches. While an engine
loads weights it rejects items, and the connections of these rejections are used again.
"""

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402
from standins.http11 import Connection, Message  # noqa: E402
from standins.platform import ID, Replica  # noqa: E402

MODEL = "daka510000"
STEPS = 20
STEP_S = 4.0
ITEMS = 12
SLOTS = 8
LIVE_PERIOD_S = 0.5
LIVE_BURST = 16
MAX_EXTRA_SHARE = 0.03
NOT_RUN = b"x-acaciarill-not-run"


class FaultyReplica(Replica):
    """Send a few rejections twice: the copy comes when the next answer is due."""

    spoils = False
    extras = 0
    answers = 0

    async def before_answer(self, request: Message, connection: Connection) -> None:
        """Send the copy of the rejection that this connection carried before."""
        self.answers += 1
        is_repeat = NOT_RUN in connection.last_answer.lower()
        is_live = request.target.startswith("/g/")
        if self.spoils and is_repeat and is_live and self.extras < MAX_EXTRA_SHARE * self.answers:
            self.extras += 1
            self.note("extra answer", replica=self.name, while_running=request.headers.get(ID))
            connection.writer.write(connection.last_answer)

    async def reject(self, request: Message, connection: Connection) -> None:
        """Answer that the request is not run."""
        self.answers += 1
        await super().reject(request, connection)


def configuration() -> dict[str, object]:
    """Return a configuration with live streams and rollouts at one service of engines."""
    routes = [
        d.route(
            "rollouts",
            "/b/",
            "rollout",
            "engines",
            timeout_ms=10000,
            result_deadline_ms=7500,
            max_queue_s=40,
            max_attempts=3,
        ),
        d.route("live", "/g/", "stream", "engines", timeout_ms=5000, max_attempts=1),
        d.route("scores", "/s/", "safe", "scorer", public=True, max_attempts=4),
    ]
    services = [d.engine_service("engines", SLOTS, MODEL), d.plain_service("scorer")]
    return d.configuration(7, routes, services)


async def train(world: d.Deployment) -> None:
    """Name a version and submit its step, every few seconds."""
    for step in range(2, STEPS + 2):
        world.store.put("versions", MODEL, {"model": MODEL, "version": step})
        world.note("version named", version=step)
        items = [
            d.item(f"i{step}x{n}", f"g{step}x{n // 4}", MODEL, "/b/", "/s/") for n in range(ITEMS)
        ]
        batch = {
            "step": step,
            "model": MODEL,
            "min_version": step - 1,
            "desired": 4,
            "items": items,
        }
        name = f"batch{step:04d}"
        headers = {"X-Acaciarill-Attempt-Id": name}
        await world.send(1, "POST", f"/b/{name}", headers, json.dumps(batch).encode())
        await asyncio.sleep(STEP_S)
        await world.send(2, "DELETE", f"/lots/{name}")


async def play(world: d.Deployment) -> list[str]:
    """Return the live streams that ran although the answer says that they did not."""
    first = FaultyReplica(
        f"{world.network}.40", world.store, world.note, "i-1", "engines", "a", SLOTS
    )
    second = world.replica("i-2", "engines", SLOTS)
    scorer = world.replica("i-score", "scorer", 6)
    for engine in (first, second):
        engine.models[MODEL] = 1
        engine.event_s = 0.04
        engine.event_count = lambda request_id: 5 if request_id.startswith("live") else 20
    await world.start([first, second, scorer], configuration())
    await asyncio.sleep(4.0)  # longer than contact_ms: all machines are in touch
    first.spoils = d.trouble()
    statuses: dict[str, int | None] = {}

    async def send_live(number: int) -> None:
        name = f"live{number:04d}"
        headers = {
            "X-Acaciarill-Attempt-Id": name,
            "X-Acaciarill-Deadline-Ms": "4000",
            "X-Acaciarill-Model": MODEL,
            "X-Acaciarill-Token-Count": "16,100",
            "X-Acaciarill-Prompt-Prefix": "5d07b8:16",
        }
        front = 1 + number % 2
        answer = await world.send(front, "POST", f"/g/{name}", headers, b"prompt", 5.0)
        statuses[name] = None if answer is None else answer.status

    trainer = asyncio.ensure_future(train(world))
    live = []
    while not trainer.done():
        live += [asyncio.ensure_future(send_live(len(live) + n)) for n in range(LIVE_BURST)]
        await asyncio.sleep(LIVE_PERIOD_S)
    await trainer
    await asyncio.gather(*live)
    runs = Counter(run[0] for engine in (first, second) for run in engine.runs)
    world.note("the faulty replica", answers=first.answers, extra=first.extras)
    if d.trouble() and not first.extras:
        raise d.NotRunError("no connection of a rejection was used again by a live stream")
    return [
        f"REFUSED: {name} was answered {status} and has run"
        for name, status in statuses.items()
        if status in (429, 503, 408, 421) and runs[name]
    ]


d.run_case(FOLDER, play)
