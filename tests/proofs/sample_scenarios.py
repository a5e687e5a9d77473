"""Verify the guarantees of trainers' samples."""

import anyio

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Client, run_step
from tests.proofs.scenario_base import ALMATY, STALENESS_BOUND, Report, run_workload

FIRST_DELIVERY_TIMEOUT_S = 5.0


async def _wait_until_delivered_from(version: int, client: Client, fleet: Fleet) -> None:
    """Wait until a sample that was generated under a version is delivered, for a limited time.

    Without such a sample the run shows nothing about the versions of samples.
    """
    with anyio.move_on_after(FIRST_DELIVERY_TIMEOUT_S):
        while not _is_delivered_from(version, client, fleet):
            await anyio.sleep(0.1)


def _is_delivered_from(version: int, client: Client, fleet: Fleet) -> bool:
    generated_ids = {
        record["request_id"]
        for record in fleet.records("ledger-*")
        if record["event"] == "generated" and record["spans"][-1]["version"] >= version
    }
    return any(d.sample["sample_id"] in generated_ids for d in client.history.delivered)


def samples(seed: int, weakening: str = "") -> Report:
    """Kill a daemon, lose pull responses and publish weights while a trainer runs a step.

    Guards against samples that are delivered twice after a repeated pull or lost with the killed
    daemon, against wrong weight versions of samples whose engine loaded new weights during the
    generation, and against samples beyond the staleness bound.
    """
    groups, size = 48, 4
    with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
        version = 1

        async def inject_failures(client: Client) -> None:
            nonlocal version
            await anyio.sleep(0.5)
            victim = client.rng.choice(fleet.daemons)
            for next_version in range(2, 7):
                url = f"{fleet.platform_url('weight_store')}/models/ledger/{next_version}"
                await client.http.put(url)
                version = next_version
                client.history.record_failure("weights published")
                await anyio.sleep(0.8)
                if next_version == 2:
                    await _wait_until_delivered_from(next_version, client, fleet)
                if next_version == 3:
                    client.history.record_failure(f"killed {victim.name}")
                    victim.kill()
                if next_version == 5:
                    victim.start()

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(inject_failures, client)
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

        history = run_workload(seed, work)
        records = list(fleet.records("ledger-*"))
        violations = {
            "exactly once": checkers.find_delivery_errors(
                history.delivered, groups, size, history.step_completed
            ),
            "true versions": checkers.find_wrong_weight_versions(history.delivered, records),
            "staleness bound": checkers.find_stale_samples(history.delivered, STALENESS_BOUND),
        }
        return Report("samples", len(history.injected_failures), len(history.delivered), violations)
