"""Measure whether response times reveal the prompts of another customer (cache timing attack).

Engines take several ticks to prefill a prompt that is not in their cache. The result is the
probability that a correctly guessed prompt of another customer is faster than a fresh one; 0.5
means that nothing leaks.
"""

import anyio
import click
import httpx

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs.history import Call, Client, History
from tests.proofs.rival_scenarios import guess_prompts
from tests.proofs.scenario_base import ALMATY

PREFILL_TICKS = 5


def _set_prefill_ticks(fleet: Fleet) -> None:
    for number in range(4):
        body = {"kind": "set_faults", "prefill_ticks": PREFILL_TICKS}
        url = f"http://127.0.0.1:{fleet.base_port + 20 + number}/orders"
        httpx.post(url, json=body, trust_env=False)


def detection_probability(pairs: list[tuple[Call, Call]]) -> float:
    """Return the share of all pairs in which the guessed prompt was faster; ties count half."""
    guessed_s = [call.ended_at - call.sent_at for call, _ in pairs]
    fresh_s = [call.ended_at - call.sent_at for _, call in pairs]
    return sum((s < f) + 0.5 * (s == f) for s in guessed_s for f in fresh_s) / (
        len(guessed_s) * len(fresh_s)
    )


@click.command()
@click.option("--rounds", default=3, show_default=True)
def main(rounds: int) -> None:
    """Print one row per run."""
    print("| run | guessed prompt is faster |")
    print("| --- | --- |")
    for label, weakening in (("a salt for each customer", ""), ("one salt for all", "cache-salt")):
        for seed in range(1, rounds + 1):
            with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
                _set_prefill_ticks(fleet)

                async def send_guesses(
                    fleet: Fleet = fleet, seed: int = seed
                ) -> list[tuple[Call, Call]]:
                    client = Client(History(), seed)
                    try:
                        return await guess_prompts(client, fleet)
                    finally:
                        await client.http.aclose()

                print(
                    f"| {label} | {detection_probability(anyio.run(send_guesses)):.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
