"""Measure useful work at twice the capacity, and how fast it is normal again afterwards.

Customers with equal shares ask for twice what the engines carry, with a deadline; then for half of
it. Useful is what ends whole within the deadline.
"""

import random
import time

import anyio
import click
import httpx
import numpy as np

from bench.fairness import (
    BIG,
    CAPACITY,
    OTHERS,
    SLOTS,
    TOKENS,
    equal_shares_config,
    limit_engines,
)
from tests.fakes.fleet import Fleet, running_fleet
from tests.proofs.history import Call, Client, History

DEADLINE_MS = 2_000
BUCKET_S = 1.0
ENGINES = ("ledger-1", "ledger-2", "ledger-3", "ledger-4")
"""Processes of their own, so that no engine's token clock waits for another."""
CALM_SHARE = 0.5


async def _offer(client: Client, fleet: Fleet, rate: float, seconds: float) -> None:
    rng = random.Random(int(rate))
    end = time.monotonic() + seconds

    async def one() -> None:
        key = f"{rng.choice([*OTHERS, BIG])}-sample"
        daemon = rng.choice(fleet.daemons)
        headers = {"x-deadline-ms": str(DEADLINE_MS)}
        await client.generate(daemon.callers, "/almaty/ledger", key, TOKENS, headers=headers)

    async with anyio.create_task_group() as task_group:
        while time.monotonic() < end:
            task_group.start_soon(one)
            await anyio.sleep(rng.expovariate(rate))


async def _capacity(fleet: Fleet, seconds: float = 6.0) -> float:
    """Return the requests a second of full engines, asked directly by twice their slots."""
    ended: list[float] = []
    body = {"prompt": "p", "max_tokens": TOKENS, "stream": True}

    async def ask(client: httpx.AsyncClient, number: int, name: str) -> None:
        url = f"http://127.0.0.1:{fleet.base_port + 20 + number}/generate"
        while True:
            headers = {"x-request-id": f"{name}-{len(ended)}"}
            (await client.post(url, json=body, headers=headers)).raise_for_status()
            ended.append(time.monotonic())

    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as task_group:
                for number in range(4):
                    for place in range(2 * SLOTS):
                        task_group.start_soon(ask, client, number, f"direct-{number}-{place}")
    later = [moment for moment in ended if moment > ended[0] + 1.0]
    return (len(later) - 1) / (later[-1] - later[0])


def _useful(calls: list[Call]) -> list[Call]:
    limit_s = DEADLINE_MS / 1000 + 0.2
    return [
        call
        for call in calls
        if call.status == 200
        and not call.connection_failed
        and 0 < call.ended_at - call.sent_at <= limit_s
    ]


def _made(records: list[dict], start: float, end: float) -> str:
    """Return the requests' worth of tokens that engines made a second, whole and abandoned."""
    tokens = {"generated": 0, "abandoned": 0}
    for record in records:
        if start <= record["t"] < end:
            tokens[record["event"]] += sum(span["tokens"] for span in record["spans"])
    return " | ".join(f"{count / TOKENS / (end - start):.1f}" for count in tokens.values())


@click.command()
@click.option("--seconds", default=15.0, show_default=True)
def main(seconds: float) -> None:
    """Print useful work under overload, and the durations in each second after it."""
    history = History()
    marks: list[float] = []
    capacity: list[float] = []

    async def drive(fleet: Fleet) -> None:
        client = Client(history, 1)
        capacity.append(await _capacity(fleet))
        for rate in (CALM_SHARE * CAPACITY, 2 * CAPACITY, CALM_SHARE * CAPACITY):
            marks.append(time.monotonic())
            with anyio.move_on_after(seconds):
                await _offer(client, fleet, rate, seconds)
        marks.append(time.monotonic())
        await client.http.aclose()

    places = ["almaty-1", "almaty-2", "almaty-3"]
    with running_fleet(equal_shares_config(), places, ENGINES) as fleet:
        limit_engines(fleet)
        anyio.run(drive, fleet)
        made = [r for r in fleet.records("ledger-*") if r["event"] in ("generated", "abandoned")]
    useful = _useful(history.calls)
    print(
        f"full engines do {capacity[0]:.1f} requests/s, by their token clock {CAPACITY:.1f}; "
        f"{seconds:.0f} s at half, twice, half of the latter"
    )
    print("| phase | asked, 1/s | useful, 1/s | p50, s | p99, s | refused | engines | abandoned |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for label, start, end in zip(("half", "twice", "half again"), marks, marks[1:], strict=False):
        asked = [call for call in history.calls if start <= call.sent_at < end]
        done = [call for call in useful if start <= call.ended_at < end]
        p50, p99 = np.percentile([call.ended_at - call.sent_at for call in done], [50, 99])
        refused = sum(call.status in (429, 503, 504) for call in asked)
        span = end - start
        print(
            f"| {label} | {len(asked) / span:.1f} | {len(done) / span:.1f} "
            f"| {p50:.2f} | {p99:.2f} | {refused} | {_made(made, start, end)} |"
        )
    print("p50 in each second after the load fell:", end=" ")
    for number in range(int(seconds / BUCKET_S)):
        start = marks[2] + number * BUCKET_S
        seen = [c.ended_at - c.sent_at for c in useful if 0 <= c.sent_at - start < BUCKET_S]
        print(f"{np.median(seen):.2f}" if seen else "-", end=" ")
    print()


if __name__ == "__main__":
    main()
