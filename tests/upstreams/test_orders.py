"""Test that no byte of an order is written after its lease expired."""

import socket
import unittest

import anyio

from acaciarill.errors import AcaciarillError, LeaseLostError, Outcome
from acaciarill.upstreams import OrderSender

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"


class OrderSenderTest(unittest.IsolatedAsyncioTestCase):
    """Send orders to a server that records every byte."""

    async def asyncSetUp(self) -> None:
        self.received = b""
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = self.listener.extra(anyio.abc.SocketAttribute.local_port)

    async def serve(self) -> None:
        async def handle(stream) -> None:
            async with stream:
                self.received += await stream.receive()
                await stream.send(RESPONSE)

        await self.listener.serve(handle)

    async def send(self, is_lease_held, epoch: int = 1):
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self.serve)
            try:
                url = f"http://127.0.0.1:{self.port}/orders/dc"
                return await OrderSender(is_lease_held).send("PUT", url, epoch, {"counts": {}})
            finally:
                task_group.cancel_scope.cancel()

    async def test_order_carries_its_epoch_as_fencing_token(self) -> None:
        self.assertEqual(await self.send(lambda epoch: True, 7), {})
        self.assertIn(b"x-fencing-number: 7", self.received)

    async def test_nothing_is_written_after_the_lease_expired(self) -> None:
        with self.assertRaises(BaseException) as caught:
            await self.send(lambda epoch: False)
        errors = getattr(caught.exception, "exceptions", [caught.exception])
        self.assertIsInstance(errors[0], LeaseLostError)
        self.assertIs(errors[0].outcome, Outcome.NOT_RUN)
        self.assertEqual(self.received, b"")

    async def test_lease_check_gets_the_epoch_of_the_order(self) -> None:
        with self.assertRaises(BaseException):  # noqa: B017
            await self.send(lambda epoch: epoch == 9, 8)
        self.assertEqual(self.received, b"")

    async def test_failed_connection_has_outcome_not_run(self) -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        with self.assertRaises(AcaciarillError) as caught:
            await OrderSender(lambda epoch: True).send("PUT", f"http://127.0.0.1:{port}/", 1, {})
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
