"""Test that odd entries among those of the replicas cost only themselves."""

import anyio
import orjson

from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.fakes import FakeReplica, submission
from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet, wait_until

ITEMS = 12
ODD_FIELDS: dict[str, bytes] = {
    "address": b'"\xef\xbf\xbd7.\xef\xbf\xbd.1.4:8080"',
    "address-bytes": b'"\xf1\x9e7.\x81.1.4:8080"',
    "address-surrogate": b'"\\ud8007.1.1.4:8080"',
    "address-missing-port": b'"127.0.0.1"',
    "address-port-range": b'"127.0.0.1:70000"',
    "address-port-digits": b'"127.0.0.1:%s"' % (b"9" * 6000),
    "address-port-sign": b'"127.0.0.1:-1"',
    "address-long": b'"%s:80"' % (b"x" * 300),
    "slots-large": b"9" * 5000,
    "slots-infinite": b"1e400",
    "slots-none": b"NaN",
    "slots-beyond-64-bits": b"9" * 40,
    "slots-nested": b"[" * 5000 + b"]" * 5000,
    "slots-nested-less": b"[" * 500 + b"]" * 500,
    "models-nested": b'[{"name":"m","version":%s}]' % (b"[" * 900 + b"]" * 900),
    "models-large": b'[{"name":"m","version":1e300}]',
    "state": b'"asleep"',
    "born": b'{"a":[]}',
    "version": b"7",
}


class UnreadableEntryTest(PlainLoopTestCase):
    """Write odd entries, then register one more engine."""

    # Other operators' report: machines that read an odd entry ended again and again, or followed
    # the list no more; here it was followed no more.
    async def test_list_is_followed_and_items_run_beside_odd_entries(self) -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = LocalFleet(tasks)
                await fleet.start()
                entry = fleet.store.spec("servers", "e0")
                for name, value in ODD_FIELDS.items():
                    field = name.partition("-")[0]
                    members = {key: orjson.dumps(text) for key, text in entry.items()}
                    members[field] = value
                    encoded = b",".join(b'"%s":%s' % (k.encode(), v) for k, v in members.items())
                    fleet.store.put_raw("servers", f"odd-{name}", b"{%s}" % encoded)
                await fleet.call("f1", "POST", "/b/1", submission(ITEMS), id="batch-1")
                third = FakeReplica(fleet.store, "e2", "llm", "a", {"m": 1})
                await tasks.start(third.run)
                third.register()
                await self._wait_until_known(fleet, ("f1", "f2"))
                results = await fleet.read_results("f2", "batch-1", ITEMS)
                self.assertEqual({result["state"] for result in results}, {"completed"})
                fleet.scopes["f1"].cancel()
                fleet.start_daemon("f1", "a")
                await wait_until(lambda: "f1" in fleet.daemons)
                await self._wait_until_known(fleet, ("f1", "f2", "s1"))
                await self._check_metrics(fleet)
                await fleet.call("f2", "POST", "/b/2", submission(ITEMS, prefix="j"), id="batch-2")
                await fleet.read_results("f2", "batch-2", ITEMS)
                self.assertTrue(third.generations)
                tasks.cancel_scope.cancel()

    async def _wait_until_known(self, fleet: LocalFleet, names: tuple[str, ...]) -> None:
        """Wait until daemons know all valid engines, and check that they know no others."""
        valid = {"e0", "e1", "e2", "w1"}
        await wait_until(
            lambda: all(valid <= fleet.daemons[name].table.states.keys() for name in names)
        )
        for name in names:
            self.assertEqual(fleet.daemons[name].table.states.keys(), valid)

    async def _check_metrics(self, fleet: LocalFleet) -> None:
        address = fleet.daemons["s1"].settings.metrics_address
        response = await fleet.pool.request(address, "GET", "/metrics", [])
        self.assertIn(
            f'acaciarill_unreadable_objects_total{{kind="servers"}} {len(ODD_FIELDS)}.0',
            response.body.decode(),
        )
