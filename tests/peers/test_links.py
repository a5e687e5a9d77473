"""Test calls to daemons that send what is no frame."""

import unittest
from contextlib import suppress

import anyio
import anyio.abc

from acaciarill.errors import Outcome, PeerError
from acaciarill.peers import PeerLinks, PeerServer, messages
from acaciarill.peers.const import MAX_FRAME_BYTES, PROTOCOL_VERSION
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.ports import free_port
from tests.fakes.unresponsive import unresponsive_address

OVERSIZED_FRAME = b"\xff\xff\xff\xff" + b"x" * 1000
SCHEDULING_MARGIN_S = 0.5
"""Time allowed beyond a timeout for a busy machine; each fault waits for seconds longer."""
MALFORMED_FRAME = b"\x00\x00\x00\x04\xff\xff\xff\xff"


class InvalidFramesTest(unittest.IsolatedAsyncioTestCase):
    """Call a daemon that responds with invalid bytes; only that call fails."""

    async def test_invalid_frames_end_the_call_and_not_the_daemon(self) -> None:
        for data in (OVERSIZED_FRAME, MALFORMED_FRAME):
            port = free_port()
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)

            async def respond(stream: anyio.abc.SocketStream, data: bytes = data) -> None:
                async with stream:
                    with suppress(anyio.BrokenResourceError, anyio.EndOfStream):
                        await stream.receive()
                        await stream.send(data)
                        await anyio.sleep_forever()

            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, respond)
                links = PeerLinks(messages.Greeting(), tasks)
                for _ in range(2):
                    with self.assertRaises(PeerError):
                        await links.call(f"127.0.0.1:{port}", 2.0, ping=messages.Ping())
                tasks.cancel_scope.cancel()


class FrameSizeTest(PlainLoopTestCase):
    """Guard against a call whose frame is too long: it closed the connection of all others."""

    async def test_too_long_frame_is_not_sent_and_other_calls_go_on(self) -> None:
        address = f"127.0.0.1:{free_port()}"
        server = PeerServer(address)
        running = anyio.Event()

        async def answer_late(ping: messages.Ping) -> dict[str, messages.Ping]:
            running.set()
            await anyio.sleep(0.3)
            return {"ping": ping}

        server.handlers["ping"] = answer_late
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            greeting = messages.Greeting(protocol_version=PROTOCOL_VERSION, daemon="d")
            links = PeerLinks(greeting, tasks)
            answered: list[str] = []

            async def ping() -> None:
                frame = await links.call(address, 10.0, ping=messages.Ping(daemon="d"))
                answered.append(frame.ping.daemon)

            async with anyio.create_task_group() as calls:
                calls.start_soon(ping)
                await running.wait()
                long_call = messages.OwnBatch(batch="b", body=b"x" * MAX_FRAME_BYTES)
                with self.assertRaises(PeerError) as caught:
                    await links.call(address, 10.0, own_batch=long_call)
                self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
            tasks.cancel_scope.cancel()
        self.assertEqual(answered, ["d"])


