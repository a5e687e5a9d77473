"""Test that daemons soon know which of the listed daemons are there."""

from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager

import anyio

from acaciarill.errors import PeerError
from acaciarill.fleet_daemon import FleetDaemon
from acaciarill.fleet_daemon._peers import PING_CALL_FAILED
from acaciarill.peers import PeerServer, messages
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.ports import free_port
from tests.fakes.unresponsive import unresponsive_address
from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet, wait_until

CONTACT_S = 3.0
"""Users' time after which a daemon counts as in touch."""
REMOVED = tuple(f"f{number}" for number in range(10, 22))


@asynccontextmanager
async def run_fleet() -> AsyncIterator[LocalFleet]:
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            fleet = LocalFleet(tasks)
            await fleet.start()
            yield fleet
            tasks.cancel_scope.cancel()


def unreachable(daemon: FleetDaemon) -> set[str]:
    """Return the names of the daemons that a daemon cannot reach."""
    return {m.name for m in daemon.members.by_name.values() if m.unreachable_since is not None}


class MembershipTest(PlainLoopTestCase):
    """Restart daemons beside the entries of removed hosts, and lose one."""

    # The entries of removed daemons stay listed: a daemon that started took all of them for live,
    # chose them as owners of batches, and noticed one of them a second.
    async def test_started_daemon_knows_within_contact_s_which_listed_ones_are_gone(self) -> None:
        async with run_fleet() as fleet:
            with ExitStack() as addresses:
                for number, name in enumerate(REMOVED):
                    address = f"127.0.0.1:{free_port()}"
                    if number % 2:  # the others refuse connections
                        addresses.enter_context(unresponsive_address(address))
                    entry = {"address": address, "data_centre": "a", "role": "front"}
                    fleet.store.put("daemons", name, entry)
                for name in ("f2", "s1"):
                    with self.subTest(role=name):
                        fleet.scopes[name].cancel()
                        await fleet.ended[name].wait()
                        fleet.start_daemon(name, "a")
                        await wait_until(lambda name=name: name in fleet.daemons)
                        daemon = fleet.daemons[name]
                        await wait_until(lambda d=daemon: set(REMOVED) <= d.members.by_name.keys())
                        with anyio.fail_after(CONTACT_S):
                            await wait_until(lambda d=daemon: unreachable(d) >= set(REMOVED))

    # A restarted daemon counted as draining at the others until one of them happened to ping it.
    async def test_restarted_daemon_is_known_to_all_within_contact_s(self) -> None:
        async with run_fleet() as fleet:
            for number in range(12):
                entry = {"address": "127.0.0.1:1", "data_centre": "a", "role": "front"}
                fleet.store.put("daemons", f"g{number}", entry)
            others = [fleet.daemons["f1"], fleet.daemons["s1"]]
            await wait_until(lambda: all(len(d.members.by_name) == 15 for d in others))
            fleet.stops["f2"].set()
            await fleet.ended["f2"].wait()
            for daemon in others:
                self.assertTrue(daemon.members.by_name["f2"].draining)
            fleet.start_daemon("f2", "b")
            with anyio.fail_after(CONTACT_S):
                await wait_until(lambda: all(not d.members.by_name["f2"].draining for d in others))

    # Only the pings of one daemon at random told that another was lost.
    async def test_daemon_that_does_not_respond_to_a_call_is_avoided(self) -> None:
        async with run_fleet() as fleet:
            caller, lost = fleet.daemons["s1"], fleet.daemons["f2"]
            members = caller.members.by_name
            await wait_until(lambda: "f2" in members and bool(members["f2"].incarnation))
            fleet.scopes["f2"].cancel()
            await fleet.ended["f2"].wait()
            peers, address = caller.peers, lost.settings.peers
            reasons: list[str] = []
            peers.on_ping = reasons.append
            with unresponsive_address(address):
                with self.assertRaises(PeerError):
                    await peers.links.call(address, 0.1, fetch_crashes=messages.FetchCrashes())
                # A ping that was under way anyway is not repeated.
                was_pinged = address in peers.pinged_addresses or "f2" in unreachable(caller)
                await anyio.sleep(1.5)
                self.assertIn("f2", unreachable(caller))
            self.assertTrue(was_pinged or PING_CALL_FAILED in reasons, reasons)

    # A daemon that started asked four of the list for crash records, and waited for their timeouts.
    async def test_started_daemon_knows_the_crash_records_beside_removed_hosts(self) -> None:
        async with run_fleet() as fleet:
            with ExitStack() as addresses:
                for name in REMOVED:
                    address = f"127.0.0.1:{free_port()}"
                    addresses.enter_context(unresponsive_address(address))
                    entry = {"address": address, "data_centre": "a", "role": "keeper"}
                    fleet.store.put("daemons", f"a{name}", entry)
                fleet.daemons["f1"].quarantine.record_crash("lifetime", "request")
                for name in ("f2", "s1"):
                    with self.subTest(role=name):
                        fleet.scopes[name].cancel()
                        await fleet.ended[name].wait()
                        fleet.start_daemon(name, "a")
                        await wait_until(lambda name=name: name in fleet.daemons)
                        daemon = fleet.daemons[name]
                        await wait_until(lambda d=daemon: d.ready)
                        digest = fleet.daemons["f1"].quarantine.digest
                        self.assertEqual(daemon.quarantine.digest, digest)


class LostNeighboursTest(PlainLoopTestCase):
    """Guard against noticing lost neighbours in the ring one after the other (review/12).

    Nobody took their batches over until the last of them counted as dead.
    """

    LIMIT_S = CONTACT_S + 5.0
    """Users' time after which an item may not be left alone."""

    async def serve_pings(self, name: str, address: str, scope: anyio.CancelScope) -> None:
        server = PeerServer(address)

        async def answer(ping: messages.Ping) -> dict[str, messages.Ping]:
            reply = messages.Ping(
                daemon=name, address=address, data_centre="a", role="front", incarnation=name
            )
            return {"ping": reply}

        server.handlers["ping"] = answer
        with scope:
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.run)

    async def test_batches_of_many_lost_neighbours_are_taken_over_in_time(self) -> None:
        names = [f"f1{number:02}" for number in range(24)]
        async with run_fleet() as fleet:
            daemon = fleet.daemons["f2"]
            addresses = {name: f"127.0.0.1:{free_port()}" for name in names}
            scopes = {name: anyio.CancelScope() for name in names}
            for name, address in addresses.items():
                fleet.tasks.start_soon(self.serve_pings, name, address, scopes[name])
                entry = {"address": address, "data_centre": "a", "role": "front"}
                fleet.store.put("daemons", name, entry)
            members = daemon.members
            await wait_until(lambda: all(n in members.by_name for n in names))
            await wait_until(lambda: all(members.by_name[n].incarnation for n in names))
            with ExitStack() as silent:
                for name, scope in scopes.items():
                    scope.cancel()
                    await self.wait_until_closed(addresses[name])
                    silent.enter_context(unresponsive_address(addresses[name]))
                with anyio.fail_after(self.LIMIT_S):
                    await wait_until(lambda: all(members.is_successor_of(n) for n in names))

    async def wait_until_closed(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        while True:
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            await stream.aclose()
            await anyio.sleep(0.01)
