"""Measure the control traffic of a daemon against the number of active target-customer pairs.

Clients of several customers send slow requests to a plain service through all daemons of three data
centres, so that the demand of each pair changes continuously.
"""

import random
import tempfile
import time
from pathlib import Path

import anyio
import click
import numpy as np
import tomli_w

from bench.slopes import DATA_CENTRES, FIRST_UPSTREAM_PORT, WARM_UP_S, fit_line
from tests.fakes.fleet import Fleet
from tests.proofs.history import Client, History

DIGEST = "928410162b20fdc0d721e287e3083f1252aefaf73fc0af678f5940a2d7dbfdd6"
"""SHA-256 digest of the sample secret."""
REQUEST_DURATION_RANGE_S = (0.5, 3.0)
REQUEST_RATE_PER_S = 60.0
CUSTOMERS = 32


def make_config() -> str:
    """Return a configuration of one plain service in three data centres, and its customers."""
    names = [f"c{number}" for number in range(CUSTOMERS)]
    section = {
        "customers": [{"name": name, "share": 1} for name in names],
        "keys": [{"id": f"{c}-sample", "customer": c, "digest": DIGEST} for c in names],
        "services": [{"name": "s"}],
        "upstreams": [
            {
                "name": f"s{number}",
                "serves": "s",
                "kind": "plain",
                "data_centre": DATA_CENTRES[number],
                "address": f"127.0.0.1:{FIRST_UPSTREAM_PORT + number}",
                "slots": 400,
            }
            for number in range(3)
        ],
        "routes": [{"path": "/s", "target": "s"}],
    }
    return tomli_w.dumps({"bench": section})


async def _send_requests(fleet: Fleet, pairs: int, seconds: float) -> None:
    client, rng = Client(History(), 1), random.Random(1)
    end = time.monotonic() + seconds
    async with anyio.create_task_group() as task_group:
        while time.monotonic() < end:
            daemon = rng.choice(fleet.daemons)
            key = f"c{rng.randrange(pairs)}-sample"
            path = f"/s?delay_s={rng.uniform(*REQUEST_DURATION_RANGE_S):.2f}"
            task_group.start_soon(client.call, daemon.callers, path, key)
            await anyio.sleep(rng.expovariate(REQUEST_RATE_PER_S))
    await client.http.aclose()
    failed = sum(call.status != 200 for call in client.history.calls)
    if failed:
        print(f"    {failed} of {len(client.history.calls)} requests failed")


def _control_bytes(fleet: Fleet) -> list[tuple[int, bool]]:
    statuses = [daemon.status() for daemon in fleet.daemons]
    return [(status["control_bytes"], status["relay"]) for status in statuses]


def measure(pairs: int, daemons: int, seconds: float) -> dict[str, list[float]]:
    """Return the control bytes per second of each daemon, by role."""
    data_centres = [DATA_CENTRES[number % 3] for number in range(daemons)]
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(make_config(), data_centres, Path(folder), port_count=1200)
        try:
            time.sleep(WARM_UP_S)
            before, started = _control_bytes(fleet), time.monotonic()
            if pairs:
                anyio.run(_send_requests, fleet, pairs, seconds)
            else:
                time.sleep(seconds)
            elapsed_s = time.monotonic() - started
            rates: dict[str, list[float]] = {"relay": [], "entry": []}
            for (bytes_before, _), (bytes_after, relay) in zip(
                before, _control_bytes(fleet), strict=True
            ):
                rates["relay" if relay else "entry"].append(
                    (bytes_after - bytes_before) / elapsed_s
                )
            return rates
        finally:
            fleet.stop()


@click.command()
@click.option("--daemons", default=30, show_default=True)
@click.option("--pairs", default="0,8,16,32", show_default=True)
@click.option("--seconds", default=15.0, show_default=True)
def main(daemons: int, pairs: str, seconds: float) -> None:
    """Print the mean and the maximum of each role, and a linear fit of the relays' mean."""
    sizes = [int(part) for part in pairs.split(",")]
    print(f"{daemons} daemons in 3 data centres, {REQUEST_RATE_PER_S:.0f} requests/s")
    print("| active pairs | relay, mean | relay, most | entry, mean | entry, most |")
    print("| --- | --- | --- | --- | --- |")
    relays = []
    for size in sizes:
        rates = measure(size, daemons, seconds)
        relays.append(float(np.mean(rates["relay"])))
        cells = [
            f"{aggregate(rates[role]):.0f}"
            for role in ("relay", "entry")
            for aggregate in (np.mean, max)
        ]
        print(f"| {size} | " + " | ".join(cells) + " |", flush=True)
    print(f"relay, B/s: {fit_line(sizes, relays, CUSTOMERS)}")


if __name__ == "__main__":
    main()
