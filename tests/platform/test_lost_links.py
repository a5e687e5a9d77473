"""Test daemons that lose their links to all upstreams while callers, peers and store reach them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import orjson

from acaciarill.edge import HttpResponse
from acaciarill.errors import AcaciarillError
from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.fakes import configuration, submission
from tests.platform.partitions import LostLinks, PartitionKind
from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet, wait_until

CONTACT_S = 3.0
"""Users' time from the beginning of a cut to the first try that counts."""
SERVED_SHARE = 2 / 3
"""Users' limit on the share served at daemons without links, of that at the others."""
ITEMS = 16


class LostLinksTest(PlainLoopTestCase):
    """Cut the links of one of two daemons with callers, in the three ways that the users name."""

    @asynccontextmanager
    async def run_fleet(self, keeper: bool = True) -> AsyncIterator[LocalFleet]:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = LocalFleet(tasks)
                await fleet.start()
                if not keeper:
                    fronts = [fleet.daemons["f1"], fleet.daemons["f2"]]
                    # A daemon that is known by its pings alone is not removed.
                    await wait_until(
                        lambda: all(d.members.by_name["s1"].registered for d in fronts)
                    )
                    fleet.scopes["s1"].cancel()
                    fleet.store.delete("daemons", "s1")
                    await wait_until(lambda: all("s1" not in d.members.by_name for d in fronts))
                yield fleet
                tasks.cancel_scope.cancel()

    def lose_links(self, fleet: LocalFleet, name: str) -> LostLinks:
        daemon = fleet.daemons[name]
        return LostLinks(daemon.pool, {fleet.store.address, fleet.duty_api.address})

    async def _call(self, fleet: LocalFleet, name: str, number: int) -> HttpResponse | None:
        try:
            with anyio.fail_after(1.5):
                return await fleet.call(name, "POST", "/p/1", b"x", id=f"{name}-{number}")
        except (AcaciarillError, TimeoutError):
            return None

    async def _served_share(self, fleet: LocalFleet, name: str, count: int = 20) -> float:
        served = 0
        for number in range(count):
            response = await self._call(fleet, name, number)
            if response is not None and response.head.status == 200:
                self.assertEqual(response.body, b"plain x")
                stamp = response.head.get(b"x-acaciarill-server-stamp")
                self.assertEqual(stamp, f"stamp-{name}-{number}")
                served += 1
        return served / count

    # RECOVER: callers of a daemon that had lost its links were refused.
    async def test_callers_are_served_while_connections_hang(self) -> None:
        await self._check_callers(PartitionKind.HANG)

    async def test_callers_are_served_after_connections_were_reset(self) -> None:
        await self._check_callers(PartitionKind.RESET)

    async def test_callers_are_served_while_only_new_connections_are_refused(self) -> None:
        await self._check_callers(PartitionKind.REFUSE_NEW)

    async def _check_callers(self, kind: PartitionKind) -> None:
        for keeper in (True, False):
            with self.subTest(keeper=keeper):
                async with self.run_fleet(keeper) as fleet:
                    links = self.lose_links(fleet, "f1")
                    await self._served_share(fleet, "f1", 3)
                    links.cut(kind)
                    await anyio.sleep(CONTACT_S)
                    share = await self._served_share(fleet, "f1")
                    other_share = await self._served_share(fleet, "f2")
                    self.assertGreaterEqual(share, SERVED_SHARE * other_share)
                    self.assertEqual(fleet.daemons["f1"].quarantine.quarantined(), {})

    # RECOVER: texts of a batch waited for engines that only their owner could not reach.
    async def test_batch_is_completed_while_connections_of_its_owner_hang(self) -> None:
        await self._check_batch(PartitionKind.HANG)

    async def test_batch_is_completed_after_connections_of_its_owner_were_reset(self) -> None:
        await self._check_batch(PartitionKind.RESET)

    async def test_batch_is_completed_while_its_owner_cannot_connect(self) -> None:
        await self._check_batch(PartitionKind.REFUSE_NEW)

    async def _check_batch(self, kind: PartitionKind) -> None:
        async with self.run_fleet() as fleet:
            all_links = {name: self.lose_links(fleet, name) for name in ("f1", "f2")}
            for engine in fleet.engines:
                engine.event_count, engine.event_interval_s = 20, 0.05
            await fleet.call("f2", "POST", "/b/1", submission(ITEMS), id="batch-1")
            owner = fleet.owner("batch-1")
            await wait_until(lambda: bool(fleet.engines[0].generations))
            all_links[owner].cut(kind)
            results = await fleet.read_results("f2", "batch-1", ITEMS)
            self.assertEqual({result["state"] for result in results}, {"completed"})
            for result in results:
                expected = [f"{result['id']}-{event}" for event in range(20)]
                self.assertEqual(result["output"].split("\n"), expected)
            self.assertTrue(fleet.daemons[owner].links.is_cut_off)

    # RECOVER: a stream that began before the cut, or after it, was not completed.
    async def test_streams_are_completed_while_connections_hang(self) -> None:
        await self._check_streams(PartitionKind.HANG)

    async def test_streams_are_completed_after_connections_were_reset(self) -> None:
        await self._check_streams(PartitionKind.RESET)

    async def test_streams_are_completed_while_only_new_connections_are_refused(self) -> None:
        await self._check_streams(PartitionKind.REFUSE_NEW)

    async def _check_streams(self, kind: PartitionKind) -> None:
        async with self.run_fleet() as fleet:
            links = self.lose_links(fleet, "f1")
            for engine in fleet.engines:
                engine.event_count, engine.event_interval_s = 30, 0.05
            bodies: dict[str, bytes] = {}
            async with anyio.create_task_group() as streams:
                streams.start_soon(self._stream, fleet, "before", bodies)
                await anyio.sleep(0.5)
                links.cut(kind)
                await anyio.sleep(CONTACT_S)
                streams.start_soon(self._stream, fleet, "after", bodies)
            for name in ("before", "after"):
                events = [f"id: {n}\ndata: {name}-{n}\n\n".encode() for n in range(30)]
                self.assertEqual(bodies[name], b"".join(events))

    async def _stream(self, fleet: LocalFleet, request_id: str, bodies: dict[str, bytes]) -> None:
        headers = [
            (b"Host", b"h.example"),
            (b"Authorization", b"Bearer key-1"),
            (b"X-Acaciarill-Attempt-Id", request_id.encode()),
            (b"X-Acaciarill-Model", b"m"),
        ]
        address = fleet.daemons["f1"].settings.callers
        try:
            response = await fleet.pool.request(
                address, "POST", "/g/1", headers, new_connection=True
            )
            bodies[request_id] = response.body
        except AcaciarillError:
            bodies[request_id] = b""

    # RECOVER: weight loads stopped as long as the holder of the duties was cut off.
    async def test_duties_move_to_a_daemon_with_links(self) -> None:
        async with self.run_fleet() as fleet:
            await wait_until(lambda: bool(fleet.holder()))
            cut_off = fleet.holder()
            links = self.lose_links(fleet, cut_off)
            links.cut(PartitionKind.HANG)
            daemon = fleet.daemons[cut_off]
            suspect = daemon.table.states["e0"].upstream
            self.assertTrue(await daemon.links.check_after_failure(suspect))
            await wait_until(lambda: fleet.holder() not in ("", cut_off))
            fleet.store.put("versions", "m", {"model": "m", "version": 2})
            await wait_until(lambda: any(engine.orders for engine in fleet.engines))
            epochs = [order["fence"] for engine in fleet.engines for order in engine.orders]
            self.assertEqual(len(set(epochs)), 1)
            links.heal()
            await wait_until(lambda: not daemon.links.is_cut_off)
            await anyio.sleep(CONTACT_S)
            self.assertNotEqual(fleet.holder(), cut_off)

    # UNASKED, DRAIN: a relay sends nothing to an upstream that has left, and nothing for strangers.
    async def test_relay_refuses_what_it_must_not_send(self) -> None:
        async with self.run_fleet(keeper=False) as fleet:
            links = self.lose_links(fleet, "f1")
            links.cut(PartitionKind.REFUSE_NEW)
            await self._served_share(fleet, "f1", 3)
            self.assertTrue(fleet.daemons["f1"].links.is_cut_off)
            fleet.web.requests.clear()
            fleet.daemons["f2"].table.states["w1"].record_leaving()
            response = await self._call(fleet, "f1", 50)
            assert response is not None
            self.assertEqual(response.head.status, 503)
            self.assertEqual(fleet.web.requests, [])
            del fleet.daemons["f2"].members.by_name["f1"]
            response = await self._call(fleet, "f1", 51)
            assert response is not None
            self.assertEqual(response.head.status, 503)
            self.assertEqual(fleet.web.requests, [])

    # TWICE: a request that may not be repeated ran again after the daemon that relayed it was lost.
    async def test_lost_relay_leaves_the_outcome_unknown(self) -> None:
        async with self.run_fleet(keeper=False) as fleet:
            once = configuration(2)
            once["routes"][0]["kind"] = "unsafe"
            fleet.store.put("config", "main", once)
            fronts = [fleet.daemons["f1"], fleet.daemons["f2"]]
            await wait_until(lambda: all(d.configuration.version == 2 for d in fronts))
            links = self.lose_links(fleet, "f1")
            links.cut(PartitionKind.REFUSE_NEW)
            await self._served_share(fleet, "f1", 3)
            fleet.web.requests.clear()
            fleet.web.response_delay_s = 0.5
            responses: list[HttpResponse | None] = []

            async def call() -> None:
                responses.append(await self._call(fleet, "f1", 60))

            async with anyio.create_task_group() as calls:
                calls.start_soon(call)
                await wait_until(lambda: bool(fleet.web.requests))
                for connection in list(fleet.daemons["f2"].peers.server.connections.values()):
                    await connection.aclose()
            assert responses[0] is not None
            self.assertEqual(responses[0].head.status, 504)
            self.assertEqual(len(fleet.web.requests), 1)

    # GONE: an upstream went on with a relayed request after its client had left.
    async def test_relayed_request_ends_with_its_client(self) -> None:
        async with self.run_fleet() as fleet:
            links = self.lose_links(fleet, "f1")
            links.cut(PartitionKind.REFUSE_NEW)
            await self._served_share(fleet, "f1", 3)
            fleet.web.response_delay_s = 30.0
            served_before = len(fleet.web.requests)
            with anyio.move_on_after(0.5):
                await fleet.call("f1", "POST", "/p/1", b"x", id="left")
            await wait_until(lambda: not fleet.daemons["s1"].relay_server.active_exchanges)
            self.assertGreater(len(fleet.web.requests), served_before)
            await wait_until(lambda: not fleet.web.server.active_requests)

    # TWICE: a relay kept a text running for a daemon that was frozen and lost its batch.
    async def test_relay_ends_the_exchanges_of_a_silent_daemon(self) -> None:
        async with self.run_fleet() as fleet:
            links = self.lose_links(fleet, "f1")
            links.cut(PartitionKind.REFUSE_NEW)
            await self._served_share(fleet, "f1", 3)
            fleet.web.response_delay_s = 30.0
            async with anyio.create_task_group() as calls:
                calls.start_soon(self._call, fleet, "f1", 70)
                server = fleet.daemons["s1"].relay_server
                await wait_until(lambda: server.active_exchanges > 0)
                server.members.by_name["f1"].last_contact_at = -1e9
                server.clock = lambda: fleet.daemons["s1"].clock() + 100.0
                await wait_until(lambda: not server.active_exchanges)
                calls.cancel_scope.cancel()

    async def test_upstream_that_is_down_does_not_count_as_lost_links(self) -> None:
        async with self.run_fleet() as fleet:
            fleet.web.server.stop_accepting()
            for connection in list(fleet.web.server.connections):
                await connection.close()
            for number in range(5):
                response = await self._call(fleet, "f1", number)
                assert response is not None
                self.assertEqual(response.head.status, 503)
            self.assertFalse(fleet.daemons["f1"].links.is_cut_off)
            status = orjson.loads(orjson.dumps(fleet.daemons["f1"].status()))
            self.assertFalse(status["links_lost"])
