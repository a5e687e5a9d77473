"""Verify the guarantees of client requests."""

import signal
import time
from collections import Counter
from contextlib import suppress

import anyio
import httpx

from tests.fakes.fleet import (
    SAMPLE_KEY_SECRET,
    START_TIMEOUT_S,
    Fleet,
    example_config,
    running_fleet,
)
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
    run_workload,
)

LONG_REQUEST_S = 4.0
"""Duration of requests that must still run when their records are read, within every deadline."""
LONG_REQUESTS_PER_DAEMON = 4
"""Number of long requests at each daemon, within the reserve of its retry budget."""


def outcomes(seed: int, weakening: str = "") -> Report:
    """Kill plain services under load, refuse requests, cut responses and repeat idempotency keys.

    Guards against a retry of a request that an upstream may have run, against the outcome
    "not-run" for a request that did run, and against a truncated response that looks complete.
    """
    with running_fleet(example_config("almaty"), ALMATY, PORTALS, weakening) as fleet:

        async def work(client: Client) -> None:
            # Runs first, before retry budgets are spent and upstreams are ejected.
            await _kill_while_running(client, fleet, 1)
            await _kill_while_running(client, fleet, len(PORTALS))
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(_kill_upstreams, client, fleet)
                await client.run_concurrently(
                    800, 24, lambda number: _send_faulty_filing(client, fleet, number)
                )
                task_group.cancel_scope.cancel()

        history = run_workload(seed, work)
        for process in fleet.separate_upstreams.values():
            process.kill()
        records = list(fleet.records("portal-*"))
        return Report(
            "outcomes",
            len(history.injected_failures),
            len(history.calls),
            {
                "at most once": checkers.find_repeated_runs(
                    r for r in records if r.get("path", FILINGS) == FILINGS
                ),
                "not run is true": checkers.find_false_not_run(history.calls, records),
                "whole answers": checkers.find_incomplete_responses(history.calls),
            },
        )


async def _send_faulty_filing(client: Client, fleet: Fleet, number: int) -> None:
    daemon = client.rng.choice(fleet.daemons)
    path = FILINGS + client.rng.choice(["", "?delay_s=0.3", "?delay_s=0.3", "?refuse=1", "?cut=1"])
    if number % 4:
        await client.call(daemon.callers, path, "filers-sample")
        return
    headers = {"idempotency-key": f"key-{number}"}
    for attempt_number, target in enumerate((daemon, client.rng.choice(fleet.daemons))):
        call_id = f"claimed-{number}.{attempt_number}"
        await client.call(target.callers, path, "filers-sample", headers=headers, call_id=call_id)


async def _kill_while_running(client: Client, fleet: Fleet, victims: int) -> None:
    """Kill the `victims` busiest upstreams once the records show that all requests are running."""
    paths = (FILINGS, LOOKUP)  # an at-most-once route and an idempotent route
    count = LONG_REQUESTS_PER_DAEMON * len(fleet.daemons)
    prefix = f"held-{victims}-"
    ended: set[str] = set()

    async def send_request(number: int) -> None:
        daemon = fleet.daemons[number % len(fleet.daemons)]
        path = f"{paths[number // len(fleet.daemons) % 2]}?delay_s={LONG_REQUEST_S}"
        call_id = f"{prefix}{number}"
        await client.call(daemon.callers, path, "filers-sample", call_id=call_id)
        ended.add(call_id)

    def running() -> dict[str, str]:
        """Return the upstream of each request that has started and not ended."""
        running_upstreams = {
            checkers.client_request_id(r["request_id"]): r["file"]
            for r in fleet.records("portal-*")
            if r["event"] == "run" and r["request_id"].startswith(prefix)
        }
        return {call: name for call, name in running_upstreams.items() if call not in ended}

    async with anyio.create_task_group() as task_group:
        for number in range(count):
            task_group.start_soon(send_request, number)
        with anyio.fail_after(START_TIMEOUT_S):
            while len(running()) + len(ended) < count:  # noqa: ASYNC110
                await anyio.sleep(0.02)
        busy = Counter(running().values())
        busiest = sorted(PORTALS, key=lambda name: -busy[name])[:victims]
        for name in busiest:
            client.history.record_failure(f"killed {name} while it ran requests")
            fleet.separate_upstreams[name].kill()
    for name in busiest:
        fleet.separate_upstreams[name].start()


async def _kill_upstreams(client: Client, fleet: Fleet) -> None:
    while True:
        await anyio.sleep(0.4)
        process = fleet.separate_upstreams[client.rng.choice(PORTALS)]
        if client.rng.random() < 0.5:  # keeps its connections open without responses for a while
            client.history.record_failure(f"paused {process.name}")
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(0.3)
        client.history.record_failure(f"killed {process.name}")
        process.kill()
        await anyio.sleep(0.3)
        process.start()


