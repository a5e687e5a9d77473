"""Lose an engine for good in the middle of texts that must come from one weight version."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402

MODEL = "daka510000"
ITEMS = 8
SLOTS = 8
EVENTS = 60
EVENT_S = 0.08
CRASH_AFTER_S = 2.5
TRAINER_LIMIT_S = 12.0
LEFT_ALONE_S = 5.0
CONTACT_S = 3.0


def configuration() -> dict[str, object]:
    """Return a configuration whose rollouts must come from one weight version each."""
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
            single_version=True,
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
        engine.event_s = EVENT_S
        engine.event_count = lambda request_id: EVENTS
    await world.start([*engines, scorer], configuration())
    await asyncio.sleep(4.0)  # longer than contact_ms: all machines are in touch
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    begun_at = time.monotonic()
    world.note("version named", version=2)
    items = [d.item(f"item{n:04d}", f"g{n // 4}", MODEL, "/b/", "/s/") for n in range(ITEMS)]
    batch = {"step": 2, "model": MODEL, "min_version": 1, "desired": 2, "items": items}
    headers = {"X-Acaciarill-Attempt-Id": "batch0002"}
    answer = await world.send(1, "POST", "/b/batch0002", headers, json.dumps(batch).encode())
    if answer is None or answer.status != 202:
        raise d.NotRunError("the batch was not accepted")

    crashed_at = 0.0
    crash = None

    async def lose_old_engine() -> None:
        nonlocal crashed_at
        await asyncio.sleep(CRASH_AFTER_S)
        old = [engine for engine in engines if engine.models[MODEL] == 1 and engine.busy]
        if len(old) == 1:
            crashed_at = time.monotonic()
            await old[0].crash_for_good()

    if d.trouble():
        crash = asyncio.ensure_future(lose_old_engine())
    listed = await world.read_results("batch0002", ITEMS, begun_at + TRAINER_LIMIT_S)
    ended_at = time.monotonic()
    await world.send(1, "DELETE", "/lots/batch0002")
    if crash is not None:
        await crash
        if not crashed_at:
            raise d.NotRunError("there was no engine with texts of version 1 to lose")
    broken = []
    sound = [engine for engine in engines if engine.alive]
    for item in items:
        if item["id"] in listed:
            continue
        left = max(engine.left_at(item["id"]) for engine in engines)
        # Steady state begins contact_ms after the loss.
        alone_s = ended_at - max(left, crashed_at + CONTACT_S)
        taken = sum(engine.busy for engine in sound)
        if alone_s >= LEFT_ALONE_S and taken < len(sound) * SLOTS / 2:
            broken.append(
                f"LOST: {item['id']} was at no replica for {alone_s:.1f} s of steady state when its"
                f" step ran out of time, with {taken} of {len(sound) * SLOTS} slots taken"
            )
    world.note("listed", count=len(listed), of=ITEMS)
    return broken


d.run_case(FOLDER, play)
