"""Verify the guarantees of the configuration."""

import tomllib
from contextlib import suppress

import anyio
import httpx

from acaciarill.daemons.const import SUSPICION_TTL_S
from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Client
from tests.proofs.scenario_base import ALMATY, Report, control_costs, run_workload


def configuration(seed: int, weakening: str = "") -> Report:
    """Apply changes concurrently while store responses are lost, then restart daemons in an outage.

    Guards against a change that is applied twice because its store write succeeded without a
    response, and against a daemon that loads an older revision from a peer after its restart.
    """
    text = example_config("almaty") + example_config("cwmdu")
    with running_fleet(text, ["almaty-1"] * 4 + ["cwmdu-1"] * 2, weakening=weakening) as fleet:
        shown_revisions: list[tuple[str, str, int]] = []
        accepted: list[dict] = []
        lagging_daemons: list[str] = []

        async def poll(client: Client) -> None:
            while True:
                for daemon in fleet.daemons:
                    with suppress(httpx.HTTPError):
                        status = await client.http.get(daemon.operators + "/status", timeout=1)
                        body = status.json()
                        shown_revisions.append((daemon.name, body["incarnation"], body["revision"]))
                await anyio.sleep(0.05)

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(poll, client)
                store = fleet.platform_url("object_api") + "/control"
                await _apply_concurrently(client, fleet, accepted, 6)
                await client.http.post(store, json={"fault": "lose_answers"})
                client.history.record_failure("store responses lost")
                await _apply_concurrently(client, fleet, accepted, 4)
                await client.http.post(store, json={"fault": ""})
                await _apply_concurrently(client, fleet, accepted, 2)
                newest = max(change["revision"] for change in accepted)
                lagging_daemons.extend(await _wait_for_coverage(client, fleet, newest))
                await client.http.post(store, json={"fault": "down"})
                client.history.record_failure("store down")
                for daemon in fleet.daemons:
                    client.history.record_failure(f"killed {daemon.name}")
                    daemon.kill()
                    daemon.start()
                    await anyio.sleep(3.0)
                lagging_daemons.extend(await _wait_for_coverage(client, fleet, newest))
                task_group.cancel_scope.cancel()

        history = run_workload(seed, work)
        ids = [change["change_id"] for change in accepted]
        duplicate_changes = [f"{i} was accepted twice" for i in set(ids) if ids.count(i) > 1]
        violations = {
            "never reverts": checkers.find_revision_regressions(shown_revisions)
            + duplicate_changes,
            "in force everywhere": [f"{name} is behind" for name in lagging_daemons],
        }
        return Report(
            "configuration",
            len(history.injected_failures),
            len(accepted) + len(shown_revisions),
            violations,
        )


async def _apply_concurrently(
    client: Client,
    fleet: Fleet,
    accepted: list[dict],
    rounds: int,
    owners: tuple[str, ...] = ("almaty", "cwmdu"),
) -> None:
    """Apply a change to each owner's section concurrently, through randomly chosen daemons."""

    async def apply(owner: str, number: int) -> None:
        section = tomllib.loads((fleet.folder / "config.toml").read_text())[owner]
        section["customers"].append({"name": f"new-{owner}-{number}", "share": 1})
        daemon = client.rng.choice(fleet.daemons)
        body = {"sections": {owner: section}, "change_id": f"{owner}-{len(accepted)}-{number}"}
        response = await client.http.post(daemon.operators + "/config/apply", json=body)
        if response.status_code == 200:
            accepted.append(response.json())

    for number in range(rounds):
        async with anyio.create_task_group() as task_group:
            for owner in owners:
                task_group.start_soon(apply, owner, number)


async def _wait_for_coverage(client: Client, fleet: Fleet, revision: int) -> list[str]:
    """Poll until a revision is in force on all daemons; return those that lack it at the end."""
    response: dict = {"behind": ["no daemon answered"]}
    for _ in range(50):
        with suppress(httpx.HTTPError):
            url = f"{fleet.daemons[0].operators}/config/coverage?revision={revision}"
            response = (await client.http.get(url, timeout=5)).json()
            if not response["behind"]:
                return []
        await anyio.sleep(0.2)
    return response["behind"]


def spread(seed: int, weakening: str = "") -> Report:
    """Change the configuration of 24 daemons in 3 data centres, before and after a store outage.

    Guards against daemons that each watch the store, which would overload it: at most two watches
    in each data centre may be open at once.
    """
    with running_fleet(example_config("almaty"), ALMATY * 8, weakening=weakening) as fleet:
        lagging_daemons: list[str] = []

        async def work(client: Client) -> None:
            accepted: list[dict] = []
            store = fleet.platform_url("object_api")
            # Daemons that started first suspect the relays that were not up yet.
            await anyio.sleep(SUSPICION_TTL_S + 1)
            await client.http.get(store + "/watches?reset=1")
            for _ in range(3):
                await _apply_concurrently(client, fleet, accepted, 1, ("almaty",))
                lagging_daemons.extend(
                    await _wait_for_coverage(client, fleet, accepted[-1]["revision"])
                )
            await client.http.post(store + "/control", json={"fault": "down"})
            client.history.record_failure("store down")
            await anyio.sleep(3)
            await client.http.post(store + "/control", json={"fault": ""})
            await _apply_concurrently(client, fleet, accepted, 1, ("almaty",))
            lagging_daemons.extend(
                await _wait_for_coverage(client, fleet, accepted[-1]["revision"])
            )

        history = run_workload(seed, work)
        watch_statistics = httpx.get(
            fleet.platform_url("object_api") + "/watches", trust_env=False
        ).json()
        peak_watches = watch_statistics["most"]["config/state/"]
        calls = sum(daemon.status()["store_calls"] for daemon in fleet.daemons)
        excess_watches = (
            [] if peak_watches <= 2 * len(ALMATY) else [f"{peak_watches} watches were open at once"]
        )
        violations = {
            "two watches a data centre": excess_watches,
            "in force everywhere": [f"{name} is behind" for name in lagging_daemons],
        }
        return Report(
            "spread", len(history.injected_failures), calls, violations, control_costs(fleet)
        )