def streams(seed: int, weakening: str = "") -> Report:
    """Cut engines' streams before their final record while clients read them.

    Guards against a truncated stream that a daemon ends as if it were complete.
    """
    with running_fleet(example_config("almaty"), ALMATY[:2], weakening=weakening) as fleet:
        engines = [f"http://127.0.0.1:{fleet.base_port + 20 + number}" for number in range(4)]

        async def cut_streams(client: Client) -> None:
            while True:
                await anyio.sleep(0.35)
                client.history.record_failure("engine cut its streams")
                url = client.rng.choice(engines)
                await client.http.post(url + "/control", json={"fault": "cut"})
                await anyio.sleep(0.1)
                await client.http.post(url + "/control", json={"fault": ""})

        async def send_request(client: Client) -> None:
            daemon = client.rng.choice(fleet.daemons)
            await client.generate(daemon.callers, LEDGER, "filers-sample", 96)

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(cut_streams, client)
                await client.run_concurrently(80, 16, lambda number: send_request(client))
                task_group.cancel_scope.cancel()

        history = run_workload(seed, work)
        violations = {"whole answers": checkers.find_incomplete_responses(history.calls)}
        return Report("streams", len(history.injected_failures), len(history.calls), violations)


def tenancy(seed: int, weakening: str = "") -> Report:
    """Send keys of one owner on the routes of another, and search upstream records for secrets.

    Guards against requests that run for a customer of another owner, and against credentials that
    are forwarded to an upstream.
    """
    text = example_config("almaty") + example_config("cwmdu")
    with running_fleet(text, ["almaty-1", "cwmdu-1"], weakening=weakening) as fleet:

        async def send_request(client: Client, number: int) -> None:
            base_url = fleet.daemons[number % 2].callers
            key = client.rng.choice(["filers-sample", "north-club-sample", ""])
            path = client.rng.choice([FILINGS, LOOKUP, "/cwmdu/launches/x", "/cwmdu/tallies"])
            headers = {"cookie": f"session={SAMPLE_KEY_SECRET}", "x-api-key": SAMPLE_KEY_SECRET}
            await client.call(base_url, path, key, headers=headers)

        async def work(client: Client) -> None:
            await client.run_concurrently(120, 12, lambda number: send_request(client, number))

        history = run_workload(seed, work)
        fleet.stop()
        records = [r for pattern in ("portal-*", "launch-*") for r in fleet.records(pattern)]
        run_counts = checkers.count_runs_by_request(records)
        keys = {call.id: call.key for call in history.calls}
        foreign_runs = [
            f"{call_id} ran at {r['file']} for {keys[call_id]!r}"
            for r in records
            if r["event"] == "run"
            for call_id in [checkers.client_request_id(r["request_id"])]
            if not _is_allowed(keys[call_id], r["path"])
        ]
        violations = {
            "own customer": foreign_runs,
            "no key upstream": checkers.find_leaked_secrets(records, SAMPLE_KEY_SECRET),
        }
        return Report("tenancy", 0, len(history.calls) + sum(run_counts.values()), violations)


def _is_allowed(key: str, path: str) -> bool:
    owner = {"filers-sample": "/almaty", "north-club-sample": "/cwmdu", "": ""}[key]
    return path.startswith(LOOKUP) or bool(owner) and path.startswith(owner)


def leaving(seed: int, weakening: str = "") -> Report:
    """Set an upstream's state to leaving under load.

    Guards against new requests at an upstream after every daemon has seen that it is leaving.
    """
    with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
        cutoff = 0.0

        async def work(client: Client) -> None:
            nonlocal cutoff
            await client.run_concurrently(60, 12, lambda number: _send_filing(client, fleet))
            client.history.record_failure("portal-1 leaving")
            fleet.set_host(
                "portal-1", role="upstream", data_centre="almaty-1", state="leaving", address=""
            )
            with anyio.move_on_after(6):
                while not await _is_leaving_everywhere(client, fleet):
                    await anyio.sleep(0.1)
            cutoff = time.clock_gettime(time.CLOCK_BOOTTIME)
            await client.run_concurrently(120, 12, lambda number: _send_filing(client, fleet))

        history = run_workload(seed, work)
        late_runs = [
            r for r in fleet.records("portal-1") if r["event"] == "run" and r["t"] > cutoff
        ]
        violations = {
            "no new work": [f"{r['request_id']} ran after the notice" for r in late_runs],
            "whole answers": checkers.find_interrupted_requests(history.calls),
        }
        return Report("leaving", len(history.injected_failures), len(history.calls), violations)


