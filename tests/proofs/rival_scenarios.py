"""Verify that a customer cannot find out which prompts another customer has sent."""

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Call, Client
from tests.proofs.scenario_base import ALMATY, LEDGER, Report, run_workload

PROMPTS = 24
TOKENS = 8


def rivals(seed: int, weakening: str = "") -> Report:
    """Send one customer's prompts again for another customer, along with new prompts.

    Guards against a prefix cache that customers share: a faster response would show that another
    customer has sent the same prompt.
    """
    with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
        history = run_workload(seed, lambda client: guess_prompts(client, fleet))
        records = list(fleet.records("ledger-*"))
    violations = {
        "no sight of rivals": checkers.find_foreign_cache_hits(records, ("same", "fresh")),
        "whole answers": checkers.find_incomplete_responses(history.calls),
    }
    return Report("rivals", 0, len(history.calls), violations)


async def guess_prompts(client: Client, fleet: Fleet) -> list[tuple[Call, Call]]:
    """Return pairs of calls: with a prompt that another customer sent, and with a new prompt."""

    async def send(key: str, kind: str, prompt: str, number: int) -> Call:
        daemon = client.rng.choice(fleet.daemons)
        return await client.generate(
            daemon.callers, LEDGER, key, TOKENS, prompt=prompt, call_id=f"{kind}-{number}"
        )

    pairs = []
    for number in range(PROMPTS):
        await send("audit-office-sample", "rival", f"ledger {number}", number)
        guessed = await send("filers-sample", "same", f"ledger {number}", number)
        unsent = await send("filers-sample", "fresh", f"nobody's {number}", number)
        pairs.append((guessed, unsent))
    return pairs
