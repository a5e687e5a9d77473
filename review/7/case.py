"""Partition the front machine from all replicas while a stream without a length is under way."""

import asyncio
import os
import sys
import time
from pathlib import Path

from review.standins2.deployment import (
    CouldNotRunError,
    Deployment,
    configuration,
    route,
    run_case,
)
from review.standins2.http1 import call
from review.standins2.proxy import Proxy
from review.standins2.replica import Replica

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the case does the same without the disruption."""
KEY = "key-of-kaje80"
EVENTS, INTERVAL_MS = 20, 400
CUT_AFTER_S, CUT_S = 2.5, 4.0
TIME_LIMIT_MS = 20_000
STREAMS = 240
REPLICAS, UNFRAMED_REPLICAS = 4, 2
UNFRAMED_EVERY = 50
"""One answer in 50 of half of the replicas has no length."""


async def stream(deployment: Deployment, name: str) -> bool:
    """Ask for a stream; return whether it ended as complete before its last event."""
    headers = {
        "Host": "desk.example",
        "X-Acaciarill-Attempt-Id": name,
        "X-Acaciarill-Deadline-Ms": str(TIME_LIMIT_MS),
        "Authorization": f"Bearer {KEY}",
    }
    front = deployment.fronts[0]
    target = f"/notes/events/{EVENTS}/{INTERVAL_MS}/{name}"
    answer = await call(front.front, "POST", target, headers, b"note", TIME_LIMIT_MS / 1000)
    if answer is None:
        deployment.note("no answer", id=name)
        return False
    events = [part for part in answer.body.decode().split("\n\n") if part]
    ids = [int(event.split("\n")[0].removeprefix("id: ")) for event in events if "id: " in event]
    is_success = answer.status == 200 and answer.complete
    is_short = is_success and ids[-1:] != [EVENTS - 1]
    deployment.note(
        "answered as complete, but short" if is_short else "answered",
        id=name,
        status=answer.status,
        stamp=answer.get("x-acaciarill-server-stamp"),
        framing=answer.get("transfer-encoding") or answer.get("content-length"),
        ends_as_complete=answer.complete,
        events=len(events),
        last_event=ids[-1:],
        of=EVENTS,
    )
    return is_short


async def case(deployment: Deployment) -> bool:
    replicas = [Replica(deployment.store, f"i-{n}", "notes", "alm-a") for n in range(REPLICAS)]
    proxies = []
    for number, replica in enumerate(replicas):
        replica.slots = STREAMS // REPLICAS
        replica.unframed_every = UNFRAMED_EVERY if number < UNFRAMED_REPLICAS else 0
        await replica.start("127.0.0.1")
        proxy = Proxy(replica.address)
        proxy.start("127.0.0.1")
        proxies.append(proxy)
        replica.register(proxy.address)
    routes = [
        route(
            "r-notes",
            "/notes/",
            "stream",
            "notes",
            timeout_ms=TIME_LIMIT_MS,
            resumable=True,
            max_attempts=4,
        )
    ]
    tenants = [{"name": "kaje80", "api_keys": [KEY], "priority": 1}]
    deployment.configure(configuration(3, routes, tenants))
    await deployment.start_daemons()
    streams = [
        asyncio.create_task(stream(deployment, f"stream-{number}")) for number in range(STREAMS)
    ]
    await asyncio.sleep(CUT_AFTER_S)
    if not any(replica.ran for replica in replicas):
        raise CouldNotRunError("no stream reached a replica")
    if deployment.trouble:
        deployment.note("cut from all replicas", at=time.time())
        for proxy in proxies:
            await proxy.cut()
        await asyncio.sleep(CUT_S)
        for proxy in proxies:
            proxy.heal()
        deployment.note("healed", at=time.time())
    short = await asyncio.gather(*streams)
    for run in [run for replica in replicas for run in replica.ran]:
        deployment.note("ran", **run)
    deployment.note(
        "summary",
        streams=STREAMS,
        short_but_complete=sum(short),
        answers_without_length=[name for replica in replicas for name in replica.unframed_ids],
    )
    return any(short)


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    sys.exit(asyncio.run(run_case(Deployment(folder, TROUBLE, keepers=0), case)))
