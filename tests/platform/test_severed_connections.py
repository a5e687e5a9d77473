"""Test daemons whose open connections go silent for good, while new ones work.

The users' day `severed`, and its cause at a small scale: nothing ends such a connection but the
daemons' own timeouts.
"""

import random
from contextlib import suppress
from typing import Any

import anyio

from acaciarill.errors import PeerError
from acaciarill.peers import FrameStream, messages
from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.fakes import configuration, submission
from tests.platform.test_whole_path import LocalFleet, wait_until
from tests.platform.watched_fleet import FRONTS, run_watched_fleet

CONTACT_S = 3.0
"""Users' time after which a daemon counts as in touch again."""
CONFIGURATION_LIMIT_S = 2.0
DRAIN_LIMIT_S = 2.0
USAGE_LIMIT_S = 10.0
"""Users' limits on when a configuration is in force, an upstream left alone, usage reported."""
CALL_TIMEOUT_S = 0.3
PING = messages.Ping(daemon="probe", address="", data_centre="", role="")
ITEMS = 8


def sever(fleet: LocalFleet, share: float, rng: random.Random) -> int:
    """Lose all that is sent from now on over a share of the open connections between daemons."""
    frame_streams: list[FrameStream] = []
    for daemon in fleet.daemons.values():
        peers = daemon.peers
        frame_streams += [link.frame_stream for link in peers.links.links_by_address.values()]
        frame_streams += peers.server.connections.values()
        for idle in daemon.relay_client.idle_connections.values():
            frame_streams += [connection.frame_stream for connection in idle]

    async def lose(frame: Any) -> None:
        return

    severed = [stream for stream in frame_streams if rng.random() < share]
    for frame_stream in severed:
        frame_stream.send = lose  # type: ignore[method-assign]
    return len(severed)


class SeveredConnectionsTest(PlainLoopTestCase):
    """Guard against waiting on a silent connection for longer than the users' limits allow."""

    async def configuration_delays(self, fleet: LocalFleet) -> dict[str, float]:
        """Return how long after its confirmation a configuration is in force, by daemon."""
        version = fleet.daemons["f1"].configuration.version + 1
        fleet.store.put("config", "main", configuration(version))
        confirmed_at = anyio.current_time()
        delays: dict[str, float] = {}
        while len(delays) < len(FRONTS):
            for name in FRONTS:
                if name not in delays and fleet.daemons[name].configuration.version >= version:
                    delays[name] = anyio.current_time() - confirmed_at
            await anyio.sleep(0.01)
        return delays

    async def test_a_call_that_times_out_ends_its_connection(self) -> None:
        async with run_watched_fleet() as fleet:
            self.assertGreater(sever(fleet, 1.0, random.Random(1)), 0)
            for name, daemon in fleet.daemons.items():
                for other in fleet.daemons.keys() - {name}:
                    address = fleet.daemons[other].settings.peers
                    with suppress(PeerError):  # the first call may find the silent connection
                        await daemon.peers.links.call(address, CALL_TIMEOUT_S, ping=PING)
                    await daemon.peers.links.call(address, CALL_TIMEOUT_S, ping=PING)

    async def test_configuration_is_in_force_in_time(self) -> None:
        for share, seed in ((1.0, 1), (0.7, 2), (0.4, 3)):
            with self.subTest(share=share, seed=seed):
                async with run_watched_fleet() as fleet:
                    self.assertGreater(sever(fleet, share, random.Random(seed)), 0)
                    await anyio.sleep(CONTACT_S)
                    delays = await self.configuration_delays(fleet)
                self.assertLess(max(delays.values()), CONFIGURATION_LIMIT_S)

    async def test_configuration_is_in_force_once_daemons_are_in_touch_again(self) -> None:
        for share, seed in ((1.0, 1), (0.7, 2)):
            with self.subTest(share=share, seed=seed):
                async with run_watched_fleet() as fleet:
                    sever(fleet, share, random.Random(seed))
                    delays = await self.configuration_delays(fleet)
                self.assertLess(max(delays.values()), CONTACT_S + CONFIGURATION_LIMIT_S)

    async def test_upstream_that_leaves_gets_no_requests_in_time(self) -> None:
        async with run_watched_fleet() as fleet:
            sever(fleet, 0.7, random.Random(4))
            await anyio.sleep(CONTACT_S)
            leaving = fleet.engines[0]
            leaving.register("draining")
            confirmed_at = anyio.current_time()

            def is_left_out(name: str) -> bool:
                return fleet.daemons[name].table.states[leaving.name].has_left()

            await wait_until(lambda: all(is_left_out(name) for name in FRONTS))
            self.assertLess(anyio.current_time() - confirmed_at, DRAIN_LIMIT_S)

    async def test_batches_are_completed_and_read_everywhere(self) -> None:
        async with run_watched_fleet() as fleet:
            for engine in fleet.engines:
                engine.event_count, engine.event_interval_s = 20, 0.05
            for number, moment in enumerate(("before", "after")):
                name = FRONTS[number]
                response = await fleet.call(
                    name, "POST", "/b/x", submission(ITEMS, prefix=moment), id=moment
                )
                self.assertEqual(response.head.status, 202)
                if moment == "before":
                    await anyio.sleep(0.3)
                    sever(fleet, 0.7, random.Random(5))
            for moment in ("before", "after"):
                for name in FRONTS:
                    results = await fleet.read_results(name, moment, ITEMS)
                    self.assertEqual({result["state"] for result in results}, {"completed"})
                    self.assertEqual(len({result["id"] for result in results}), ITEMS)
            ids = [request_id for engine in fleet.engines for request_id, _ in engine.generations]
            self.assertEqual(len(set(ids)), 2 * ITEMS)

    async def test_usage_of_each_window_is_reported_in_time(self) -> None:
        def windows() -> set[int]:
            calls = fleet.duty_api.calls
            return {body["window"] for target, _, _, body in calls if target == "/usage"}

        async with run_watched_fleet() as fleet:
            await wait_until(lambda: bool(windows()))
            sever(fleet, 1.0, random.Random(6))
            expected = set(range(max(windows()) + 1, max(windows()) + 6))
            with anyio.fail_after(USAGE_LIMIT_S + len(expected)):
                await wait_until(lambda: expected <= windows())
