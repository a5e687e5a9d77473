"""Freeze a store machine while a batch ends whose incomplete group comes again in the next."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402
from standins.platform import Replica  # noqa: E402

MODEL = "daka510000"
SLOTS = 4
EVENT_S = 0.05
TRAIN_S = 0.5
FREEZE_S = 3.2
TRAINER_LIMIT_S = 12.0
SHORT, LONG = 5, 30
ROUNDS = 5
CATCH_UP_S = 4.3


class Calls:
    """Decide how long the texts are."""

    live_ends = False

    def event_count(self, request_id: str) -> int:
        """Return the number of events of a text."""
        if request_id.startswith("live"):
            return 1 if self.live_ends else 1000
        return SHORT if request_id.startswith(("first", "done")) else LONG


def configuration() -> dict[str, object]:
    """Return a configuration with rollouts and live streams at one service of engines."""
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
        d.route("live", "/g/", "stream", "engines", timeout_ms=20000),
        d.route("scores", "/s/", "safe", "scorer", public=True, max_attempts=4),
    ]
    services = [d.engine_service("engines", SLOTS, MODEL), d.plain_service("scorer")]
    return d.configuration(7, routes, services)


async def submit(world: d.Deployment, front: int, step: int, groups: list[str]) -> str:
    """Submit the batch of a step, which allows the version before its own; return its id."""
    items = [
        d.item(f"{group}x{n}", group, MODEL, "/b/", "/s/") for group in groups for n in range(4)
    ]
    batch = {
        "step": step,
        "model": MODEL,
        "min_version": step - 1,
        "desired": max(1, len(groups) - 1),
        "items": items,
    }
    name = f"step{step:04d}"
    headers = {"X-Acaciarill-Attempt-Id": name}
    answer = await world.send(front, "POST", f"/b/{name}", headers, json.dumps(batch).encode())
    if answer is None or answer.status != 202:
        raise d.NotRunError(f"batch {name} was not accepted")
    return name


async def send_live(world: d.Deployment, front: int, name: str) -> None:
    """Send a live stream."""
    headers = {
        "X-Acaciarill-Attempt-Id": name,
        "X-Acaciarill-Deadline-Ms": "15000",
        "X-Acaciarill-Model": MODEL,
        "X-Acaciarill-Token-Count": "16,900",
        "X-Acaciarill-Prompt-Prefix": "5d07b8:16",
    }
    await world.send(front, "POST", f"/g/{name}", headers, b"prompt", 16.0)


async def freeze_keeper(world: d.Deployment) -> None:
    """Freeze the store machine and thaw it again."""
    daemon = world.daemons["store-a-1"]
    world.note("store-a-1 frozen")
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    daemon.send_signal(signal.SIGCONT)
    world.note("store-a-1 thawed")


async def play_round(
    world: d.Deployment, engines: list[Replica], fronts: tuple[int, int], number: int, calls: Calls
) -> list[str]:
    """Play two steps with a freeze at the end of the first; return the results too old."""
    owner_front, other_front = fronts
    version = engines[0].models[MODEL]
    # Live streams take all slots but one, so one engine keeps its version for now.
    calls.live_ends = False
    live = [
        asyncio.ensure_future(send_live(world, owner_front, f"live{number}x{n}"))
        for n in range(2 * SLOTS - 1)
    ]
    await asyncio.sleep(0.3)
    world.store.put("versions", MODEL, {"model": MODEL, "version": version + 1})

    async def one_is_loaded() -> bool:
        return sorted(engine.models[MODEL] for engine in engines) == [version, version + 1]

    await world.until("one engine has the new version", one_is_loaded, 5.0)
    done, late = f"done{number}", f"late{number}"
    name = await submit(world, other_front, version + 1, [done, late])
    results = await world.read_results(name, 4, time.monotonic() + TRAINER_LIMIT_S)
    if len(results) < 4:
        raise d.NotRunError("the group that the trainer waits for was not complete")
    freeze = asyncio.ensure_future(freeze_keeper(world)) if d.trouble() else None
    await world.send(other_front, "DELETE", f"/lots/{name}")
    await asyncio.sleep(TRAIN_S)
    world.store.put("versions", MODEL, {"model": MODEL, "version": version + 2})
    world.note("version named", version=version + 2)
    # The group that was not complete comes again.
    name = await submit(world, other_front, version + 2, [late, f"next{number}"])
    calls.live_ends = True
    results = await world.read_results(name, 8, time.monotonic() + TRAINER_LIMIT_S, other_front)
    if freeze is not None:
        await freeze
    await world.send(other_front, "DELETE", f"/lots/{name}")
    await asyncio.gather(*live)

    async def all_are_loaded() -> bool:
        return all(engine.models[MODEL] == version + 2 for engine in engines)

    await world.until("all engines have the new version", all_are_loaded, 10.0)
    await asyncio.sleep(CATCH_UP_S)
    return [
        f"VERSION: {result['id']} has versions {result['versions']}, min_version is {version + 1}"
        for result in results.values()
        if result["state"] == "completed" and min(result["versions"]) < version + 1
    ]


async def play(world: d.Deployment) -> list[str]:
    """Return the results with a version under their batch's `min_version`."""
    engines = [world.replica(f"i-{n}", "engines", SLOTS) for n in (1, 2)]
    scorer = world.replica("i-score", "scorer", 6)
    calls = Calls()
    for engine in engines:
        engine.models[MODEL] = 1
        engine.event_s = EVENT_S
        engine.event_count = calls.event_count
    await world.start([*engines, scorer], configuration())
    await asyncio.sleep(3.5)  # longer than contact_ms: all machines are in touch
    name = await submit(world, 1, 1, ["first"])
    await world.read_results(name, 4, time.monotonic() + TRAINER_LIMIT_S)
    await world.send(1, "DELETE", f"/lots/{name}")
    owner = world.store.kinds["batches"][name]["spec"]["owner"]
    fronts = (1, 2) if owner == "front-a-1" else (2, 1)
    broken = []
    for number in range(ROUNDS):
        broken += await play_round(world, engines, fronts, number, calls)
        world.note("round ends", number=number, broken=len(broken))
    return broken


d.run_case(FOLDER, play)
