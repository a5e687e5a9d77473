"""Measure the service of other customers while one sends ten times its fair share of requests.

Compares runs with and without fair shares: the share of the worst-served other customer's requests
that complete within the latency limit of 2 s, and the durations of the others' requests.
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

OTHER_CUSTOMERS = ["filers", "grants-desk", "archive", "treasury"]
HEAVY_CUSTOMER = "audit-office"
SLOTS, MAX_TOKENS = 4, 96
GENERATION_S = 0.48
LATENCY_LIMIT_S = 2.0
CAPACITY_PER_S = 4 * SLOTS / GENERATION_S
EQUAL_SHARE = CAPACITY_PER_S / (len(OTHER_CUSTOMERS) + 1)
OTHER_RATE_PER_S = 0.8 * EQUAL_SHARE
HEAVY_RATE_PER_S = 10 * EQUAL_SHARE


@dataclass(slots=True)
class CustomerResult:
    """Hold the number of one customer's requests and the durations of the completed ones."""

    request_count: int = 0
    durations_s: list[float] = field(default_factory=list)

    def count_in_time(self) -> int:
        """Return the number of requests that completed within the latency limit."""
        return sum(seconds <= LATENCY_LIMIT_S for seconds in self.durations_s)


def equal_shares_config() -> str:
    raw = tomllib.loads(example_config("almaty"))
    for customer in raw["almaty"]["customers"]:
        customer["share"] = 1.0
    for upstream in raw["almaty"]["upstreams"]:
        if upstream["kind"] == "engine":
            upstream["slots"] = SLOTS
    return tomli_w.dumps(raw)


def set_engine_batch_size(fleet: Fleet) -> None:
    """Limit the batch size of each engine to its number of slots."""
    for number in range(4):
        body = {"kind": "set_faults", "batch_size": SLOTS}
        url = f"http://127.0.0.1:{fleet.base_port + 20 + number}/orders"
        httpx.post(url, json=body, trust_env=False)


async def _send_at_rate(
    client: Client,
    fleet: Fleet,
    name: str,
    rate: float,
    daemon_count: int,
    seconds: float,
    result: CustomerResult,
) -> None:
    """Send requests as a Poisson process (open loop), whether or not earlier ones have finished."""
    rng = random.Random(name)
    end = time.monotonic() + seconds

    async def send_one() -> None:
        daemon = rng.choice(fleet.daemons[:daemon_count])
        key = f"{name}-sample"
        call = await client.generate(daemon.callers, "/almaty/ledger", key, MAX_TOKENS)
        if call.status == 200 and not call.connection_failed:
            result.durations_s.append(call.ended_at - call.sent_at)

    async with anyio.create_task_group() as task_group:
        while time.monotonic() < end:
            result.request_count += 1
            task_group.start_soon(send_one)
            await anyio.sleep(rng.expovariate(rate))


def run(weakening: str, heavy_daemons: int, seconds: float) -> dict[str, CustomerResult]:
    """Return each customer's result; the heavy one uses `heavy_daemons` daemons or is absent."""
    results = {name: CustomerResult() for name in (*OTHER_CUSTOMERS, HEAVY_CUSTOMER)}

    async def send_traffic(fleet: Fleet) -> None:
        client = Client(History(), 1)
        async with anyio.create_task_group() as task_group:
            for name in OTHER_CUSTOMERS:
                task_group.start_soon(
                    _send_at_rate, client, fleet, name, OTHER_RATE_PER_S, 3, seconds, results[name]
                )
            if heavy_daemons:
                task_group.start_soon(
                    _send_at_rate,
                    client,
                    fleet,
                    HEAVY_CUSTOMER,
                    HEAVY_RATE_PER_S,
                    heavy_daemons,
                    seconds,
                    results[HEAVY_CUSTOMER],
                )
        await client.http.aclose()

    data_centres = ["almaty-1", "almaty-2", "almaty-3"]
    with running_fleet(equal_shares_config(), data_centres, weakening=weakening) as fleet:
        set_engine_batch_size(fleet)
        anyio.run(send_traffic, fleet)
    return results


@click.command()
@click.option("--seconds", default=20.0, show_default=True)
def main(seconds: float) -> None:
    """Print one row per run."""
    print(f"capacity about {CAPACITY_PER_S:.1f} requests/s; 4 others send {OTHER_RATE_PER_S:.1f},")
    print(f"the large customer sends {HEAVY_RATE_PER_S:.1f}; {seconds:.0f} s each\n")
    print("| run | worst other, within 2 s | others' p50, s | others' p99, s | all in time, 1/s |")
    print("| --- | --- | --- | --- | --- |")
    for label, weakening, heavy_daemons in (
        ("others alone", "", 0),
        ("large one at one daemon", "", 1),
        ("large one at all", "", 3),
        ("no fair share, at one", "fair-share", 1),
        ("no fair share, at all", "fair-share", 3),
    ):
        results = run(weakening, heavy_daemons, seconds)
        others = [results[name] for name in OTHER_CUSTOMERS]
        worst = min(outcome.count_in_time() / outcome.request_count for outcome in others)
        durations = [value for outcome in others for value in outcome.durations_s]
        in_time_rate = sum(outcome.count_in_time() for outcome in results.values()) / seconds
        p50, p99 = np.percentile(durations, [50, 99])
        print(f"| {label} | {worst:.2f} | {p50:.2f} | {p99:.2f} | {in_time_rate:.1f} |", flush=True)


if __name__ == "__main__":
    main()
