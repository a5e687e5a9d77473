"""Test a crowd at the product's own daemon (`acaciarill serve`), in a process of its own."""

import tomllib
from collections.abc import Iterator
from pathlib import Path

import anyio
import httpx
import tomli_w

from acaciarill.const import MAX_BODY_BYTES
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.fleet import DaemonProcess, bearer_header, example_config, running_fleet
from tests.platform.clients.cases import PIECE_BYTES, PeakUsage
from tests.platform.clients.crowd import Crowd
from tests.platform.clients.deployment import ANSWER_TIMEOUT_S, MB
from tests.platform.clients.usage import descriptor_count, resident_bytes, unread_bytes

MEMORY_BYTES = 192 * MB
BODIES = 40
"""Together, they have one and two thirds times the memory of the process."""


class ServedDaemon:
    """Read what the kernel knows of a daemon that listens on several ports of one address."""

    def __init__(self, daemon: DaemonProcess) -> None:
        self.process = daemon.process
        self.port = int(daemon.callers.rpartition(":")[2])

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def resident_bytes(self, field: str = "VmRSS") -> int:
        """Return the resident memory."""
        return resident_bytes(self.process.pid, field)

    def unread_bytes(self) -> int:
        """Return the bytes that callers have sent and that were not read yet."""
        return unread_bytes("127.0.0.1", self.port)

    def descriptor_count(self) -> int:
        """Return how many descriptors the process has open."""
        return descriptor_count(self.process.pid)


def restart_with_memory(daemon: DaemonProcess, memory_bytes: int) -> None:
    """Start a daemon anew with a limit of its memory in its settings."""
    daemon.stop()
    path = Path(daemon.arguments[-1])
    settings = tomllib.loads(path.read_text())
    settings["process"]["memory_bytes"] = memory_bytes
    path.write_text(tomli_w.dumps(settings))
    daemon.start()
    daemon.wait_ready()


def body_that_stops_short(framing: str) -> Iterator[bytes]:
    """Yield a request to a route of the example with a sample key, without the end of its body."""
    fields = {"Host": "h", **bearer_header("filers-sample"), "X-Deadline-Ms": "30000"}
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join(["POST /almaty/filings/1 HTTP/1.1", *lines, framing])
    yield head.encode() + b"\r\n\r\n"
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
        piece = b"x" * PIECE_BYTES
        is_chunked = framing.startswith("Transfer")
        yield b"%x\r\n%s\r\n" % (len(piece), piece) if is_chunked else piece


class ServeTest(PlainLoopTestCase):
    """Guard against the causes of the reported crowds at the product's own callers' listener."""

    async def check(self, framing: str) -> None:
        with running_fleet(example_config("almaty"), ["almaty-1"]) as fleet:
            daemon = fleet.daemons[0]
            restart_with_memory(daemon, MEMORY_BYTES)
            usage, served = PeakUsage(), ServedDaemon(daemon)
            url = httpx.URL(daemon.callers)
            with Crowd(f"127.0.0.1:{url.port}") as crowd:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(usage.watch, served)
                    await crowd.send_all([body_that_stops_short(framing) for _ in range(BODIES)])
                    async with httpx.AsyncClient(
                        timeout=ANSWER_TIMEOUT_S, trust_env=False
                    ) as client:
                        response = await client.post(
                            f"{url}/almaty/filings/2",
                            content="ordinary",
                            headers=bearer_header("filers-sample"),
                        )
                    tasks.cancel_scope.cancel()
            is_running = served.is_running()
        self.assertEqual((response.status_code, is_running), (200, True))
        self.assertLess(usage.memory_bytes, MEMORY_BYTES)

    async def test_bodies_that_stop_short(self) -> None:
        await self.check(f"Content-Length: {MAX_BODY_BYTES}")

    async def test_bodies_in_chunks_that_stop_short(self) -> None:
        await self.check("Transfer-Encoding: chunked")
