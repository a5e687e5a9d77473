"""Soak requests and batches with daemons that lose their links to all upstreams again and again."""

import os
import random
from collections import Counter

import anyio

from acaciarill.errors import AcaciarillError
from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.fakes import configuration, submission
from tests.platform.partitions import LostLinks, PartitionKind
from tests.platform.test_whole_path import LocalFleet, wait_until

SEED = int(os.environ.get("SOAK_SEED", "1"))
SOAK_S = float(os.environ.get("SOAK_S", "8"))
SETTLE_TIMEOUT_S = 40.0
CLIENTS_PER_DAEMON = 3
EVENTS = 12
ITEMS = 8
FRONTS = ("f1", "f2")


class LostLinksSoak:
    """Run one fleet under seeded cuts, and record what clients were told."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.statuses: dict[str, int] = {}
        self.faults: list[str] = []
        self.batches: list[str] = []
        self.running = True

    async def run(self, seconds: float) -> None:
        """Cut and heal for some seconds, then read all batches; faults stand in `faults`."""
        async with anyio.create_task_group() as tasks:
            self.fleet = fleet = LocalFleet(tasks)
            await fleet.start()
            once = configuration(2)
            once["routes"][0]["kind"] = "unsafe"
            fleet.store.put("config", "main", once)
            await wait_until(
                lambda: all(fleet.daemons[name].configuration.version == 2 for name in FRONTS)
            )
            for engine in fleet.engines:
                engine.event_count, engine.event_interval_s = EVENTS, 0.05
            reachable = {fleet.store.address, fleet.duty_api.address}
            self.links = {
                name: LostLinks(fleet.daemons[name].pool, reachable) for name in fleet.daemons
            }
            async with anyio.create_task_group() as work:
                for name in FRONTS:
                    for client in range(CLIENTS_PER_DAEMON):
                        work.start_soon(self._send_requests, name, client)
                work.start_soon(self._submit_batches)
                work.start_soon(self._cut_and_heal)
                await anyio.sleep(seconds)
                self.running = False
            for links in self.links.values():
                links.heal()
            with anyio.fail_after(SETTLE_TIMEOUT_S):
                for batch in self.batches:
                    await self._check_batch(batch)
            self._check_requests()
            tasks.cancel_scope.cancel()

    async def _cut_and_heal(self) -> None:
        while self.running:
            await anyio.sleep(self.rng.uniform(0.2, 1.2))
            links = self.rng.choice(list(self.links.values()))
            if links.kind is not None:
                links.heal()
            elif self.rng.random() < 0.8:
                links.cut(self.rng.choice(list(PartitionKind)))
            else:
                server = self.rng.choice(list(self.fleet.daemons.values())).peers.server
                for connection in list(server.connections.values()):
                    await connection.aclose()

    async def _send_requests(self, name: str, client: int) -> None:
        number = 0
        while self.running:
            request_id = f"{name}-{client}-{number}"
            number += 1
            self.fleet.web.response_delay_s = self.rng.choice((0.0, 0.02, 0.2))
            try:
                response = await self.fleet.call(name, "POST", "/p/1", b"x", id=request_id)
            except AcaciarillError:
                self.statuses[request_id] = 0
                continue
            self.statuses[request_id] = response.head.status
            stamp = response.head.get(b"x-acaciarill-server-stamp")
            if response.head.status == 200 and (
                response.body != b"plain x" or stamp != f"stamp-{request_id}"
            ):
                self.faults.append(f"{request_id} got the response {response.body!r} of {stamp}")
            await anyio.sleep(self.rng.uniform(0.01, 0.1))

    async def _submit_batches(self) -> None:
        while self.running:
            batch = f"batch-{len(self.batches)}"
            name = self.rng.choice(FRONTS)
            body = submission(ITEMS, prefix=f"{batch}-")
            response = await self.fleet.call(name, "POST", f"/b/{batch}", body, id=batch)
            if response.head.status == 202:
                self.batches.append(batch)
            await anyio.sleep(1.0)

    async def _check_batch(self, batch: str) -> None:
        for result in await self.fleet.read_results("f2", batch, ITEMS):
            events = [f"{result['id']}-{event}" for event in range(EVENTS)]
            if result["state"] != "completed" or result["output"].split("\n") != events:
                self.faults.append(f"{result['id']} is {result['state']}: {result['output']!r}")

    def _check_requests(self) -> None:
        runs = Counter(r.get(b"x-acaciarill-attempt-id") for r in self.fleet.web.requests)
        for request_id, status in self.statuses.items():
            if runs[request_id] > 1:
                self.faults.append(f"{request_id} ran {runs[request_id]} times")
            if status in (429, 503) and runs[request_id]:
                self.faults.append(f"{request_id} ran, though it got {status}")
            if status == 200 and not runs[request_id]:
                self.faults.append(f"{request_id} got 200, though it never ran")
        for name in FRONTS:
            if self.fleet.daemons[name].quarantine.quarantined():
                self.faults.append(f"{name} quarantines requests, though no upstream crashed")


class LostLinksSoakTest(PlainLoopTestCase):
    """Run the soak with the seed and for the seconds of SOAK_SEED and SOAK_S."""

    # TWICE, REFUSED, MIXED, LOST while exchanges move between direct and relayed ways.
    async def test_nothing_runs_twice_or_is_lost_while_links_come_and_go(self) -> None:
        soak = LostLinksSoak(SEED)
        await soak.run(SOAK_S)
        self.assertEqual(soak.faults, [])
        self.assertGreater(Counter(soak.statuses.values())[200], 0)
