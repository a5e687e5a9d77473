"""Test daemons end to end against fakes of the platform."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.abc
import anyio.to_thread
import orjson
from click.testing import CliRunner

from acaciarill.addresses import split_address
from acaciarill.batches.const import MIN_CHECKPOINT_EVENTS
from acaciarill.command_line import main
from acaciarill.edge import HttpPool, HttpResponse
from acaciarill.fleet_daemon import FleetDaemon
from acaciarill.mirrors.const import MIN_OUTAGE_S
from acaciarill.platform._main import build_fleet_settings, build_ports
from acaciarill.platform._settings import PlatformSettings
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.ports import free_port
from tests.platform.fakes import (
    FakeDutyApi,
    FakeReplica,
    FakeStore,
    configuration,
    submission,
)

CLIENT_CONNECT_TIMEOUT_S = 1.0
"""The users' clients allow a new connection one second."""
TEST_TIMEOUT_S = 40.0
"""Timeout that ends a hanging test; no behaviour is checked against it."""


async def _open_client_stream(address: str, timeout_s: float) -> anyio.abc.SocketStream:
    """Connect as the users' clients do, which allow more time than a daemon allows an upstream."""
    with anyio.fail_after(CLIENT_CONNECT_TIMEOUT_S):
        return await anyio.connect_tcp(*split_address(address))


