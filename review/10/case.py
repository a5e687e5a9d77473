"""Remove the route of the reward calls for some seconds while a step is under way."""

import asyncio
import base64
import json
import os
import sys
from pathlib import Path
from typing import Any

from review.standins2.deployment import (
    CouldNotRunError,
    Deployment,
    configuration,
    route,
    run_case,
)
from review.standins2.http1 import call
from review.standins2.replica import Engine, Replica

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the case does the same without the disruption."""
KEY = "key-of-kaje80"
BATCH = "7c41e09b52d6a3f8"
GROUPS, ITEMS_A_GROUP = 4, 4
REMOVED_AFTER_S, RESTORED_AFTER_S = 0.5, 4.0
READ_FOR_S = 14.0
MAX_QUEUE_S = 40
ROUTES = [
    route(
        "r-rollout",
        "/rollout/",
        "rollout",
        "ledger-llm",
        timeout_ms=10_000,
        result_deadline_ms=7500,
        max_queue_s=MAX_QUEUE_S,
    ),
    route("r-reward", "/reward/", "safe", "portal", public=True, max_attempts=4),
]


def submission() -> bytes:
    """Return the body of a step of a trainer."""
    items = []
    for number in range(GROUPS * ITEMS_A_GROUP):
        headers = {
            "X-Acaciarill-Model": "daka510000",
            "X-Acaciarill-Token-Count": "64,200",
            "X-Acaciarill-Prompt-Prefix": f"9c2e41:48,5d07b{number:02x}:16",
        }
        scorer = {
            "id": f"40c8f1a7b3e926{number:02x}",
            "hostname": "desk.example",
            "path": f"/reward/{number}",
            "body": base64.b64encode(b"reward").decode(),
        }
        item = {
            "id": f"e5b2907c14da6f{number:02x}",
            "path": f"/rollout/3/{number}",
            "headers": headers,
            "body": base64.b64encode(f"prompt {number}".encode()).decode(),
            "tokens": 264,
            "group": f"g{number // ITEMS_A_GROUP}",
            "scorer_url": scorer,
        }
        items.append(item)
    step = {"step": 0, "model": "daka510000", "min_version": 1, "desired": GROUPS}
    return json.dumps(step | {"items": items}).encode()


async def read_results(deployment: Deployment) -> list[dict[str, Any]]:
    """Read the results as a trainer does, until all are there or some time has passed."""
    headers = {
        "Host": "desk.example",
        "Authorization": f"Bearer {KEY}",
        "X-Acaciarill-Wait-Ms": "1000",
    }
    results: list[dict[str, Any]] = []
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + READ_FOR_S
    while loop.time() < give_up_at and len(results) < GROUPS * ITEMS_A_GROUP:
        target = f"/lots/{BATCH}?after={len(results)}"
        answer = await call(deployment.fronts[0].front, "GET", target, headers)
        if answer is not None and answer.status == 200:
            new = json.loads(answer.body)["results"]
            for result in new:
                deployment.note("listed", position=len(results), **result)
                results.append(result)
        await asyncio.sleep(0.3)
    return results


async def case(deployment: Deployment) -> bool:
    engines = [
        Engine(deployment.store, f"e-{n}", "ledger-llm", "alm-a", "daka510000") for n in range(2)
    ]
    portals = [Replica(deployment.store, f"i-{n}", "portal", "alm-a") for n in range(2)]
    for replica in [*engines, *portals]:
        await replica.start("127.0.0.1")
        replica.register()
    tenants = [{"name": "kaje80", "api_keys": [KEY], "priority": 1}]
    deployment.configure(configuration(3, ROUTES, tenants))
    await deployment.start_daemons()
    headers = {
        "Host": "desk.example",
        "Authorization": f"Bearer {KEY}",
        "X-Acaciarill-Attempt-Id": BATCH,
        "Content-Type": "application/json",
    }
    front = deployment.fronts[0].front
    answer = await call(front, "POST", "/rollout/7c41e0", headers, submission())
    if answer is None or answer.status != 202:
        raise CouldNotRunError("the batch submission was not accepted")
    deployment.note("accepted", batch=BATCH)
    reading = asyncio.create_task(read_results(deployment))
    if deployment.trouble:
        await asyncio.sleep(REMOVED_AFTER_S)
        deployment.configure(configuration(5, ROUTES[:1], tenants))
        await asyncio.sleep(RESTORED_AFTER_S)
        deployment.configure(configuration(8, ROUTES, tenants))
    results = await reading
    for run in sorted((r for e in [*engines, *portals] for r in e.ran), key=lambda run: run["at"]):
        deployment.note("ran", **run)
    errored = [result["id"] for result in results if result["state"] == "errored"]
    completed = [result["id"] for result in results if result["state"] == "completed"]
    deployment.note("summary", listed=len(results), completed=completed, errored=errored)
    if not deployment.trouble and len(completed) < GROUPS * ITEMS_A_GROUP:
        raise CouldNotRunError("not all items were completed without the disruption")
    return bool(errored)


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    sys.exit(asyncio.run(run_case(Deployment(folder, TROUBLE), case)))