class UnresponsiveDaemonTest(PlainLoopTestCase):
    """Guard against calls that wait for longer than their timeout for a silent daemon.

    Each of them waited for its turn to open a connection, behind all that had failed before it.
    """

    def setUp(self) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self.failures: list[tuple[str, str]] = []

    def build_links(self, tasks: anyio.abc.TaskGroup) -> PeerLinks:
        greeting = messages.Greeting(protocol_version=PROTOCOL_VERSION, daemon="d")
        links = PeerLinks(greeting, tasks)
        links.on_failure = lambda address, kind: self.failures.append((address, kind))
        return links

    async def time_calls(self, links: PeerLinks, timeouts_s: list[float]) -> list[float]:
        """Start a call with each timeout at once; return how long after its timeout each failed."""
        late_s: list[float] = []

        async def call(timeout_s: float) -> None:
            started = anyio.current_time()
            with self.assertRaises(PeerError):
                await links.call(self.address, timeout_s, ping=messages.Ping(daemon="d"))
            late_s.append(anyio.current_time() - started - timeout_s)

        async with anyio.create_task_group() as calls:
            for timeout_s in timeouts_s:
                calls.start_soon(call, timeout_s)
        return late_s

    async def test_no_call_waits_for_the_failures_of_others(self) -> None:
        for accepts in (False, True):
            with self.subTest(accepts=accepts), unresponsive_address(self.address, accepts):
                async with anyio.create_task_group() as tasks:
                    links = self.build_links(tasks)
                    late_s = await self.time_calls(links, [0.1, 0.4, 0.8, 2.0] * 10)
                    self.assertLess(max(late_s), SCHEDULING_MARGIN_S)
                    self.assertEqual(links.attempts, {})
                    tasks.cancel_scope.cancel()
        self.assertEqual({address for address, _ in self.failures}, {self.address})

    async def test_call_without_a_connection_is_reported_as_not_run(self) -> None:
        with unresponsive_address(self.address):
            async with anyio.create_task_group() as tasks:
                links = self.build_links(tasks)
                for timeout_s in (0.1, 2.0):
                    with self.assertRaises(PeerError) as caught:
                        await links.call(self.address, timeout_s, ping=messages.Ping())
                    self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
                tasks.cancel_scope.cancel()
        self.assertEqual(self.failures, [(self.address, "not connected")] * 2)

    async def test_stream_to_a_silent_daemon_ends_at_its_timeout(self) -> None:
        for accepts in (False, True):
            with self.subTest(accepts=accepts), unresponsive_address(self.address, accepts):
                async with anyio.create_task_group() as tasks:
                    links = self.build_links(tasks)
                    with anyio.fail_after(0.4 + SCHEDULING_MARGIN_S):
                        with self.assertRaises(PeerError):
                            async for _ in links.stream(
                                self.address, 0.4, forward=messages.Forward()
                            ):
                                self.fail("a silent daemon sent a frame")
                    tasks.cancel_scope.cancel()

    async def test_daemon_that_is_back_is_called_at_once(self) -> None:
        async with anyio.create_task_group() as tasks:
            links = self.build_links(tasks)
            with unresponsive_address(self.address):
                await self.time_calls(links, [0.1, 0.8])
            server = PeerServer(self.address)

            async def answer(ping: messages.Ping) -> dict[str, messages.Ping]:
                return {"ping": ping}

            server.handlers["ping"] = answer
            await tasks.start(server.run)
            with anyio.fail_after(1.0 + SCHEDULING_MARGIN_S):
                with suppress(PeerError):  # shares the attempt that began before
                    await links.call(self.address, 2.0, ping=messages.Ping(daemon="d"))
                frame = await links.call(self.address, 2.0, ping=messages.Ping(daemon="d"))
            self.assertEqual(frame.ping.daemon, "d")
            tasks.cancel_scope.cancel()

    async def test_late_response_of_one_call_does_not_end_the_others(self) -> None:
        server = PeerServer(self.address)

        async def answer(ping: messages.Ping) -> dict[str, messages.Ping]:
            if ping.daemon != "prompt":
                await anyio.sleep(1.0 if ping.daemon == "late" else 0.6)
            return {"ping": ping}

        server.handlers["ping"] = answer
        answered: list[str] = []
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            links = self.build_links(tasks)

            async def ping(name: str, timeout_s: float) -> None:
                frame = await links.call(self.address, timeout_s, ping=messages.Ping(daemon=name))
                answered.append(frame.ping.daemon)

            async with anyio.create_task_group() as calls:
                calls.start_soon(ping, "waiting", 10.0)
                await anyio.sleep(0.05)
                calls.start_soon(self.expect_timeout, links, "late")
                await anyio.sleep(0.05)
                calls.start_soon(ping, "prompt", 10.0)
            tasks.cancel_scope.cancel()
        self.assertEqual(answered, ["prompt", "waiting"])
        self.assertEqual(self.failures, [(self.address, "timeout")])

    async def expect_timeout(self, links: PeerLinks, name: str) -> None:
        with self.assertRaises(PeerError):
            await links.call(self.address, 0.3, ping=messages.Ping(daemon=name))
