"""Measure a step's duration and wasted tokens with and without hedged attempts.

2 % of the generations are ten times slower; in half of the runs an engine is killed mid-step.
"""

import statistics
import time

import anyio
import click
import httpx

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs.history import Client, History, run_step

GROUP_COUNT, GROUP_SIZE = 32, 8
SLOW_GENERATION_SHARE = 0.02
KILL_AFTER_S = 0.8
ENGINES = ("ledger-1", "ledger-2", "ledger-3", "ledger-4")


def _inject_slow_generations(fleet: Fleet) -> None:
    for number in range(len(ENGINES)):
        url = f"http://127.0.0.1:{fleet.base_port + 20 + number}/orders"
        body = {"kind": "set_faults", "slow_share": SLOW_GENERATION_SHARE}
        httpx.post(url, json=body, trust_env=False)


def run(weakening: str, kill: bool, seed: int) -> tuple[float, float]:
    """Return a step's duration in seconds and the share of generated tokens that were discarded."""
    data_centres = ["almaty-1", "almaty-2", "almaty-3"]
    with running_fleet(example_config("almaty"), data_centres, ENGINES, weakening) as fleet:
        _inject_slow_generations(fleet)
        history = History()

        async def kill_engine() -> None:
            await anyio.sleep(KILL_AFTER_S)
            fleet.separate_upstreams[ENGINES[seed % len(ENGINES)]].kill()

        async def run_trainer() -> None:
            client = Client(history, seed)
            async with anyio.create_task_group() as task_group:
                if kill:
                    task_group.start_soon(kill_engine)
                await run_step(
                    client,
                    fleet,
                    "trainers-sample",
                    "ledger",
                    GROUP_COUNT,
                    GROUP_SIZE,
                    lambda: 1,
                    120.0,
                    response_loss_ratio=0.0,
                    pull_pause_s=0.0,
                    limit=256,
                )

        started = time.monotonic()
        anyio.run(run_trainer)
        duration_s = time.monotonic() - started
        generated_tokens = sum(
            span["tokens"]
            for record in fleet.records("ledger-*")
            if record["event"] in ("generated", "abandoned")
            for span in record["spans"]
        )
        received_tokens = sum(
            tokens for item in history.delivered for _, tokens in item.sample["weight_versions"]
        )
        return duration_s, 1 - received_tokens / generated_tokens


@click.command()
@click.option("--rounds", default=3, show_default=True)
def main(rounds: int) -> None:
    """Print one row per kind of run."""
    print(f"{GROUP_COUNT * GROUP_SIZE} samples; {rounds} rounds each")
    print("| run | step, s: min | median | max | wasted tokens, median |")
    print("| --- | --- | --- | --- | --- |")
    for label, weakening, kill in (
        ("hedged attempts", "", False),
        ("no hedged attempts", "second-attempts", False),
        ("hedged attempts, engine killed", "", True),
        ("no hedged attempts, engine killed", "second-attempts", True),
    ):
        rows = [run(weakening, kill, seed) for seed in range(rounds)]
        durations = [row[0] for row in rows]
        wasted = statistics.median(row[1] for row in rows)
        median = statistics.median(durations)
        print(
            f"| {label} | {min(durations):.2f} | {median:.2f} | {max(durations):.2f} "
            f"| {wasted:.1%} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
