"""Measure what other customers get while one asks for ten times its share.

Compares fair shares over all daemons with none, in one run: what the worst-served other customer
gets whole within a patience of 2 s, and the durations of the others' requests.
"""

import random
import time
import tomllib
from dataclasses import dataclass, field

import anyio
import click
import httpx
import numpy as np
import tomli_w

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs.history import Client, History

OTHERS = ["filers", "grants-desk", "archive", "treasury"]
BIG = "audit-office"
SLOTS, TOKENS = 4, 96
GENERATION_S = 0.48
PATIENCE_S = 2.0
CAPACITY = 4 * SLOTS / GENERATION_S
SHARE = CAPACITY / (len(OTHERS) + 1)
OTHERS_RATE = 0.8 * SHARE
BIG_RATE = 10 * SHARE


@dataclass(slots=True)
class Served:
    """Hold the durations of one customer's whole answers, and what it asked for."""

    asked: int = 0
    seconds: list[float] = field(default_factory=list)

    def in_time(self) -> int:
        """Return how many answers came within the patience."""
        return sum(seconds <= PATIENCE_S for seconds in self.seconds)


def equal_shares_config() -> str:
    raw = tomllib.loads(example_config("almaty"))
    for customer in raw["almaty"]["customers"]:
        customer["share"] = 1.0
    for upstream in raw["almaty"]["upstreams"]:
        if upstream["kind"] == "engine":
            upstream["slots"] = SLOTS
    return tomli_w.dumps(raw)


def limit_engines(fleet: Fleet) -> None:
    """Make each engine run as many at once as its slots say."""
    for number in range(4):
        body = {"kind": "set_faults", "batch_size": SLOTS}
        url = f"http://127.0.0.1:{fleet.base_port + 20 + number}/orders"
        httpx.post(url, json=body, trust_env=False)


async def _offer(
    client: Client, fleet: Fleet, name: str, rate: float, places: int, seconds: float, out: Served
) -> None:
    """Send requests at random times, whether or not earlier ones have ended."""
    rng = random.Random(name)
    end = time.monotonic() + seconds

    async def one() -> None:
        daemon = rng.choice(fleet.daemons[:places])
        key = f"{name}-sample"
        call = await client.generate(daemon.callers, "/almaty/ledger", key, TOKENS)
        if call.status == 200 and not call.connection_failed:
            out.seconds.append(call.ended_at - call.sent_at)

    async with anyio.create_task_group() as task_group:
        while time.monotonic() < end:
            out.asked += 1
            task_group.start_soon(one)
            await anyio.sleep(rng.expovariate(rate))


def run(weakening: str, big_places: int, seconds: float) -> dict[str, Served]:
    """Return what each customer got; the big one enters at so many daemons, 0 for none."""
    served = {name: Served() for name in (*OTHERS, BIG)}

    async def drive(fleet: Fleet) -> None:
        client = Client(History(), 1)
        async with anyio.create_task_group() as task_group:
            for name in OTHERS:
                task_group.start_soon(
                    _offer, client, fleet, name, OTHERS_RATE, 3, seconds, served[name]
                )
            if big_places:
                task_group.start_soon(
                    _offer, client, fleet, BIG, BIG_RATE, big_places, seconds, served[BIG]
                )
        await client.http.aclose()

    places = ["almaty-1", "almaty-2", "almaty-3"]
    with running_fleet(equal_shares_config(), places, weakening=weakening) as fleet:
        limit_engines(fleet)
        anyio.run(drive, fleet)
    return served


@click.command()
@click.option("--seconds", default=20.0, show_default=True)
def main(seconds: float) -> None:
    """Print one row for each run."""
    print(f"capacity about {CAPACITY:.1f} requests/s; 4 others ask for {OTHERS_RATE:.1f} each,")
    print(f"the large customer for {BIG_RATE:.1f}; {seconds:.0f} s each\n")
    print("| run | worst other, within 2 s | others' p50, s | others' p99, s | all in time, 1/s |")
    print("| --- | --- | --- | --- | --- |")
    for label, weakening, big_places in (
        ("others alone", "", 0),
        ("large one at one daemon", "", 1),
        ("large one at all", "", 3),
        ("no fair share, at one", "fair-share", 1),
        ("no fair share, at all", "fair-share", 3),
    ):
        served = run(weakening, big_places, seconds)
        others = [served[name] for name in OTHERS]
        worst = min(part.in_time() / part.asked for part in others)
        every = [value for part in others for value in part.seconds]
        whole = sum(part.in_time() for part in served.values()) / seconds
        p50, p99 = np.percentile(every, [50, 99])
        print(f"| {label} | {worst:.2f} | {p50:.2f} | {p99:.2f} | {whole:.1f} |", flush=True)


if __name__ == "__main__":
    main()
