"""Measure what control costs a daemon against the active pairs of target and customer.

Callers of so many customers hold requests at a plain service through all daemons of three data
centres, so that the demand of each pair changes all the time.
"""

import random
import tempfile
import time
from pathlib import Path

import anyio
import click
import numpy as np
import tomli_w

from bench.slopes import DATA_CENTRES, FIRST_UPSTREAM_PORT, SETTLE_S, fit
from tests.fakes.fleet import Fleet
from tests.proofs.history import Client, History

DIGEST = "928410162b20fdc0d721e287e3083f1252aefaf73fc0af678f5940a2d7dbfdd6"
"""SHA-256 of the sample secret."""
HELD_S = (0.5, 3.0)
REQUESTS_A_SECOND = 60.0
CUSTOMERS = 32


def make_config() -> str:
    """Return a configuration of one plain service in three data centres and many customers."""
    names = [f"c{number}" for number in range(CUSTOMERS)]
    section = {
        "customers": [{"name": name, "share": 1} for name in names],
        "keys": [{"id": f"{n}-sample", "customer": n, "digest": DIGEST} for n in names],
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


async def _load(fleet: Fleet, pairs: int, seconds: float) -> None:
    client, rng = Client(History(), 1), random.Random(1)
    end = time.monotonic() + seconds
    async with anyio.create_task_group() as task_group:
        while time.monotonic() < end:
            daemon = rng.choice(fleet.daemons)
            key = f"c{rng.randrange(pairs)}-sample"
            path = f"/s?delay_s={rng.uniform(*HELD_S):.2f}"
            task_group.start_soon(client.call, daemon.callers, path, key)
            await anyio.sleep(rng.expovariate(REQUESTS_A_SECOND))
    await client.http.aclose()
    failed = sum(call.status != 200 for call in client.history.calls)
    if failed:
        print(f"    {failed} of {len(client.history.calls)} calls failed")


def _bytes(fleet: Fleet) -> list[tuple[int, bool]]:
    found = [daemon.status() for daemon in fleet.daemons]
    return [(status["control_bytes"], status["relay"]) for status in found]


def measure(pairs: int, daemons: int, seconds: float) -> dict[str, list[float]]:
    """Return the control bytes a second of each daemon, by role."""
    places = [DATA_CENTRES[number % 3] for number in range(daemons)]
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(make_config(), places, Path(folder), port_count=1200)
        try:
            time.sleep(SETTLE_S)
            before, started = _bytes(fleet), time.monotonic()
            if pairs:
                anyio.run(_load, fleet, pairs, seconds)
            else:
                time.sleep(seconds)
            spent = time.monotonic() - started
            rates: dict[str, list[float]] = {"relay": [], "entry": []}
            for (first, _), (last, relay) in zip(before, _bytes(fleet), strict=True):
                rates["relay" if relay else "entry"].append((last - first) / spent)
            return rates
        finally:
            fleet.stop()


@click.command()
@click.option("--daemons", default=30, show_default=True)
@click.option("--pairs", default="0,8,16,32", show_default=True)
@click.option("--seconds", default=15.0, show_default=True)
def main(daemons: int, pairs: str, seconds: float) -> None:
    """Print the mean and the highest of each role, and a fit of the relays' mean."""
    sizes = [int(part) for part in pairs.split(",")]
    print(f"{daemons} daemons in 3 data centres, {REQUESTS_A_SECOND:.0f} requests/s")
    print("| active pairs | relay, mean | relay, most | entry, mean | entry, most |")
    print("| --- | --- | --- | --- | --- |")
    relays = []
    for size in sizes:
        rates = measure(size, daemons, seconds)
        relays.append(float(np.mean(rates["relay"])))
        cells = [f"{f(rates[role]):.0f}" for role in ("relay", "entry") for f in (np.mean, max)]
        print(f"| {size} | " + " | ".join(cells) + " |", flush=True)
    print(f"relay, B/s: {fit(sizes, relays, CUSTOMERS)}")


if __name__ == "__main__":
    main()