class LocalFleet:
    """Run the platform fakes and the daemons of one test."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.store, self.duty_api = FakeStore(), FakeDutyApi()
        self.engines = [
            FakeReplica(self.store, f"e{i}", "llm", zone, {"m": 1}) for i, zone in enumerate("ab")
        ]
        self.web = FakeReplica(self.store, "w1", "web", "a", {})
        self.other_replicas: list[FakeReplica] = []
        self.daemons: dict[str, FleetDaemon] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.stops: dict[str, anyio.Event] = {}
        self.ended: dict[str, anyio.Event] = {}
        self.drain_s = 2.0
        self.pool = HttpPool(anyio.current_time, _open_client_stream)

    async def start(self) -> None:
        """Start the fakes, two front daemons and one daemon that serves no clients."""
        replicas = (self.web, *self.engines, *self.other_replicas)
        for server in (self.store, self.duty_api, *replicas):
            await self.tasks.start(server.run)
        for replica in replicas:
            replica.register()
        self.store.put("config", "main", configuration())
        for name, zone in (("f1", "a"), ("f2", "b"), ("s1", "a")):
            self.start_daemon(name, zone)
        await wait_until(lambda: len(self.daemons) == 3)
        fronts = [self.daemons["f1"], self.daemons["f2"]]
        await wait_until(lambda: all(d.configuration and d.table.states for d in fronts))
        await wait_until(lambda: all(len(d.members.by_name) == 3 for d in fronts))

    def start_daemon(self, name: str, zone: str) -> None:
        """Start a daemon, or start it again after its scope was cancelled."""
        self.daemons.pop(name, None)
        self.tasks.start_soon(self._run_daemon, name, zone)

    async def _run_daemon(self, name: str, zone: str) -> None:
        serves = name.startswith("f")
        settings = PlatformSettings(
            host=name,
            ip="127.0.0.1",
            data_centre=zone,
            serves_clients=serves,
            callers=f"127.0.0.1:{free_port()}" if serves else "",
            readiness=f"127.0.0.1:{free_port()}" if serves else "",
            peers=f"127.0.0.1:{free_port()}",
            seeds=(),
            store=self.store.address,
            duty_api=self.duty_api.address,
            drain_s=self.drain_s,
            usage_window_s=1.0,
            batch_retention_s=60.0,
            metrics_address=f"127.0.0.1:{free_port()}",
        )
        ended = self.ended[name] = anyio.Event()
        with anyio.CancelScope() as self.scopes[name]:
            async with anyio.create_task_group() as tasks:
                daemon = FleetDaemon(build_fleet_settings(settings), build_ports(settings), tasks)
                self.daemons[name] = daemon
                self.stops[name] = anyio.Event()
                await daemon.run(self.stops[name])
                tasks.cancel_scope.cancel()
        ended.set()

    async def call(
        self,
        daemon: str,
        method: str,
        target: str,
        body: bytes = b"",
        key: str = "key-1",
        **options: str,
    ) -> HttpResponse:
        """Send one client request to a front daemon."""
        headers = [
            (b"Host", b"h.example"),
            (b"Authorization", f"Bearer {key}".encode()),
            (b"X-Acaciarill-Attempt-Id", options.get("id", "call-1").encode()),
            (b"X-Acaciarill-Deadline-Ms", b"3000"),
        ]
        if "wait_ms" in options:
            headers.append((b"X-Acaciarill-Wait-Ms", options["wait_ms"].encode()))
        address = self.daemons[daemon].settings.callers
        return await self.pool.request(address, method, target, headers, body, new_connection=True)

    async def read_results(self, daemon: str, batch: str, total: int) -> list[dict[str, Any]]:
        """Read a batch's results until `total` of them have arrived."""
        results: list[dict[str, Any]] = []
        while len(results) < total:
            response = await self.call(
                daemon, "GET", f"/lots/{batch}?after={len(results)}", wait_ms="300"
            )
            if response.head.status == 200:
                page = orjson.loads(response.body)
                assert page["next"] == len(results) + len(page["results"])
                results += page["results"]
            else:
                await anyio.sleep(0.1)
        return results

    def holder(self) -> str:
        """Return the daemon that holds the duties, or an empty string."""
        holders = [name for name, daemon in self.daemons.items() if daemon.duties.held_duties()]
        return holders[0] if holders else ""

    def owner(self, batch: str) -> str:
        """Return the owner that the stored head of a batch names."""
        return self.store.spec("batches", batch)["owner"]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until a condition is true."""
    while not condition():
        await anyio.sleep(0.01)


class EndToEndTest(PlainLoopTestCase):
    """Test requests, batches, duties, and failures of the store and of daemons."""

    @asynccontextmanager
    async def run_fleet(self) -> AsyncIterator[LocalFleet]:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = LocalFleet(tasks)
                await fleet.start()
                yield fleet
                tasks.cancel_scope.cancel()

    async def test_request_is_authenticated_and_forwarded_for_its_customer(self) -> None:
        async with self.run_fleet() as fleet:
            response = await fleet.call("f1", "POST", "/p/1", b"x")
            self.assertEqual((response.head.status, response.body), (200, b"plain x"))
            self.assertEqual(response.head.get(b"x-acaciarill-server-stamp"), "stamp-call-1")
            forwarded = fleet.web.requests[-1]
            self.assertEqual(forwarded.get(b"x-acaciarill-tenant"), "t1")
            self.assertEqual(forwarded.get(b"authorization"), "")
            response = await fleet.call("f1", "POST", "/p/1", key="unknown")
            self.assertEqual(response.head.status, 401)
            self.assertEqual((await fleet.call("f1", "GET", "/none/")).head.status, 404)

    async def test_status_command_and_metrics_of_running_daemon(self) -> None:
        async with self.run_fleet() as fleet:
            address = fleet.daemons["f1"].settings.metrics_address
            arguments = ["--daemon", f"http://{address}", "fleet-status", "--json"]
            run = await anyio.to_thread.run_sync(lambda: CliRunner().invoke(main, arguments))
            self.assertEqual(run.exit_code, 0, run.output)
            # `output` also has what other threads write to stderr meanwhile, such as warnings.
            status = orjson.loads(run.stdout)
            self.assertEqual((status["host"], status["configuration"]), ("f1", 1))
            self.assertTrue(status["ready"])
            response = await fleet.pool.request(address, "GET", "/metrics", [])
            self.assertIn(b"acaciarill_request_seconds", response.body)
            self.assertIn(b"acaciarill_store_calls_total", response.body)

    async def test_fronts_follow_watcher_and_fall_back_to_store_without_it(self) -> None:
        async with self.run_fleet() as fleet:
            fronts = [fleet.daemons["f1"], fleet.daemons["f2"]]
            await wait_until(lambda: all(front.feed.watcher == "s1" for front in fronts))
            fleet.store.put("config", "main", configuration(2))
            await wait_until(lambda: all(front.configuration.version == 2 for front in fronts))
            paused = [f.paused for front in fronts for f in front.mirrors.followers.values()]
            self.assertEqual(set(paused), {True})
            fleet.scopes["s1"].cancel()
            await wait_until(lambda: all(front.feed.watcher is None for front in fronts))
            fleet.store.put("config", "main", configuration(3))
            await wait_until(lambda: all(front.configuration.version == 3 for front in fronts))

    async def test_withdrawn_key_is_rejected_by_every_daemon(self) -> None:
        async with self.run_fleet() as fleet:
            fleet.store.put("config", "main", configuration(2, keys=("key-2",)))
            for name in ("f1", "f2"):
                await wait_until(lambda name=name: fleet.daemons[name].configuration.version == 2)
                self.assertEqual((await fleet.call(name, "POST", "/p/1")).head.status, 401)

    # review/6: the withdrawal of the last key of all customers opened every route to everybody.
    async def test_no_key_is_valid_after_the_last_one_was_withdrawn(self) -> None:
        async with self.run_fleet() as fleet:
            response = await fleet.call("f1", "POST", "/b/x", submission(2), id="batch-1")
            self.assertEqual(response.head.status, 202)
            await fleet.read_results("f1", "batch-1", 2)
            without_keys = configuration(2)
            for tenant in without_keys["tenants"]:
                tenant["api_keys"] = []
            without_tenants = configuration(3) | {"tenants": []}
            for withdrawn in (without_keys, without_tenants):
                fleet.store.put("config", "main", withdrawn)
                version = withdrawn["version"]
                for name in ("f1", "f2"):
                    daemon = fleet.daemons[name]
                    await wait_until(lambda d=daemon, v=version: d.configuration.version == v)
                    for method, target in (
                        ("POST", "/p/1"),
                        ("GET", "/g/1"),
                        ("POST", "/b/x"),
                        ("GET", "/lots/batch-1"),
                        ("GET", "/items/batch-1?id=i0"),
                        ("DELETE", "/lots/batch-1"),
                    ):
                        for key in ("key-1", "unknown"):
                            response = await fleet.call(name, method, target, key=key)
                            self.assertEqual(response.head.status, 401, (target, key))
            fleet.store.put("config", "main", configuration(4))
            front = fleet.daemons["f1"]
            await wait_until(lambda: front.configuration.version == 4)
            self.assertEqual((await fleet.call("f1", "POST", "/p/1")).head.status, 200)
            self.assertEqual(len(await fleet.read_results("f1", "batch-1", 2)), 2)

    async def test_resubmitted_batch_runs_once_and_is_readable_at_every_daemon(self) -> None:
        async with self.run_fleet() as fleet:
            body = submission(6)
            for name in ("f1", "f2", "f1"):
                response = await fleet.call(name, "POST", "/b/x", body, id="batch-1")
                self.assertEqual(response.head.status, 202)
            first = await fleet.read_results("f1", "batch-1", 6)
            again = await fleet.read_results("f2", "batch-1", 6)
            self.assertEqual(first, again)
            self.assertEqual({result["id"] for result in first}, {f"i{n}" for n in range(6)})
            for result in first:
                expected = "\n".join(f"{result['id']}-{n}" for n in range(6))
                self.assertEqual((result["state"], result["output"]), ("completed", expected))
                self.assertEqual(result["versions"], [1])
                self.assertEqual(result["score"], f"stamp-score-{result['id']}")
            response = await fleet.call("f2", "GET", "/lots/batch-1", key="other")
            self.assertEqual(response.head.status, 404)
            response = await fleet.call("f2", "GET", "/items/batch-1?id=i3")
            self.assertEqual(response.body, b"body 3")
            for name in ("f2", "f1"):
                response = await fleet.call(name, "DELETE", "/lots/batch-1")
                self.assertEqual(response.head.status, 200)
            self.assertEqual(
                len(fleet.engines[0].generations) + len(fleet.engines[1].generations), 6
            )

    async def test_batch_is_accepted_once_when_store_responses_are_lost(self) -> None:
        async with self.run_fleet() as fleet:
            fleet.store.lost_write_responses = 3
            response = await fleet.call("f1", "POST", "/b/x", submission(2), id="batch-1")
            self.assertEqual(response.head.status, 202)
            self.assertEqual(len(await fleet.read_results("f2", "batch-1", 2)), 2)

    async def test_batch_refused_while_store_is_unavailable_never_runs(self) -> None:
        async with self.run_fleet() as fleet:
            fleet.store.rejects = lambda request: True
            response = await fleet.call("f1", "POST", "/b/x", submission(2), id="batch-1")
            self.assertEqual(response.head.status, 503)
            self.assertIsNotNone(response.head.get(b"retry-after"))
            fleet.store.rejects = lambda request: False
            await anyio.sleep(0.5)
            self.assertNotIn("batch-1", fleet.store.kinds.get("batches", {}))
            self.assertEqual(fleet.engines[0].generations + fleet.engines[1].generations, [])

    async def test_stalled_streams_that_send_a_byte_now_and_then_are_ended(self) -> None:
        async with self.run_fleet() as fleet:
            for engine in fleet.engines:
                engine.trickles = True
            await fleet.call("f1", "POST", "/b/x", submission(4), id="batch-1")
            await wait_until(lambda: sum(len(engine.requests) for engine in fleet.engines) > 4)
            for engine in fleet.engines:
                engine.trickles = False
            results = await fleet.read_results("f1", "batch-1", 4)
            self.assertEqual({result["state"] for result in results}, {"completed"})

    async def test_new_owner_finishes_batch_without_moving_results(self) -> None:
        async with self.run_fleet() as fleet:
            for engine in fleet.engines:
                engine.event_interval_s = 0.3
            await fleet.call("f1", "POST", "/b/x", submission(16), id="batch-1")
            await wait_until(lambda: any(engine.generations for engine in fleet.engines))
            owner = fleet.owner("batch-1")
            other = "f2" if owner == "f1" else "f1"
            first_results = await fleet.read_results(other, "batch-1", 2)
            fleet.scopes[owner].cancel()
            results = await fleet.read_results(other, "batch-1", 16)
            self.assertEqual(results[: len(first_results)], first_results)
            self.assertEqual(fleet.owner("batch-1"), other)
            self.assertEqual(len({result["id"] for result in results}), 16)

    async def test_new_owner_resumes_generations_from_checkpoint(self) -> None:
        async with self.run_fleet() as fleet:
            for engine in fleet.engines:
                engine.event_interval_s, engine.event_count = 0.05, 60
            await fleet.call("f1", "POST", "/b/x", submission(2), id="batch-1")
            await wait_until(lambda: bool(fleet.store.kinds.get("batch-texts")))
            fleet.scopes[fleet.owner("batch-1")].cancel()
            other = "f2" if fleet.owner("batch-1") == "f1" else "f1"
            results = await fleet.read_results(other, "batch-1", 2)
            for result in results:
                expected = "\n".join(f"{result['id']}-{n}" for n in range(60))
                self.assertEqual((result["state"], result["output"]), ("completed", expected))
            last_ids = [r.get(b"last-event-id") for e in fleet.engines for r in e.requests]
            resumed_after = [int(last_id) for last_id in last_ids if last_id]
            self.assertEqual(len(resumed_after), 2)
            self.assertGreaterEqual(min(resumed_after), MIN_CHECKPOINT_EVENTS - 1)

    async def test_concurrent_owners_record_each_result_once(self) -> None:
        async with self.run_fleet() as fleet:
            for engine in fleet.engines:
                engine.event_interval_s = 0.2
            await fleet.call("f1", "POST", "/b/x", submission(16), id="batch-1")
            await wait_until(lambda: any(engine.generations for engine in fleet.engines))
            first = fleet.owner("batch-1")
            second = "f2" if first == "f1" else "f1"
            # The first owner learns of no change of the batch's head, and the second one regards
            # the first as dead, so both run the batch at the same time.
            fleet.daemons[first].mirrors.mirror("batches").listeners.clear()
            fleet.daemons[second].members.is_dead = lambda name: name == first
            await wait_until(lambda: fleet.owner("batch-1") == second)
            results = await fleet.read_results(second, "batch-1", 16)
            runner = fleet.daemons[first].batch_manager.runners["batch-1"]
            await wait_until(lambda: len(runner.log.results) == 16)
            self.assertEqual(
                [result["id"] for result in results], [result.id for result in runner.log.results]
            )
            self.assertEqual(len({result["id"] for result in results}), 16)
            self.assertGreater(sum(len(engine.generations) for engine in fleet.engines), 16)

    async def test_published_version_is_loaded_by_engines_under_one_fencing_token(self) -> None:
        async with self.run_fleet() as fleet:
            await wait_until(lambda: bool(fleet.holder()))
            holder = fleet.holder()
            for version in (2, 3):
                fleet.store.put("versions", "m", {"model": "m", "version": version})
                await wait_until(lambda v=version: any(e.models["m"] == v for e in fleet.engines))
            orders = [order for engine in fleet.engines for order in engine.orders]
            self.assertEqual({order["holder"] for order in orders}, {holder})
            self.assertEqual(len({order["fence"] for order in orders}), 1)
            await fleet.call("f1", "POST", "/b/x", submission(4, min_version=3), id="batch-1")
            for result in await fleet.read_results("f2", "batch-1", 4):
                self.assertGreaterEqual(min(result["versions"]), 3)

    async def test_usage_windows_are_reported_once(self) -> None:
        async with self.run_fleet() as fleet:
            for n in range(5):
                await fleet.call("f1" if n % 2 else "f2", "POST", "/p/1", id=f"call-{n}")

            def reported() -> list[dict[str, Any]]:
                return [call[3] for call in fleet.duty_api.calls if call[0] == "/usage"]

            await wait_until(lambda: sum(r["counts"].get("t1", 0) for r in reported()) >= 5)
            windows = [report["window"] for report in reported()]
            self.assertEqual(len(windows), len(set(windows)))
            self.assertEqual(sum(r["counts"].get("t1", 0) for r in reported()), 5)

    async def test_duty_holder_completes_its_own_retirement(self) -> None:
        async with self.run_fleet() as fleet:
            await wait_until(lambda: bool(fleet.holder()))
            name = fleet.holder()
            fleet.store.put("retirements", name, {"duration_s": 10})
            retired = fleet.store.kinds["retirements"]
            await wait_until(lambda: (retired[name]["status"] or {}).get("state") == "completed")
            self.assertEqual(fleet.daemons[name].duties.held_duties(), [])

    async def test_upstreams_removed_during_store_outage_stay_usable_for_a_while(self) -> None:
        async with self.run_fleet() as fleet:
            front = fleet.daemons["f1"]
            fleet.store.rejects = lambda request: True
            fleet.store.drop_watches()
            follower = front.mirrors.followers["servers"]
            await wait_until(lambda: follower.failing_for_s() >= MIN_OUTAGE_S)
            fleet.store.kinds["servers"].clear()
            fleet.store.revision += 1
            fleet.store.watches_dropped = False
            fleet.store.rejects = lambda request: False
            await wait_until(lambda: follower.is_following)
            remaining_s = (
                min(end for _, end in front.mirrors.missing_upstreams.values()) - front.clock()
            )
            self.assertGreater(remaining_s, 1.5)
            self.assertEqual((await fleet.call("f1", "POST", "/p/1")).head.status, 200)
            await wait_until(lambda: not front.table.states)

    async def test_daemon_reaches_store_through_peer_relay(self) -> None:
        async with self.run_fleet() as fleet:
            front = fleet.daemons["f1"]
            front.channel.address = "127.0.0.1:1"  # no process listens on this port
            front.pool.close_idle_connections(fleet.store.address)
            await wait_until(lambda: bool(front.members.store_relays()))
            response = await fleet.call("f1", "POST", "/b/x", submission(2), id="batch-1")
            self.assertEqual(response.head.status, 202)
            self.assertEqual(len(await fleet.read_results("f1", "batch-1", 2)), 2)
            fleet.store.put("config", "main", configuration(2))
            await wait_until(lambda: front.configuration.version == 2)
            self.assertGreater(front.channel.relayed_calls, 0)
