"""Measure whether the time to an answer tells a customer what a rival has sent.

Engines take several ticks to read a prompt that they have not cached. The figure is the probability
that a guessed prompt of a rival answers faster than one that nobody sent: one half tells nothing.
"""

import anyio
import click
import httpx

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs.history import Call, Client, History
from tests.proofs.rival_scenarios import guess_prompts
from tests.proofs.scenario_base import ALMATY

PREFILL_TICKS = 5


def _slow_prefill(fleet: Fleet) -> None:
    for number in range(4):
        body = {"kind": "set_faults", "prefill_ticks": PREFILL_TICKS}
        url = f"http://127.0.0.1:{fleet.base_port + 20 + number}/orders"
        httpx.post(url, json=body, trust_env=False)


def tell_apart(pairs: list[tuple[Call, Call]]) -> float:
    """Return the share of all pairs in which the guessed prompt was the faster one."""
    same = [call.ended_at - call.sent_at for call, _ in pairs]
    fresh = [call.ended_at - call.sent_at for _, call in pairs]
    return sum((s < f) + 0.5 * (s == f) for s in same for f in fresh) / (len(same) * len(fresh))


@click.command()
@click.option("--rounds", default=3, show_default=True)
def main(rounds: int) -> None:
    """Print one row for each run."""
    print("| run | guessed prompt is faster |")
    print("| --- | --- |")
    for label, weakening in (("a salt for each customer", ""), ("one salt for all", "cache-salt")):
        for seed in range(1, rounds + 1):
            with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
                _slow_prefill(fleet)

                async def guess(fleet: Fleet = fleet, seed: int = seed) -> list[tuple[Call, Call]]:
                    client = Client(History(), seed)
                    try:
                        return await guess_prompts(client, fleet)
                    finally:
                        await client.http.aclose()

                print(f"| {label} | {tell_apart(anyio.run(guess)):.2f} |", flush=True)


if __name__ == "__main__":
    main()
