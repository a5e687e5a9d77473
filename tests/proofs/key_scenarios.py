"""Verify the guarantees of API keys."""

import time

import anyio

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Client
from tests.proofs.scenario_base import ALMATY, FILINGS, LEDGER, Report, run_workload


def withdrawal(seed: int, weakening: str = "") -> Report:
    """Withdraw keys during streams, during a store outage, and with an isolated daemon.

    Guards against a daemon that missed a withdrawal and still serves the key, in new requests or in
    a stream that began before the withdrawal.
    """
    with running_fleet(
        example_config("almaty"), ALMATY, weakening=weakening, isolatable=True
    ) as fleet:
        first, _, last = fleet.daemons
        withdrawn_at: dict[str, float] = {}
        in_force: dict[str, bool] = {}

        async def withdraw(client: Client, key: str) -> None:
            url = first.operators + "/keys/withdraw"
            response = (await client.http.post(url, json={"id": key})).json()
            withdrawn_at[key], in_force[key] = time.monotonic(), response["in_force"]

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                for daemon in fleet.daemons:
                    task_group.start_soon(
                        client.generate, daemon.callers, LEDGER, "filers-sample", 4000
                    )
                await anyio.sleep(0.5)
                await withdraw(client, "filers-sample")
            await _send_to_every_daemon(client, fleet, "filers-sample")
            client.history.record_failure("store down")
            await client.http.post(
                fleet.platform_url("object_api") + "/control", json={"fault": "down"}
            )
            await withdraw(client, "archive-sample")
            await _send_to_every_daemon(client, fleet, "archive-sample")
            await client.http.post(
                fleet.platform_url("object_api") + "/control", json={"fault": ""}
            )
            async with anyio.create_task_group() as task_group:
                # Completes before the daemon is reconnected, unless the daemon aborts it.
                task_group.start_soon(
                    client.generate, last.callers, LEDGER, "press-office-sample", 3000
                )
                await anyio.sleep(0.5)
                client.history.record_failure(f"isolated {last.name} from peers and store")
                fleet.isolate_last_daemon()
                await withdraw(client, "press-office-sample")
                await _send_to_every_daemon(client, fleet, "press-office-sample")
            fleet.reconnect_last_daemon()
            await anyio.sleep(2.0)
            await _send_to_every_daemon(client, fleet, "press-office-sample")

        history = run_workload(seed, work)
        violations = [
            line
            for key, withdrawn_time in withdrawn_at.items()
            for line in checkers.find_served_after(history.calls, key, withdrawn_time)
        ]
        violations += [
            f"{call.id} continued to stream after the withdrawal"
            for call in history.calls
            if call.expected_tokens and not call.connection_failed and call.status == 200
        ]
        violations += [
            f"{key} was not confirmed" for key, confirmed in in_force.items() if not confirmed
        ]
        by_guarantee = {"withdrawn key": violations}
        return Report(
            "withdrawal", len(history.injected_failures), len(history.calls), by_guarantee
        )


async def _send_to_every_daemon(client: Client, fleet: Fleet, key: str) -> None:
    for daemon in fleet.daemons * 3:
        await client.call(daemon.callers, FILINGS, key)
