"""Test that a call to the store ends in time, whatever the store and the daemons that relay do."""

import anyio

from acaciarill.edge import Request, Responder
from acaciarill.errors import StoreError
from acaciarill.fleet.const import STORE_CALL_TIMEOUT_S
from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet, wait_until

LIMIT_S = 2 * STORE_CALL_TIMEOUT_S + 0.3
"""One direct try, one through a peer, and the way to the peer."""
MARGIN_S = 0.5
"""Time allowed beyond a limit for a busy machine."""


class SilentStoreTest(PlainLoopTestCase):
    """Guard against calls that wait for the store, and then for one relay after the other."""

    async def test_call_to_a_silent_store_ends_after_one_direct_and_one_relayed_try(self) -> None:
        async def hang(request: Request, responder: Responder) -> None:
            await anyio.sleep_forever()

        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = LocalFleet(tasks)
                await fleet.start()
                fleet.start_daemon("s2", "b")
                await wait_until(lambda: len(fleet.daemons["f1"].members.by_name) == 4)
                for name in ("f1", "s1"):
                    channel = fleet.daemons[name].channel
                    relays = fleet.daemons[name].members.store_relays
                    await wait_until(lambda relays=relays: len(relays()) >= 2)
                    with self.subTest(role=name):
                        fleet.store.server.handler = hang
                        started = anyio.current_time()
                        with self.assertRaises(StoreError):
                            await channel.call("GET", "/objects/batches/none")
                        duration_s = anyio.current_time() - started
                        self.assertLess(duration_s, LIMIT_S + MARGIN_S)
                        metrics = fleet.daemons[name].metrics.text().decode()
                        self.assertRegex(metrics, r"store_calls_out_of_time_total [1-9]")
                        fleet.store.server.handler = fleet.store.serve
                tasks.cancel_scope.cancel()
