"""Take both API keys away, and send requests with them and with one that never existed."""

import asyncio
import os
import sys
import time
from pathlib import Path

from review.standins2.deployment import (
    BOUNDS,
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
KEYS = {"kaje80": "key-of-kaje80", "vopu11": "key-of-vopu11"}
UNKNOWN_KEY = "key-that-no-configuration-held"
REQUESTS = 10
GAP_S = 0.4
"""Time between the two withdrawals."""


def tenants(keys: dict[str, str]) -> list[dict[str, object]]:
    """Return all tenants with the keys that are left."""
    return [
        {"name": name, "api_keys": [keys[name]] if name in keys else [], "priority": 1}
        for name in KEYS
    ]


async def send(deployment: Deployment, name: str, key: str) -> int:
    """Send one request with a key; return the status of its answer, 0 without one."""
    front = deployment.fronts[0]
    headers = {
        "Host": "desk.example",
        "X-Acaciarill-Attempt-Id": name,
        "X-Acaciarill-Deadline-Ms": "2000",
        "Authorization": f"Bearer {key}",
    }
    answer = await call(front.front, "POST", "/desk/look", headers, b"look")
    status = 0 if answer is None else answer.status
    deployment.note("sent", id=name, key=key, status=status)
    return status


async def case(deployment: Deployment) -> bool:
    replicas = [Replica(deployment.store, f"i-{n}", "desk", "alm-a") for n in range(2)]
    for replica in replicas:
        await replica.start("127.0.0.1")
        replica.register()
    routes = [route("r-desk", "/desk/", "safe", "desk")]
    deployment.configure(configuration(3, routes, tenants(KEYS)))
    await deployment.start_daemons()
    for name, key in KEYS.items():
        if await send(deployment, f"warm-up-{name}", key) != 200:
            raise CouldNotRunError("a proper request was not served")
    if deployment.trouble:
        deployment.configure(configuration(5, routes, tenants({"vopu11": KEYS["vopu11"]})))
        await asyncio.sleep(GAP_S)
        deployment.configure(configuration(8, routes, tenants({})))
        # `config_ms` is over well before the requests below are sent.
        await asyncio.sleep(2 * BOUNDS["config_ms"] / 1000)
    deployment.note("requests begin", at=time.time())
    withdrawn, unknown = [], []
    for number in range(REQUESTS):
        key = list(KEYS.values())[number % len(KEYS)]
        withdrawn.append(await send(deployment, f"withdrawn-{number}", key))
        unknown.append(await send(deployment, f"unknown-{number}", UNKNOWN_KEY))
    ran = [run for replica in replicas for run in replica.ran]
    for run in ran:
        deployment.note("ran", **run)
    ran_unknown = [run for run in ran if run["id"].startswith("unknown-")]
    ran_withdrawn = [run for run in ran if run["id"].startswith("withdrawn-")]
    deployment.note(
        "summary",
        status_with_keys_of_the_tenants=withdrawn,
        status_with_unknown_key=unknown,
        ran_with_unknown_key=len(ran_unknown),
        ran_with_keys_of_the_tenants=len(ran_withdrawn),
    )
    return bool(ran_unknown) or (deployment.trouble and bool(ran_withdrawn))


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    sys.exit(asyncio.run(run_case(Deployment(folder, TROUBLE), case)))
