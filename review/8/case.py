"""Send requests that carry a header of the requester's own, `X-Request-Id`."""

import asyncio
import os
import sys
from pathlib import Path

from review.standins2.deployment import (
    CouldNotRunError,
    Deployment,
    configuration,
    route,
    run_case,
)
from review.standins2.http1 import call
from review.standins2.replica import Replica

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the case does the same without the disruption."""
KEY = "key-of-kaje80"
REQUESTS = 10


async def send(deployment: Deployment, number: int, path: str) -> str:
    """Send one request; return its id."""
    front = deployment.fronts[0]
    request_id = f"attempt-{path.strip('/')}-{number}"
    trace = {"X-Request-Id": f"trace-{path.strip('/')}-{number}"} if deployment.trouble else {}
    headers = {
        "Host": "desk.example",
        **trace,
        "X-Acaciarill-Attempt-Id": request_id,
        "X-Acaciarill-Deadline-Ms": "2000",
        "Authorization": f"Bearer {KEY}",
    }
    answer = await call(front.front, "POST", f"{path}line", headers, b"one line")
    deployment.note(
        "sent",
        headers=headers,
        status=answer.status if answer else None,
        stamp=answer.get("x-acaciarill-server-stamp") if answer else None,
    )
    return request_id


async def case(deployment: Deployment) -> bool:
    replicas = [Replica(deployment.store, f"i-{n}", "desk", "alm-a") for n in range(3)]
    for replica in replicas:
        await replica.start("127.0.0.1")
        replica.register()
    routes = [
        route("r-once", "/once/", "unsafe", "desk"),
        route("r-safe", "/safe/", "safe", "desk"),
    ]
    tenants = [{"name": "kaje80", "api_keys": [KEY], "priority": 1}]
    deployment.configure(configuration(3, routes, tenants))
    await deployment.start_daemons()
    sent_ids = {
        await send(deployment, number, path)
        for number in range(REQUESTS)
        for path in ("/once/", "/safe/")
    }
    runs = [run for replica in replicas for run in replica.ran]
    for run in runs:
        deployment.note("ran", **run)
    if not runs:
        raise CouldNotRunError("no request reached a replica")
    unasked = [run["id"] for run in runs if run["id"] not in sent_ids]
    deployment.note("summary", sent=len(sent_ids), ran=len(runs), ran_unasked=len(unasked))
    return bool(unasked)


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    sys.exit(asyncio.run(run_case(Deployment(folder, TROUBLE), case)))
