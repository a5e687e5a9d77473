"""Define the report, constants and helpers that the scenarios share."""

import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
import httpx

from tests.fakes.fleet import Fleet
from tests.proofs.history import Client, History

FILINGS, LEDGER, LOOKUP = "/almaty/filings/x", "/almaty/ledger", "/almaty/lookup"
ALMATY = ["almaty-1", "almaty-2", "almaty-3"]
PORTALS = ("portal-1", "portal-2", "portal-3")
STALENESS_BOUND = 2
"""Maximum age of a delivered sample, in weight versions."""


@dataclass(slots=True)
class Report:
    """Hold the size of a scenario's run, the violations of each guarantee and the costs."""

    scenario: str
    failures: int
    operations: int
    violations: dict[str, list[str]]
    costs: dict[str, float] = field(default_factory=dict)


def control_costs(fleet: Fleet) -> dict[str, float]:
    """Return the control traffic of a run: store calls, peak watches, bytes per daemon."""
    url = fleet.platform_url("object_api")
    counts = httpx.get(url + "/counts", trust_env=False).json()
    peak_watches = httpx.get(url + "/watches", trust_env=False).json()["most"]
    seconds = time.monotonic() - fleet.started_at
    costs = {
        "store calls": sum(counts.values()),
        "peak open watches": peak_watches.get("config/state/", 0),
    }
    with suppress(httpx.HTTPError):
        sent = [daemon.status()["control_bytes"] for daemon in fleet.daemons]
        costs["control bytes per daemon and second"] = round(sum(sent) / len(sent) / seconds)
    return costs


Scenario = Callable[[int, str], Report]


def run_workload(seed: int, work: Callable[[Client], Awaitable[None]]) -> History:
    """Run a workload with a new client and return its history."""
    history = History()

    async def run() -> None:
        client = Client(history, seed)
        try:
            await work(client)
        finally:
            await client.http.aclose()

    anyio.run(run)
    return history
