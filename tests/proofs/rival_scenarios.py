"""Prove that a customer cannot tell what prompts a rival has sent."""

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Call, Client
from tests.proofs.scenario_base import ALMATY, LEDGER, Report, drive

PROMPTS = 24
TOKENS = 8


def rivals(seed: int, weakening: str = "") -> Report:
    """Send a rival's prompts again for another customer, beside prompts that nobody sent."""
    with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
        history = drive(seed, lambda client: guess_prompts(client, fleet))
        records = list(fleet.records("ledger-*"))
    found = {
        "no sight of rivals": checkers.cached_for(records, ("same", "fresh")),
        "whole answers": checkers.whole_answers(history.calls),
    }
    return Report("rivals", 0, len(history.calls), found)


async def guess_prompts(client: Client, fleet: Fleet) -> list[tuple[Call, Call]]:
    """Return pairs of a guessed prompt's call and one of a prompt that nobody sent before."""

    async def send(key: str, kind: str, prompt: str, number: int) -> Call:
        daemon = client.rng.choice(fleet.daemons)
        return await client.generate(
            daemon.callers, LEDGER, key, TOKENS, prompt=prompt, call_id=f"{kind}-{number}"
        )

    pairs = []
    for number in range(PROMPTS):
        await send("audit-office-sample", "rival", f"ledger {number}", number)
        same = await send("filers-sample", "same", f"ledger {number}", number)
        fresh = await send("filers-sample", "fresh", f"nobody's {number}", number)
        pairs.append((same, fresh))
    return pairs
