"""Test that a planned stop reaches its clients, whatever other hosts and the store do.

review/13: a daemon that was stopped as planned after another host had been removed waited for pings
of that host, kept its clients' connections open, and was killed with their requests.
"""

from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager, suppress

import anyio

from acaciarill.edge import Request, Responder
from acaciarill.errors import PeerError
from acaciarill.fleet.const import DRAIN_NOTICE_S
from acaciarill.peers import messages
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.unresponsive import unresponsive_address
from tests.platform.fakes import submission
from tests.platform.test_stream_versions import ClientStream, VersionFleet
from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet, wait_until

GRACE_S = 8.0
"""Time from the signal of a planned stop to the kill, in the users' deployments."""
MARGIN_S = 1.0
"""Time allowed beyond a stated limit for a busy machine."""
CALLS_EACH_S = 20


@asynccontextmanager
async def run_fleet() -> AsyncIterator[LocalFleet]:
    """Run three daemons with clients and two without until the end of the block."""
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            fleet = LocalFleet(tasks)
            fleet.drain_s = GRACE_S
            await fleet.start()
            for name in ("f3", "s2"):
                fleet.start_daemon(name, "b")
            await wait_until(lambda: fleet.daemons.keys() >= {"f3", "s2"})
            daemons = list(fleet.daemons.values())
            await wait_until(lambda: all(len(d.members.by_name) == 5 for d in daemons))
            await wait_until(lambda: all(d.ready and d.configuration for d in daemons))
            yield fleet
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def lose(fleet: LocalFleet, names: tuple[str, ...], accepts: bool) -> AsyncIterator[None]:
    """End daemons at once; their addresses hang until the end of the block."""
    with ExitStack() as addresses:
        for name in names:
            address = fleet.daemons.pop(name).settings.peers
            fleet.scopes[name].cancel()
            await fleet.ended[name].wait()
            addresses.enter_context(unresponsive_address(address, accepts))
        yield


async def keep_calling(fleet: LocalFleet, name: str) -> None:
    """Make calls to all other daemons, more often than a silent one lets them fail in turn."""
    daemon = fleet.daemons[name]

    async def call(address: str) -> None:
        with suppress(PeerError):
            await daemon.peers.links.call(address, 0.8, fetch_crashes=messages.FetchCrashes())

    async with anyio.create_task_group() as calls:
        while not daemon.draining:
            for member in list(daemon.members.by_name.values()):
                if member is not daemon.members.own:
                    calls.start_soon(call, member.address)
            await anyio.sleep(1.0 / CALLS_EACH_S)


async def wait_until_closed(address: str) -> float:
    """Hold an idle connection of a client until it is closed; return the time of that."""
    host, _, port = address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.receive()
    return anyio.current_time()


class PlannedStopTest(PlainLoopTestCase):
    """Stop each role of daemon after each kind of loss; the clients' connections end in time."""

    async def check_stop(self, fleet: LocalFleet, name: str) -> None:
        """Stop a daemon; check when an idle client is told, and when the daemon has ended."""
        daemon = fleet.daemons[name]
        closed_at: list[float] = []

        async def hold_connection() -> None:
            closed_at.append(await wait_until_closed(daemon.settings.callers))

        async with anyio.create_task_group() as clients:
            if daemon.settings.callers:
                clients.start_soon(hold_connection)
                await wait_until(lambda: bool(daemon.edge_server.connections))
            stopped_at = anyio.current_time()
            fleet.stops[name].set()
            with anyio.fail_after(GRACE_S):
                await fleet.ended[name].wait()
        for at in closed_at:
            self.assertLess(at - stopped_at, DRAIN_NOTICE_S + MARGIN_S)

    async def stop_after_losses(self, stopped: str, accepts: bool) -> None:
        for lost in (("f2",), ("s2",), ("f2", "f3", "s2")):
            with self.subTest(lost=lost):
                async with (
                    run_fleet() as fleet,
                    lose(fleet, lost, accepts),
                    anyio.create_task_group() as calls,
                ):
                    calls.start_soon(keep_calling, fleet, stopped)
                    await anyio.sleep(1.5)
                    await self.check_stop(fleet, stopped)

    async def test_stop_of_a_front_after_other_hosts_lost_power(self) -> None:
        await self.stop_after_losses("f1", False)

    async def test_stop_of_a_front_while_other_daemons_are_suspended(self) -> None:
        await self.stop_after_losses("f1", True)

    async def test_stop_of_a_keeper_after_other_hosts_lost_power(self) -> None:
        await self.stop_after_losses("s1", False)

    async def test_stop_of_a_keeper_while_other_daemons_are_suspended(self) -> None:
        await self.stop_after_losses("s1", True)

    async def test_stop_while_the_store_does_not_answer(self) -> None:
        async def hang(request: Request, responder: Responder) -> None:
            await anyio.sleep_forever()

        for stopped in ("f1", "s1"):
            with self.subTest(stopped=stopped):
                async with run_fleet() as fleet:
                    for number in range(6):
                        await fleet.call(
                            "f1", "POST", f"/b/{number}/x", submission(40), id=f"batch-{number}"
                        )
                    await wait_until(lambda: bool(fleet.holder()))
                    fleet.store.server.handler = hang
                    await self.check_stop(fleet, stopped)

    async def test_stop_whose_announcement_fails(self) -> None:
        async with run_fleet() as fleet:
            daemon = fleet.daemons["f1"]

            async def fail() -> None:
                raise RuntimeError("unexpected")

            daemon.peers.ping_all = fail  # type: ignore[method-assign]
            daemon.duties.release_all = fail  # type: ignore[method-assign]
            await self.check_stop(fleet, "f1")
            text = daemon.metrics.text().decode()
        for step in ("announce", "release duties"):
            self.assertIn(f'steps_total{{outcome="failed",step="{step}"}} 1.0', text)

    # The check of the streams ran until it was cut off, and was logged as work for other daemons.
    async def test_stop_with_a_stream_that_runs_to_the_end_of_the_grace_time(self) -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = VersionFleet(tasks)
                fleet.drain_s = GRACE_S
                for engine in fleet.engines:
                    engine.event_count, engine.event_interval_s = 400, 0.15
                await fleet.start()
                stream = ClientStream("s1")
                tasks.start_soon(fleet.read, "f1", stream)
                await wait_until(lambda: bool(stream.events))
                daemon = fleet.daemons["f1"]
                await self.check_stop(fleet, "f1")
                text = daemon.metrics.text().decode()
                tasks.cancel_scope.cancel()
        self.assertIn('steps_total{outcome="completed",step="hand over streams"} 1.0', text)
        self.assertNotIn('outcome="cut off"', text)
