"""Test that a replica whose responses say that it leaves gets no further requests."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio

from acaciarill.edge import ResponseHead
from acaciarill.platform._headers import decode_response
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.raw_upstream import RawAnswer, RawRequest, RawUpstream, encode_response
from tests.platform.fakes import FakeReplica, submission
from tests.platform.raw_fleet import identify
from tests.platform.relaying import start_relay
from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet, wait_until

ABSENCE_S = 600.0
ID_HEADER = (b"x-acaciarill-attempt-id", b"r1")


class LeavingFleet(LocalFleet):
    """Run a service of two plain replicas."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        super().__init__(tasks)
        self.other_web = FakeReplica(self.store, "w2", "web", "a", {})
        self.other_replicas = [self.other_web]


@asynccontextmanager
async def run_fleet() -> AsyncIterator[LeavingFleet]:
    """Run daemons and replicas until the end of the block."""
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            fleet = LeavingFleet(tasks)
            await fleet.start()
            yield fleet
            tasks.cancel_scope.cancel()


class LeavingHeaderTest(unittest.TestCase):
    """Decode the header of a replica that leaves."""

    def is_leaving(self, status: int, *headers: tuple[bytes, bytes]) -> bool:
        return decode_response(ResponseHead(status, list(headers))).is_leaving

    def test_only_the_expected_value_of_the_expected_replica_counts(self) -> None:
        self.assertTrue(self.is_leaving(200, ID_HEADER, (b"server-leaving", b"1")))
        self.assertTrue(self.is_leaving(503, ID_HEADER, (b"server-leaving", b"1")))
        self.assertFalse(self.is_leaving(200, ID_HEADER))
        self.assertFalse(self.is_leaving(200, ID_HEADER, (b"server-leaving", b"0")))
        # another replica at the address, which did not run the request
        self.assertFalse(self.is_leaving(421, ID_HEADER, (b"server-leaving", b"1")))
        # bytes that belong to no request
        self.assertFalse(self.is_leaving(200, (b"server-leaving", b"1")))


class LeavingReplicaTest(PlainLoopTestCase):
    """Let replicas leave while their registrations still say that they are ready."""

    # A replica was taken for leaving by its registration only, which a cut-off daemon does not see.
    async def test_replica_gets_no_request_after_a_response_that_says_that_it_leaves(self) -> None:
        async with run_fleet() as fleet:
            fleet.store.rejects = lambda request: True
            fleet.store.drop_watches()
            fleet.web.leaving = True
            for number in range(40):
                response = await fleet.call("f1", "POST", "/p/1", id=f"a{number}")
                self.assertEqual(response.head.status, 200)
            self.assertEqual(len(fleet.web.requests), 1)
            self.assertEqual(len(fleet.other_web.requests), 39)

    async def test_requests_are_rejected_at_once_if_all_replicas_leave(self) -> None:
        async with run_fleet() as fleet:
            fleet.web.leaving = fleet.other_web.leaving = True
            statuses = [
                (await fleet.call("f1", "POST", "/p/1", id=f"a{number}")).head.status
                for number in range(5)
            ]
            self.assertEqual(statuses, [200, 200, 503, 503, 503])

    async def test_next_lifetime_under_the_same_id_gets_requests(self) -> None:
        async with run_fleet() as fleet:
            fleet.web.leaving = True
            for number in range(4):
                await fleet.call("f1", "POST", "/p/1", id=f"a{number}")
            fleet.web.leaving, fleet.web.born = False, 2
            fleet.web.register()
            await wait_until(lambda: not fleet.daemons["f1"].table.states["w1"].has_left())
            for number in range(20):
                await fleet.call("f1", "POST", "/p/1", id=f"b{number}")
            self.assertGreater(len(fleet.web.requests), 1)

    async def test_registration_that_goes_and_returns_does_not_bring_it_back(self) -> None:
        async with run_fleet() as fleet:
            fleet.web.leaving = True
            for number in range(4):
                await fleet.call("f1", "POST", "/p/1", id=f"a{number}")
            fleet.web.deregister()
            table = fleet.daemons["f1"].table
            await wait_until(lambda: "w1" not in table.states)
            table.deregistered_states = {
                name: (state, deregistered_at - ABSENCE_S)
                for name, (state, deregistered_at) in table.deregistered_states.items()
            }
            fleet.web.register()
            await wait_until(lambda: "w1" in table.states)
            for number in range(20):
                await fleet.call("f1", "POST", "/p/1", id=f"b{number}")
            self.assertEqual(len(fleet.web.requests), 1)

    async def test_items_go_to_other_engines(self) -> None:
        async with run_fleet() as fleet:
            fleet.engines[0].leaving = True
            await fleet.call("f1", "POST", "/b/x", submission(12), id="batch-1")
            await fleet.read_results("f1", "batch-1", 12)
            begun = len(fleet.engines[0].generations)
            self.assertLessEqual(begun, 4)  # its slots, filled before its first response
            await fleet.call("f1", "POST", "/b/x", submission(12, prefix="j"), id="batch-2")
            await fleet.read_results("f1", "batch-2", 12)
            self.assertEqual(len(fleet.engines[0].generations), begun)


class RelayedLeavingHeaderTest(PlainLoopTestCase):
    """Pass the response of a replica that leaves on to another daemon."""

    # Found by the review (REPORT-2): the relay itself sent the replica further requests.
    async def test_relay_notes_that_the_replica_leaves(self) -> None:
        def answer(request: RawRequest) -> RawAnswer:
            return RawAnswer(encode_response(200, identify(request) | {"Server-Leaving": "1"}))

        async def send(**frame: Any) -> None:
            frames.append(frame)

        frames: list[dict[str, Any]] = []
        async with anyio.create_task_group() as tasks:
            server, call = await start_relay(RawUpstream(answer), tasks)
            await server.on_relay(call, send)
            tasks.cancel_scope.cancel()
        self.assertEqual(frames[0]["forward_head"].status, 200)
        self.assertTrue(server.table.states["e"].has_left())
