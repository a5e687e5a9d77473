"""Test which order the scenarios pause a daemon before."""

import os
import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from acaciarill.upstreams._orders import LeaseCheckedStream
from tests.fakes import weakened


class PauseBeforeOrderTest(unittest.IsolatedAsyncioTestCase):
    """Write the heads of orders while a pause is requested."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.pause_file = Path(folder) / "pause"
        self.pause_file.touch()
        variables = {weakened.PAUSE_FILE: str(self.pause_file)}
        self.enterContext(mock.patch.dict(os.environ, variables))
        self.kill = self.enterContext(mock.patch.object(weakened.os, "kill"))
        original_write = LeaseCheckedStream.write
        self.addCleanup(setattr, LeaseCheckedStream, "write", original_write)
        weakened._pause_before_orders()
        self.sockets = socket.socketpair()
        for end in self.sockets:
            end.setblocking(False)
            self.addCleanup(end.close)

    async def write(self, head: bytes) -> None:
        await LeaseCheckedStream(self.sockets[0], lambda: None).write(head)

    async def test_holder_of_the_weights_duty_is_not_paused(self) -> None:
        # The scenario then waited in vain for an order of a successor in the capacity duty.
        await self.write(b"POST /weights HTTP/1.1\r\n")
        self.kill.assert_not_called()
        self.assertTrue(self.pause_file.exists())

    async def test_holder_of_the_capacity_duty_is_paused_once(self) -> None:
        await self.write(b"PUT /orders/almaty-1 HTTP/1.1\r\n")
        await self.write(b"PUT /orders/almaty-1 HTTP/1.1\r\n")
        self.kill.assert_called_once()