async def _send_filing(client: Client, fleet: Fleet) -> None:
    await client.call(client.rng.choice(fleet.daemons).callers, FILINGS, "filers-sample")


async def _is_leaving_everywhere(client: Client, fleet: Fleet) -> bool:
    for daemon in fleet.daemons:
        upstreams = (await client.http.get(daemon.operators + "/upstreams")).json()["upstreams"]
        if not any(u["leaving"] for u in upstreams if u["name"] == "portal-1"):
            return False
    return True


def reclaim(seed: int, weakening: str = "") -> Report:
    """Reclaim a data centre's engines at short notice while the store is slow.

    Guards against new requests at a leaving engine and against requests that fail with it instead
    of being continued at an engine of another data centre.
    """
    reclaimed = ("ledger-1", "ledger-4")  # all of almaty-1
    with running_fleet(example_config("almaty"), ALMATY, reclaimed, weakening) as fleet:
        store = fleet.platform_url("object_api")
        cutoff = 0.0

        async def send_request(client: Client) -> None:
            daemon = client.rng.choice(fleet.daemons)
            await client.generate(daemon.callers, LEDGER, "filers-sample", 160)

        async def reclaim_engines(client: Client) -> None:
            nonlocal cutoff
            await client.http.post(store + "/control", json={"fault": "slow", "delay_s": 1.5})
            client.history.record_failure("store slow")
            await anyio.sleep(0.5)
            for name in reclaimed:
                entry = {"role": "upstream", "data_centre": "almaty-1", "address": ""}
                fleet.set_host(name, state="leaving", **entry)
            client.history.record_failure("notice")
            await anyio.sleep(4.0)
            cutoff = time.clock_gettime(time.CLOCK_BOOTTIME)
            for name in reclaimed:
                client.history.record_failure(f"killed {name}")
                fleet.separate_upstreams[name].kill()

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(reclaim_engines, client)
                await client.run_concurrently(240, 24, lambda number: send_request(client))

        history = run_workload(seed, work)
        late_runs = [
            f"{r['request_id']} ran after the notice"
            for name in reclaimed
            for r in fleet.records(name)
            if r["event"] == "run" and r["t"] > cutoff
        ]
        failed = [c.id for c in history.calls if c.connection_failed or c.status != 200]
        violations = {
            "no new work": late_runs,
            "whole answers": checkers.find_incomplete_responses(history.calls),
            "carried on elsewhere": failed,
        }
        return Report(
            "reclaim",
            len(history.injected_failures),
            len(history.calls),
            violations,
            control_costs(fleet),
        )


def rolling_ten_times(seed: int, weakening: str = "") -> Report:
    """Restart every daemon in turn under load, ten times."""
    return rolling(seed, weakening, rounds=10)


def rolling(seed: int, weakening: str = "", rounds: int = 1) -> Report:
    """Restart every daemon in turn under load, behind a load balancer that follows readiness.

    Guards against a planned stop that interrupts the requests in progress.
    """
    with running_fleet(example_config("almaty"), ALMATY, weakening=weakening) as fleet:
        in_rotation = {daemon.name: daemon for daemon in fleet.daemons}

        async def follow_readiness(client: Client) -> None:
            while True:
                for daemon in fleet.daemons:
                    with suppress(httpx.HTTPError):
                        response = await client.http.get(daemon.callers + "/readyz", timeout=1)
                        if response.status_code == 200 and not daemon.stopping:
                            in_rotation[daemon.name] = daemon
                            continue
                    in_rotation.pop(daemon.name, None)
                await anyio.sleep(0.1)

        async def restart_all(client: Client) -> None:
            for daemon in fleet.daemons * rounds:
                client.history.record_failure(f"restarted {daemon.name}")
                daemon.process.terminate()
                while daemon.process.poll() is None:
                    await anyio.sleep(0.1)
                daemon.start()
                while daemon.name not in in_rotation:
                    await anyio.sleep(0.1)

        async def generate_load(client: Client, done: anyio.Event) -> None:
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
                        callers.start_soon(generate_load, client, done)
                    await restart_all(client)
                    done.set()
                followers.cancel_scope.cancel()

        history = run_workload(seed, work)
        violations = {
            "planned stop": checkers.find_interrupted_requests(history.calls),
            "whole answers": checkers.find_incomplete_responses(history.calls),
        }
        return Report("rolling", len(history.injected_failures), len(history.calls), violations)
