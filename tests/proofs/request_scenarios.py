"""Prove what holds for callers' requests."""

import signal
import time
from collections import Counter
from contextlib import suppress

import anyio
import httpx

from tests.fakes.fleet import SAMPLE_KEY_SECRET, START_LIMIT_S, Fleet, example_config, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Client
from tests.proofs.scenario_base import (
    ALMATY,
    FILINGS,
    LEDGER,
    LOOKUP,
    PORTALS,
    Report,
    control_costs,
    drive,
)

HELD_REQUEST_S = 4.0
"""Long enough that a request still runs when its record is read, and within each deadline."""
HELD_PER_DAEMON = 4
"""Within the reserve of a daemon's retry budget."""


def outcomes(seed: int, weakening: str = "") -> Report:
    """Kill plain services under load, refuse calls, cut answers, resend with idempotency keys."""
    with running_fleet(example_config("almaty"), ALMATY, PORTALS, weakening) as fleet:

        async def work(client: Client) -> None:
            # First, while no retry budget is spent and no upstream is ejected.
            await _kill_while_running(client, fleet, 1)
            await _kill_while_running(client, fleet, len(PORTALS))
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(_kill_upstreams, client, fleet)
                await client.many(800, 24, lambda number: _file(client, fleet, number))
                task_group.cancel_scope.cancel()

        history = drive(seed, work)
        for process in fleet.separate_upstreams.values():
            process.kill()
        records = list(fleet.records("portal-*"))
        return Report(
            "outcomes",
            len(history.injected),
            len(history.calls),
            {
                "at most once": checkers.at_most_once(
                    r for r in records if r.get("path", FILINGS) == FILINGS
                ),
                "not run is true": checkers.not_run_is_true(history.calls, records),
                "whole answers": checkers.whole_answers(history.calls),
            },
        )


async def _file(client: Client, fleet: Fleet, number: int) -> None:
    daemon = client.rng.choice(fleet.daemons)
    path = FILINGS + client.rng.choice(["", "?delay_s=0.3", "?delay_s=0.3", "?refuse=1", "?cut=1"])
    if number % 4:
        await client.call(daemon.callers, path, "filers-sample")
        return
    headers = {"idempotency-key": f"key-{number}"}
    for turn, target in enumerate((daemon, client.rng.choice(fleet.daemons))):
        call_id = f"claimed-{number}.{turn}"
        await client.call(target.callers, path, "filers-sample", headers=headers, call_id=call_id)


async def _kill_while_running(client: Client, fleet: Fleet, victims: int) -> None:
    """Kill so many upstreams, the busiest first, once the records show all requests running."""
    paths = (FILINGS, LOOKUP)  # at most once, and idempotent
    count = HELD_PER_DAEMON * len(fleet.daemons)
    prefix = f"held-{victims}-"
    ended: set[str] = set()

    async def one(number: int) -> None:
        daemon = fleet.daemons[number % len(fleet.daemons)]
        path = f"{paths[number // len(fleet.daemons) % 2]}?delay_s={HELD_REQUEST_S}"
        call_id = f"{prefix}{number}"
        await client.call(daemon.callers, path, "filers-sample", call_id=call_id)
        ended.add(call_id)

    def running() -> dict[str, str]:
        """Return the upstream of each request that has begun and not ended."""
        begun = {
            checkers.owner_of(r["request_id"]): r["file"]
            for r in fleet.records("portal-*")
            if r["event"] == "run" and r["request_id"].startswith(prefix)
        }
        return {call: name for call, name in begun.items() if call not in ended}

    async with anyio.create_task_group() as task_group:
        for number in range(count):
            task_group.start_soon(one, number)
        with anyio.fail_after(START_LIMIT_S):
            while len(running()) + len(ended) < count:  # noqa: ASYNC110
                await anyio.sleep(0.02)
        busy = Counter(running().values())
        busiest = sorted(PORTALS, key=lambda name: -busy[name])[:victims]
        for name in busiest:
            client.history.inject(f"killed {name} while it ran requests")
            fleet.separate_upstreams[name].kill()
    for name in busiest:
        fleet.separate_upstreams[name].start()


