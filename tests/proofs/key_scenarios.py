"""Prove what holds for keys."""

import time

import anyio

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Client
from tests.proofs.scenario_base import ALMATY, FILINGS, LEDGER, Report, drive


def withdrawal(seed: int, weakening: str = "") -> Report:
    """Withdraw keys from streaming callers, in a store outage, and beside a daemon cut off."""
    with running_fleet(
        example_config("almaty"), ALMATY, weakening=weakening, cuttable=True
    ) as fleet:
        first, _, last = fleet.daemons
        marks: dict[str, float] = {}
        in_force: dict[str, bool] = {}

        async def withdraw(client: Client, key: str) -> None:
            url = first.operators + "/keys/withdraw"
            answer = (await client.http.post(url, json={"id": key})).json()
            marks[key], in_force[key] = time.monotonic(), answer["in_force"]

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                for daemon in fleet.daemons:
                    task_group.start_soon(
                        client.generate, daemon.callers, LEDGER, "filers-sample", 4000
                    )
                await anyio.sleep(0.5)
                await withdraw(client, "filers-sample")
            await _probe(client, fleet, "filers-sample")
            client.history.inject("store down")
            await client.http.post(
                fleet.platform_url("object_api") + "/control", json={"fault": "down"}
            )
            await withdraw(client, "archive-sample")
            await _probe(client, fleet, "archive-sample")
            await client.http.post(
                fleet.platform_url("object_api") + "/control", json={"fault": ""}
            )
            async with anyio.create_task_group() as task_group:
                # It ends by itself before the cut is mended, unless the daemon ends it.
                task_group.start_soon(
                    client.generate, last.callers, LEDGER, "press-office-sample", 3000
                )
                await anyio.sleep(0.5)
                client.history.inject(f"cut {last.name} off")
                fleet.cut_last()
                await withdraw(client, "press-office-sample")
                await _probe(client, fleet, "press-office-sample")
            fleet.mend_last()
            await anyio.sleep(2.0)
            await _probe(client, fleet, "press-office-sample")

        history = drive(seed, work)
        violations = [
            line
            for key, moment in marks.items()
            for line in checkers.refused_after(history.calls, key, moment)
        ]
        violations += [
            f"{call.id} streamed on after the withdrawal"
            for call in history.calls
            if call.wanted_tokens and not call.connection_failed and call.status == 200
        ]
        violations += [f"{key} was not confirmed" for key, good in in_force.items() if not good]
        found = {"withdrawn key": violations}
        return Report("withdrawal", len(history.injected), len(history.calls), found)


async def _probe(client: Client, fleet: Fleet, key: str) -> None:
    for daemon in fleet.daemons * 3:
        await client.call(daemon.callers, FILINGS, key)
