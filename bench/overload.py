"""Measure goodput at twice the capacity, and the recovery time afterwards.

Customers with equal shares send requests with a deadline at twice the capacity of the engines, then
at half of it. Goodput counts requests that complete within the deadline.
"""

import random
import time

import anyio
import click
import httpx
import numpy as np

from bench.fairness import (
    CAPACITY_PER_S,
    HEAVY_CUSTOMER,
    MAX_TOKENS,
    OTHER_CUSTOMERS,
    SLOTS,
    equal_shares_config,
    set_engine_batch_size,
)
from tests.fakes.fleet import Fleet, running_fleet
from tests.proofs.history import Call, Client, History

DEADLINE_MS = 2_000
WINDOW_S = 1.0
ENGINES = ("ledger-1", "ledger-2", "ledger-3", "ledger-4")
"""Engines in separate processes, so that no engine delays the token clock of another."""
LOW_LOAD_FACTOR = 0.5


async def _send_at_rate(client: Client, fleet: Fleet, rate: float, seconds: float) -> None:
    rng = random.Random(int(rate))
    end = time.monotonic() + seconds

    async def send_one() -> None:
        key = f"{rng.choice([*OTHER_CUSTOMERS, HEAVY_CUSTOMER])}-sample"
        daemon = rng.choice(fleet.daemons)
        headers = {"x-deadline-ms": str(DEADLINE_MS)}
        await client.generate(daemon.callers, "/almaty/ledger", key, MAX_TOKENS, headers=headers)

    async with anyio.create_task_group() as task_group:
        while time.monotonic() < end:
            task_group.start_soon(send_one)
            await anyio.sleep(rng.expovariate(rate))


async def _measure_capacity(fleet: Fleet, seconds: float = 6.0) -> float:
    """Return the requests per second of saturated engines, called directly by twice their slots."""
    end_times: list[float] = []
    body = {"prompt": "p", "max_tokens": MAX_TOKENS, "stream": True}

    async def send_back_to_back(client: httpx.AsyncClient, number: int, name: str) -> None:
        url = f"http://127.0.0.1:{fleet.base_port + 20 + number}/generate"
        while True:
            headers = {"x-request-id": f"{name}-{len(end_times)}"}
            (await client.post(url, json=body, headers=headers)).raise_for_status()
            end_times.append(time.monotonic())

    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as task_group:
                for number in range(4):
                    for worker in range(2 * SLOTS):
                        task_group.start_soon(
                            send_back_to_back, client, number, f"direct-{number}-{worker}"
                        )
    steady_state = [end_time for end_time in end_times if end_time > end_times[0] + 1.0]
    return (len(steady_state) - 1) / (steady_state[-1] - steady_state[0])


def _completed_in_time(calls: list[Call]) -> list[Call]:
    deadline_s = DEADLINE_MS / 1000 + 0.2
    return [
        call
        for call in calls
        if call.status == 200
        and not call.connection_failed
        and 0 < call.ended_at - call.sent_at <= deadline_s
    ]


def _token_rates(records: list[dict], start: float, end: float) -> str:
    """Return the generated tokens per second in units of requests: completed, abandoned."""
    tokens = {"generated": 0, "abandoned": 0}
    for record in records:
        if start <= record["t"] < end:
            tokens[record["event"]] += sum(span["tokens"] for span in record["spans"])
    return " | ".join(f"{count / MAX_TOKENS / (end - start):.1f}" for count in tokens.values())


@click.command()
@click.option("--seconds", default=15.0, show_default=True)
def main(seconds: float) -> None:
    """Print the goodput under overload, and the median duration in each second after it."""
    history = History()
    phase_starts: list[float] = []
    capacity: list[float] = []

    async def send_traffic(fleet: Fleet) -> None:
        client = Client(history, 1)
        capacity.append(await _measure_capacity(fleet))
        for rate in (
            LOW_LOAD_FACTOR * CAPACITY_PER_S,
            2 * CAPACITY_PER_S,
            LOW_LOAD_FACTOR * CAPACITY_PER_S,
        ):
            phase_starts.append(time.monotonic())
            with anyio.move_on_after(seconds):
                await _send_at_rate(client, fleet, rate, seconds)
        phase_starts.append(time.monotonic())
        await client.http.aclose()

    data_centres = ["almaty-1", "almaty-2", "almaty-3"]
    with running_fleet(equal_shares_config(), data_centres, ENGINES) as fleet:
        set_engine_batch_size(fleet)
        anyio.run(send_traffic, fleet)
        records = [r for r in fleet.records("ledger-*") if r["event"] in ("generated", "abandoned")]
    completed = _completed_in_time(history.calls)
    print(
        f"full engines do {capacity[0]:.1f} requests/s, by their token clock {CAPACITY_PER_S:.1f}; "
        f"{seconds:.0f} s at half, twice, half of the latter"
    )
    print("| phase | asked, 1/s | useful, 1/s | p50, s | p99, s | refused | engines | abandoned |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for label, start, end in zip(
        ("half", "twice", "half again"), phase_starts, phase_starts[1:], strict=False
    ):
        sent = [call for call in history.calls if start <= call.sent_at < end]
        phase_completed = [call for call in completed if start <= call.ended_at < end]
        p50, p99 = np.percentile(
            [call.ended_at - call.sent_at for call in phase_completed], [50, 99]
        )
        refused = sum(call.status in (429, 503, 504) for call in sent)
        phase_s = end - start
        print(
            f"| {label} | {len(sent) / phase_s:.1f} | {len(phase_completed) / phase_s:.1f} "
            f"| {p50:.2f} | {p99:.2f} | {refused} | {_token_rates(records, start, end)} |"
        )
    print("p50 in each second after the load fell:", end=" ")
    for number in range(int(seconds / WINDOW_S)):
        start = phase_starts[2] + number * WINDOW_S
        durations = [c.ended_at - c.sent_at for c in completed if 0 <= c.sent_at - start < WINDOW_S]
        print(f"{np.median(durations):.2f}" if durations else "-", end=" ")
    print()


if __name__ == "__main__":
    main()
