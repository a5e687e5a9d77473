"""Prove what holds for the configuration."""

import tomllib
from contextlib import suppress

import anyio
import httpx

from acaciarill.daemons.const import SUSPICION_TTL_S
from tests.fakes.fleet import Fleet, example, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Client
from tests.proofs.scenario_base import ALMATY, Report, control_costs, drive


def configuration(seed: int, without: str = "") -> Report:
    """Race operators, lose the store's answers, restart relays during an outage."""
    text = example("almaty") + example("cwmdu")
    with running_fleet(text, ["almaty-1"] * 4 + ["cwmdu-1"] * 2, without=without) as fleet:
        seen: list[tuple[str, str, int]] = []
        accepted: list[dict] = []
        behind: list[str] = []

        async def poll(client: Client) -> None:
            while True:
                for daemon in fleet.daemons:
                    with suppress(httpx.HTTPError):
                        status = await client.http.get(daemon.operators + "/status", timeout=1)
                        body = status.json()
                        seen.append((daemon.name, body["incarnation"], body["revision"]))
                await anyio.sleep(0.05)

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(poll, client)
                store = fleet.platform_url("object_api") + "/control"
                await _race(client, fleet, accepted, 6)
                await client.http.post(store, json={"fault": "lose_answers"})
                client.history.inject("store answers lost")
                await _race(client, fleet, accepted, 4)
                await client.http.post(store, json={"fault": ""})
                await _race(client, fleet, accepted, 2)
                newest = max(change["revision"] for change in accepted)
                behind.extend(await _coverage(client, fleet, newest))
                await client.http.post(store, json={"fault": "down"})
                client.history.inject("store down")
                for daemon in fleet.daemons:
                    client.history.inject(f"killed {daemon.name}")
                    daemon.kill()
                    daemon.start()
                    await anyio.sleep(3.0)
                behind.extend(await _coverage(client, fleet, newest))
                task_group.cancel_scope.cancel()

        history = drive(seed, work)
        ids = [change["change_id"] for change in accepted]
        twice = [f"{i} was accepted twice" for i in set(ids) if ids.count(i) > 1]
        found = {
            "never reverts": checkers.never_back(seen) + twice,
            "in force everywhere": [f"{name} is behind" for name in behind],
        }
        return Report("configuration", len(history.injected), len(accepted) + len(seen), found)


async def _race(
    client: Client,
    fleet: Fleet,
    accepted: list[dict],
    rounds: int,
    owners: tuple[str, ...] = ("almaty", "cwmdu"),
) -> None:
    """Apply the members' sections at once through different daemons."""

    async def apply(owner: str, number: int) -> None:
        section = tomllib.loads((fleet.folder / "config.toml").read_text())[owner]
        section["customers"].append({"name": f"new-{owner}-{number}", "share": 1})
        daemon = client.rng.choice(fleet.daemons)
        body = {"sections": {owner: section}, "change_id": f"{owner}-{len(accepted)}-{number}"}
        answer = await client.http.post(daemon.operators + "/config/apply", json=body)
        if answer.status_code == 200:
            accepted.append(answer.json())

    for number in range(rounds):
        async with anyio.create_task_group() as task_group:
            for owner in owners:
                task_group.start_soon(apply, owner, number)


async def _coverage(client: Client, fleet: Fleet, revision: int) -> list[str]:
    """Return the daemons on which a revision is not in force after a while."""
    answer: dict = {"behind": ["nobody answered"]}
    for _ in range(50):
        with suppress(httpx.HTTPError):
            url = f"{fleet.daemons[0].operators}/config/coverage?revision={revision}"
            answer = (await client.http.get(url, timeout=5)).json()
            if not answer["behind"]:
                return []
        await anyio.sleep(0.2)
    return answer["behind"]


def spread(seed: int, without: str = "") -> Report:
    """Run 24 daemons in three data centres; change the configuration; take the store away."""
    with running_fleet(example("almaty"), ALMATY * 8, without=without) as fleet:
        behind: list[str] = []

        async def work(client: Client) -> None:
            accepted: list[dict] = []
            store = fleet.platform_url("object_api")
            # Daemons that start one after the other suspect relays that are not up yet.
            await anyio.sleep(SUSPICION_TTL_S + 1)
            await client.http.get(store + "/watches?reset=1")
            for _ in range(3):
                await _race(client, fleet, accepted, 1, ("almaty",))
                behind.extend(await _coverage(client, fleet, accepted[-1]["revision"]))
            await client.http.post(store + "/control", json={"fault": "down"})
            client.history.inject("store down")
            await anyio.sleep(3)
            await client.http.post(store + "/control", json={"fault": ""})
            await _race(client, fleet, accepted, 1, ("almaty",))
            behind.extend(await _coverage(client, fleet, accepted[-1]["revision"]))

        history = drive(seed, work)
        most = httpx.get(fleet.platform_url("object_api") + "/watches", trust_env=False).json()
        watches = most["most"]["config/state/"]
        calls = sum(daemon.status()["store_calls"] for daemon in fleet.daemons)
        over = [] if watches <= 2 * len(ALMATY) else [f"{watches} watches were open at once"]
        found = {
            "two watches a data centre": over,
            "in force everywhere": [f"{name} is behind" for name in behind],
        }
        return Report("spread", len(history.injected), calls, found, control_costs(fleet))
