"""Test that an engine that cannot be addressed costs only the attempts at it."""

import unittest
from dataclasses import replace

import anyio

from acaciarill.edge import HttpPool
from acaciarill.errors import Outcome, Step, UpstreamError
from tests.platform.batches import make_item, running_batches, stream_events

TIMEOUT_S = 5.0
ADDRESSES = ("\ufffd7.\ufffd.1.4:8080", "127.0.0.1:99999", "x" * 70 + ":80")


class UnreadableAddressTest(unittest.IsolatedAsyncioTestCase):
    """Use addresses that no connection can be opened to."""

    async def test_connect_fails_as_not_run(self) -> None:
        for address in ADDRESSES:
            with self.subTest(address), self.assertRaises(UpstreamError) as caught:
                await HttpPool(anyio.current_time).request(address, "GET", "/", [])
            error = caught.exception
            self.assertEqual((error.outcome, error.step), (Outcome.NOT_RUN, Step.CONNECT))
            self.assertFalse(await HttpPool(anyio.current_time).is_refused(address))

    # review/3: the error ended all items of the batch, and again each time that it was restarted.
    async def test_other_items_go_on_while_one_engine_cannot_be_addressed(self) -> None:
        sound = stream_events(30, lambda number: b"e%d" % number, interval_s=0.01)
        async with running_batches(sound, slots=2) as batches:
            engine = batches.table.states["e0"].upstream
            runner = batches.start("b1", *(make_item(f"i{number}") for number in range(6)))
            await anyio.sleep(0.1)
            odd = [
                replace(engine, id=f"odd{number}", lifetime=f"odd{number}", address=address)
                for number, address in enumerate(ADDRESSES)
            ]
            batches.table.update([engine, *odd])
            with anyio.fail_after(TIMEOUT_S):
                while len(runner.log.results) < 6:
                    await anyio.sleep(0.02)

    async def test_unexpected_error_in_one_attempt_does_not_stop_other_items(self) -> None:
        sound = stream_events(5, lambda number: b"e%d" % number, interval_s=0.01)
        async with running_batches(sound, slots=2) as batches:
            encode = batches.ports.sender.codec.encode
            broken: list[str] = []

            def encode_or_fail(headers: list, attempt: object) -> list:
                if len(broken) < 2:
                    broken.append("")
                    raise RuntimeError("a fault of this program")
                return encode(headers, attempt)

            batches.ports.sender.codec = replace(batches.ports.sender.codec, encode=encode_or_fail)
            runner = batches.start("b1", *(make_item(f"i{number}") for number in range(4)))
            with anyio.fail_after(TIMEOUT_S):
                while len(runner.log.results) < 4:
                    await anyio.sleep(0.02)
