"""Write an entry with unreadable bytes among the entries of replicas."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402

MODEL = "daka510000"
ITEMS = 12
SLOTS = 2
EVENTS = 40
TRAINER_LIMIT_S = 12.0
LEFT_ALONE_S = 5.0
CONTACT_S = 3.0
MIN_RUN_S = 1.0


def configuration() -> dict[str, object]:
    """Return a configuration with rollouts at one service of engines."""
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
        d.route("scores", "/s/", "safe", "scorer", public=True, max_attempts=4),
    ]
    services = [d.engine_service("engines", SLOTS, MODEL), d.plain_service("scorer")]
    return d.configuration(7, routes, services)


async def play(world: d.Deployment) -> list[str]:
    """Return the items that no replica had for LEFT_ALONE_S when the step ran out of time."""
    engines = [world.replica(f"i-{n}", "engines", SLOTS) for n in (1, 2)]
    scorer = world.replica("i-score", "scorer", 6)
    for engine in engines:
        engine.models[MODEL] = 1
        engine.event_count = lambda request_id: EVENTS
    await world.start([*engines, scorer], configuration())
    await asyncio.sleep(4.0)  # longer than contact_ms: all machines are in touch
    items = [d.item(f"item{n:04d}", f"g{n // 4}", MODEL, "/b/", "/s/") for n in range(ITEMS)]
    batch = {"step": 1, "model": MODEL, "min_version": 0, "desired": 2, "items": items}
    begun_at = time.monotonic()
    headers = {"X-Acaciarill-Attempt-Id": "batch0001"}
    answer = await world.send(1, "POST", "/b/batch0001", headers, json.dumps(batch).encode())
    if answer is None or answer.status != 202:
        raise d.NotRunError("the batch was not accepted")
    await asyncio.sleep(1.0)
    written_at = time.monotonic()
    if d.trouble():
        entry = world.store.kinds["servers"]["i-1"]["spec"]
        unreadable = b"\xf1\x9e7.\x81.1.4:8080".decode(errors="replace")
        world.store.put("servers", "i-other", entry | {"address": unreadable})
        world.note("entry of another writer", address=ascii(unreadable))
    listed = await world.read_results("batch0001", ITEMS, begun_at + TRAINER_LIMIT_S)
    ended_at = time.monotonic()
    await world.send(1, "DELETE", "/lots/batch0001")
    world.note("listed", count=len(listed), of=ITEMS)
    if not any(engine.runs for engine in engines):
        raise d.NotRunError("no item of the step had begun")
    broken = []
    taken = sum(engine.busy for engine in engines)
    for item in items:
        if item["id"] in listed:
            continue
        left = max(engine.left_at(item["id"], MIN_RUN_S) for engine in engines)
        # Steady state begins contact_ms after the entry was written.
        alone_s = ended_at - max(left, written_at + CONTACT_S)
        if alone_s >= LEFT_ALONE_S and taken < len(engines) * SLOTS / 2:
            broken.append(
                f"LOST: {item['id']} was at no replica for {alone_s:.1f} s of steady state when its"
                f" step ran out of time, with {taken} of {len(engines) * SLOTS} slots taken"
            )
    return broken


d.run_case(FOLDER, play)
