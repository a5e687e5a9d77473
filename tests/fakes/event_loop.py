"""Run tests on an event loop without debug mode, as the product does."""

import asyncio
import unittest


class PlainLoopTestCase(unittest.IsolatedAsyncioTestCase):
    """Switch the debug mode off that unittest switches on.

    It records a stack for each callback, which takes four times the processor time: beside load,
    daemons that share a process then miss time limits that are not the matter of the test.
    """

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
