"""Stop the holder of the duties, and a second later the machine that took them over."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from review.standins2.deployment import (
    BOUNDS,
    CouldNotRunError,
    Daemon,
    Deployment,
    configuration,
    route,
    run_case,
)
from review.standins2.replica import Replica

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the case does the same without the disruption."""
GAP_S = 1.3
"""Time between the two SIGTERMs."""
RESTART_DELAY_S = 0.1
"""Delay with which the platform starts a process again after it has ended."""
WARM_UP_S = 8.0
FRONT_DELAY_S = 3.0
"""The front machine is added later, so that the other one holds the duties first."""
ROUNDS, REST_S = 4, 6.0
"""Rolling restarts, and the time after each of them."""
LEASE_S = BOUNDS["lease_ms"] / 1000


async def stop_and_start(deployment: Deployment, daemon: Daemon) -> None:
    """Send SIGTERM, and start the process again once it has ended, as the platform does."""
    deployment.note("SIGTERM", daemon=daemon.name)
    daemon.signal(signal.SIGTERM)
    while not daemon.has_ended():  # noqa: ASYNC110
        await asyncio.sleep(0.02)
    await asyncio.sleep(RESTART_DELAY_S)
    daemon.start()
    deployment.note("started again", daemon=daemon.name)


async def wait_for_act(deployment: Deployment, daemon: Daemon) -> None:
    """Wait until a daemon performs a duty."""
    calls = deployment.duty_api.calls
    seen = len(calls)
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + WARM_UP_S
    while len(calls) == seen:
        if loop.time() > give_up_at:
            raise CouldNotRunError("no duty was performed")
        await asyncio.sleep(0.005)
    if calls[-1].holder != daemon.name:
        raise CouldNotRunError("the machine without requesters does not hold the duties")


def acts_of(deployment: Deployment) -> list[tuple[float, str, int]]:
    """Return the calls of the duty of usage, all of whose windows form one subject."""
    calls = deployment.duty_api.calls
    return [(call.at, call.holder, call.fence) for call in calls if call.target == "/usage"]


def find_turns(calls: list[tuple[float, str, int]]) -> list[tuple[float, str, int]]:
    """Return the first three calls of holders in the order A, B, A within the lease, if any."""
    for first, (first_at, first_holder, _) in enumerate(calls):
        for second in range(first + 1, len(calls)):
            if calls[second][1] == first_holder:
                continue
            for third in calls[second + 1 :]:
                if third[1] == first_holder and third[0] - first_at < LEASE_S:
                    return [calls[first], calls[second], third]
    return []


async def case(deployment: Deployment) -> bool:
    replica = Replica(deployment.store, "i-0", "desk", "alm-a")
    await replica.start("127.0.0.1")
    replica.register()
    tenants = [{"name": "kaje80", "api_keys": ["key-of-kaje80"], "priority": 1}]
    routes = [route("r-desk", "/desk/", "safe", "desk")]
    deployment.configure(configuration(3, routes, tenants))
    await deployment.start_daemons(FRONT_DELAY_S)
    calls = deployment.duty_api.calls
    keeper = deployment.daemons[-1]
    await asyncio.sleep(WARM_UP_S)
    for _ in range(ROUNDS):
        await wait_for_act(deployment, keeper)
        if deployment.trouble:
            first = asyncio.create_task(stop_and_start(deployment, keeper))
            await asyncio.sleep(GAP_S)
            second = asyncio.create_task(stop_and_start(deployment, deployment.fronts[0]))
            await asyncio.gather(first, second)
        await asyncio.sleep(REST_S)
        if find_turns(acts_of(deployment)):
            break
    for call in calls:
        deployment.note("duty call", **call.as_fields())
    acts = acts_of(deployment)
    turns = find_turns(acts)
    deployment.note("summary", calls=len(acts), turns=turns, lease_s=LEASE_S, now=time.time())
    if turns:
        deployment.note("holders took turns", within_s=round(turns[2][0] - turns[0][0], 3))
    return bool(turns)


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    case_deployment = Deployment(folder, TROUBLE, require_fencing=False)
    sys.exit(asyncio.run(run_case(case_deployment, case)))
