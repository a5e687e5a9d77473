"""Prove what holds for trainers' samples."""

import anyio

from tests.fakes.fleet import example_config, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Client, run_step
from tests.proofs.scenario_base import ALMATY, STALENESS_BOUND, Report, drive


def samples(seed: int, weakening: str = "") -> Report:
    """Kill a holder, lose pull answers and publish weights while a trainer runs a step."""
    groups, size = 48, 4
    with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
        version = 1

        async def disturb(client: Client) -> None:
            nonlocal version
            await anyio.sleep(0.5)
            victim = client.rng.choice(fleet.daemons)
            for newer in range(2, 7):
                url = f"{fleet.platform_url('weight_store')}/models/ledger/{newer}"
                await client.http.put(url)
                version = newer
                client.history.inject("weights published")
                await anyio.sleep(0.8)
                if newer == 3:
                    client.history.inject(f"killed {victim.name}")
                    victim.kill()
                if newer == 5:
                    victim.start()

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(disturb, client)
                await run_step(
                    client,
                    fleet,
                    "trainers-sample",
                    "ledger",
                    groups,
                    size,
                    lambda: version,
                    60.0,
                )
                task_group.cancel_scope.cancel()

        history = drive(seed, work)
        records = list(fleet.records("ledger-*"))
        found = {
            "exactly once": checkers.exactly_once(
                history.delivered, groups, size, history.complete
            ),
            "true versions": checkers.true_versions(history.delivered, records),
            "staleness bound": checkers.fresh_enough(history.delivered, STALENESS_BOUND),
        }
        return Report("samples", len(history.injected), len(history.delivered), found)
