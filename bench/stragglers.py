"""Measure a step's time and wasted tokens with and without second attempts.

Two in a hundred generations are ten times slower; in half of the runs an engine is killed mid-step.
"""

import statistics
import time

import anyio
import click
import httpx

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs.history import Client, History, run_step

GROUPS, SIZE = 32, 8
SLOW_SHARE = 0.02
KILL_AFTER_S = 0.8
ENGINES = ("ledger-1", "ledger-2", "ledger-3", "ledger-4")


def _slow_down(fleet: Fleet) -> None:
    for number in range(len(ENGINES)):
        url = f"http://127.0.0.1:{fleet.base_port + 20 + number}/orders"
        body = {"kind": "set_faults", "slow_share": SLOW_SHARE}
        httpx.post(url, json=body, trust_env=False)


def run(weakening: str, kill: bool, seed: int) -> tuple[float, float]:
    """Return a step's seconds, and the share of generated tokens that nobody received."""
    places = ["almaty-1", "almaty-2", "almaty-3"]
    with running_fleet(example_config("almaty"), places, ENGINES, weakening) as fleet:
        _slow_down(fleet)
        history = History()

        async def kill_one() -> None:
            await anyio.sleep(KILL_AFTER_S)
            fleet.separate_upstreams[ENGINES[seed % len(ENGINES)]].kill()

        async def work() -> None:
            client = Client(history, seed)
            async with anyio.create_task_group() as task_group:
                if kill:
                    task_group.start_soon(kill_one)
                await run_step(
                    client,
                    fleet,
                    "trainers-sample",
                    "ledger",
                    GROUPS,
                    SIZE,
                    lambda: 1,
                    120.0,
                    response_loss_ratio=0.0,
                    pull_pause_s=0.0,
                    limit=256,
                )

        started = time.monotonic()
        anyio.run(work)
        seconds = time.monotonic() - started
        made = sum(
            span["tokens"]
            for record in fleet.records("ledger-*")
            if record["event"] in ("generated", "abandoned")
            for span in record["spans"]
        )
        received = sum(
            tokens for item in history.delivered for _, tokens in item.sample["weight_versions"]
        )
        return seconds, 1 - received / made


@click.command()
@click.option("--rounds", default=3, show_default=True)
def main(rounds: int) -> None:
    """Print one row for each kind of run."""
    print(f"{GROUPS * SIZE} samples; {rounds} rounds each")
    print("| run | step, s: min | median | max | wasted tokens, median |")
    print("| --- | --- | --- | --- | --- |")
    for label, weakening, kill in (
        ("second attempts", "", False),
        ("none", "second-attempts", False),
        ("second attempts, engine killed", "", True),
        ("none, engine killed", "second-attempts", True),
    ):
        rows = [run(weakening, kill, seed) for seed in range(rounds)]
        seconds = [row[0] for row in rows]
        wasted = statistics.median(row[1] for row in rows)
        middle = statistics.median(seconds)
        print(
            f"| {label} | {min(seconds):.2f} | {middle:.2f} | {max(seconds):.2f} | {wasted:.1%} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