async def _kill_upstreams(client: Client, fleet: Fleet) -> None:
    while True:
        await anyio.sleep(0.4)
        process = fleet.separate_upstreams[client.rng.choice(PORTALS)]
        if client.rng.random() < 0.5:  # its connections stay open for a while, half of them dead
            client.history.inject(f"froze {process.name}")
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(0.3)
        client.history.inject(f"killed {process.name}")
        process.kill()
        await anyio.sleep(0.3)
        process.start()


def streams(seed: int, weakening: str = "") -> Report:
    """Cut engines' streams without their closing line while callers read them."""
    with running_fleet(example_config("almaty"), ALMATY[:2], weakening=weakening) as fleet:
        engines = [f"http://127.0.0.1:{fleet.base + 20 + number}" for number in range(4)]

        async def cut(client: Client) -> None:
            while True:
                await anyio.sleep(0.35)
                client.history.inject("engine cut its streams")
                url = client.rng.choice(engines)
                await client.http.post(url + "/control", json={"fault": "cut"})
                await anyio.sleep(0.1)
                await client.http.post(url + "/control", json={"fault": ""})

        async def one(client: Client) -> None:
            daemon = client.rng.choice(fleet.daemons)
            await client.generate(daemon.callers, LEDGER, "filers-sample", 96)

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(cut, client)
                await client.many(80, 16, lambda number: one(client))
                task_group.cancel_scope.cancel()

        history = drive(seed, work)
        found = {"whole answers": checkers.whole_answers(history.calls)}
        return Report("streams", len(history.injected), len(history.calls), found)


def tenancy(seed: int, weakening: str = "") -> Report:
    """Show keys of one member on routes of the other, and look for secrets upstream."""
    text = example_config("almaty") + example_config("cwmdu")
    with running_fleet(text, ["almaty-1", "cwmdu-1"], weakening=weakening) as fleet:

        async def one(client: Client, number: int) -> None:
            base = fleet.daemons[number % 2].callers
            key = client.rng.choice(["filers-sample", "north-club-sample", ""])
            path = client.rng.choice([FILINGS, LOOKUP, "/cwmdu/launches/x", "/cwmdu/tallies"])
            headers = {"cookie": f"session={SAMPLE_KEY_SECRET}", "x-api-key": SAMPLE_KEY_SECRET}
            await client.call(base, path, key, headers=headers)

        async def work(client: Client) -> None:
            await client.many(120, 12, lambda number: one(client, number))

        history = drive(seed, work)
        fleet.stop()
        records = [r for pattern in ("portal-*", "launch-*") for r in fleet.records(pattern)]
        ran = checkers.runs_by_call(records)
        keys = {call.id: call.key for call in history.calls}
        crossed = [
            f"{call_id} ran at {r['file']} for {keys[call_id]!r}"
            for r in records
            if r["event"] == "run"
            for call_id in [checkers.owner_of(r["request_id"])]
            if not _allowed(keys[call_id], r["path"])
        ]
        found = {
            "own customer": crossed,
            "no key upstream": checkers.no_secret(records, SAMPLE_KEY_SECRET),
        }
        return Report("tenancy", 0, len(history.calls) + sum(ran.values()), found)


def _allowed(key: str, path: str) -> bool:
    owner = {"filers-sample": "/almaty", "north-club-sample": "/cwmdu", "": ""}[key]
    return path.startswith(LOOKUP) or bool(owner) and path.startswith(owner)


def leaving(seed: int, weakening: str = "") -> Report:
    """List an upstream as leaving under load."""
    with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
        mark = 0.0

        async def work(client: Client) -> None:
            nonlocal mark
            await client.many(60, 12, lambda number: _serve_any(client, fleet))
            client.history.inject("portal-1 leaving")
            fleet.set_host(
                "portal-1", role="upstream", data_centre="almaty-1", state="leaving", address=""
            )
            with anyio.move_on_after(6):
                while not await _all_show_leaving(client, fleet):
                    await anyio.sleep(0.1)
            mark = time.clock_gettime(time.CLOCK_BOOTTIME)
            await client.many(120, 12, lambda number: _serve_any(client, fleet))

        history = drive(seed, work)
        late = [r for r in fleet.records("portal-1") if r["event"] == "run" and r["t"] > mark]
        found = {
            "no new work": [f"{r['request_id']} ran after the notice" for r in late],
            "whole answers": checkers.nothing_cut(history.calls),
        }
        return Report("leaving", len(history.injected), len(history.calls), found)


async def _serve_any(client: Client, fleet: Fleet) -> None:
    await client.call(client.rng.choice(fleet.daemons).callers, FILINGS, "filers-sample")


async def _all_show_leaving(client: Client, fleet: Fleet) -> bool:
    for daemon in fleet.daemons:
        shown = (await client.http.get(daemon.operators + "/upstreams")).json()["upstreams"]
        if not any(u["leaving"] for u in shown if u["name"] == "portal-1"):
            return False
    return True


def reclaim(seed: int, weakening: str = "") -> Report:
    """Take a data centre's engines back on a second's notice while the store is slow."""
    taken = ("ledger-1", "ledger-4")  # all of almaty-1
    with running_fleet(example_config("almaty"), ALMATY, taken, weakening) as fleet:
        store = fleet.platform_url("object_api")
        mark = 0.0

        async def one(client: Client) -> None:
            daemon = client.rng.choice(fleet.daemons)
            await client.generate(daemon.callers, LEDGER, "filers-sample", 160)

        async def take_back(client: Client) -> None:
            nonlocal mark
            await client.http.post(store + "/control", json={"fault": "slow", "delay_s": 1.5})
            client.history.inject("store slow")
            await anyio.sleep(0.5)
            for name in taken:
                place = {"role": "upstream", "data_centre": "almaty-1", "address": ""}
                fleet.set_host(name, state="leaving", **place)
            client.history.inject("notice")
            await anyio.sleep(4.0)
            mark = time.clock_gettime(time.CLOCK_BOOTTIME)
            for name in taken:
                client.history.inject(f"killed {name}")
                fleet.separate_upstreams[name].kill()

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(take_back, client)
                await client.many(240, 24, lambda number: one(client))

        history = drive(seed, work)
        late = [
            f"{r['request_id']} ran after the notice"
            for name in taken
            for r in fleet.records(name)
            if r["event"] == "run" and r["t"] > mark
        ]
        failed = [c.id for c in history.calls if c.connection_failed or c.status != 200]
        found = {
            "no new work": late,
            "whole answers": checkers.whole_answers(history.calls),
            "carried on elsewhere": failed,
        }
        return Report(
            "reclaim", len(history.injected), len(history.calls), found, control_costs(fleet)
        )


def rolling_ten_times(seed: int, weakening: str = "") -> Report:
    """Restart every daemon in turn under load, ten times."""
    return rolling(seed, weakening, rounds=10)


def rolling(seed: int, weakening: str = "", rounds: int = 1) -> Report:
    """Restart every daemon in turn under load, as a balancer that follows readiness sees it."""
    with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
        in_rotation = {daemon.name: daemon for daemon in fleet.daemons}

        async def follow_readiness(client: Client) -> None:
            while True:
                for daemon in fleet.daemons:
                    with suppress(httpx.HTTPError):
                        answer = await client.http.get(daemon.callers + "/readyz", timeout=1)
                        if answer.status_code == 200 and not daemon.stopping:
                            in_rotation[daemon.name] = daemon
                            continue
                    in_rotation.pop(daemon.name, None)
                await anyio.sleep(0.1)

        async def restart_all(client: Client) -> None:
            for daemon in fleet.daemons * rounds:
                client.history.inject(f"restarted {daemon.name}")
                daemon.process.terminate()
                while daemon.process.poll() is None:
                    await anyio.sleep(0.1)
                daemon.start()
                while daemon.name not in in_rotation:
                    await anyio.sleep(0.1)

        async def load(client: Client, done: anyio.Event) -> None:
            while not done.is_set():
                daemon = client.rng.choice(sorted(in_rotation.values(), key=lambda d: d.name))
                if client.rng.random() < 0.3:
                    await client.generate(daemon.callers, LEDGER, "filers-sample", 64)
                else:
                    await client.call(daemon.callers, FILINGS + "?delay_s=0.2", "filers-sample")

        async def work(client: Client) -> None:
            done = anyio.Event()
            async with anyio.create_task_group() as followers:
                followers.start_soon(follow_readiness, client)
                async with anyio.create_task_group() as callers:
                    for _ in range(8):
                        callers.start_soon(load, client, done)
                    await restart_all(client)
                    done.set()
                followers.cancel_scope.cancel()

        history = drive(seed, work)
        found = {
            "planned stop": checkers.nothing_cut(history.calls),
            "whole answers": checkers.whole_answers(history.calls),
        }
        return Report("rolling", len(history.injected), len(history.calls), found)
