"""Hold the limits, the requests and the checks that tests of crowds share."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

import anyio

from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.clients.crowd import Crowd
from tests.platform.clients.deployment import (
    MB,
    Deployment,
    ProcessLimits,
    running_deployment,
)

LIMITS = ProcessLimits(memory_mb=128, max_fds=600)
MAX_BODY_BYTES = 4 * MB
CLIENT_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": MAX_BODY_BYTES,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
LARGE_BODIES = 48
"""Together, they have one and a half times the memory of a process."""
PIPELINES = 16
REQUESTS_SENT_AHEAD = 400_000
PIECE_BYTES = 64 * 1024
SAMPLING_PERIOD_S = 0.05
WORK_S = 2.0


def head(framing: str, key: str = "key-1") -> bytes:
    """Return the head of a request with a body, whose framing is a header field."""
    lines = [
        "POST /p/1 HTTP/1.1",
        "Host: h.example",
        "X-Acaciarill-Attempt-Id: crowd",
        "X-Acaciarill-Deadline-Ms: 3000",
        f"Authorization: Bearer {key}",
        framing,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def body_with_length(size: int, sent: int, key: str = "key-1") -> Iterator[bytes]:
    """Yield a request whose body has a length, up to some byte of the body."""
    yield head(f"Content-Length: {size}", key)
    yield b"x" * sent


def body_in_chunks(size: int, is_complete: bool, key: str = "key-1") -> Iterator[bytes]:
    """Yield a request whose body comes in chunks, with or without the last one."""
    yield head("Transfer-Encoding: chunked", key)
    for _ in range(size // PIECE_BYTES):
        yield b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    if is_complete:
        yield b"0\r\n\r\n"


def requests_sent_ahead(request: bytes) -> Iterator[bytes]:
    """Yield many requests, of which none waits for an answer."""
    count = PIECE_BYTES // len(request)
    for _ in range(REQUESTS_SENT_AHEAD // count):
        yield request * count


class MeasuredProcess(Protocol):
    """Tell what a process uses."""

    def is_running(self) -> bool:
        """Return whether the process has not ended."""

    def resident_bytes(self, field: str = ...) -> int:
        """Return the resident memory, or with `VmHWM` the most that there ever was."""

    def unread_bytes(self) -> int:
        """Return the bytes that have arrived and were not read yet."""

    def descriptor_count(self) -> int:
        """Return how many descriptors the process has open."""


@dataclass(slots=True)
class PeakUsage:
    """Hold the most memory, with unread bytes, and descriptors that a process was seen to use."""

    memory_bytes: int = 0
    descriptors: int = 0

    async def watch(self, daemon: MeasuredProcess) -> None:
        """Measure again and again, until cancelled or until the process has ended."""
        while daemon.is_running():
            self.memory_bytes = max(
                self.memory_bytes,
                daemon.resident_bytes() + daemon.unread_bytes(),
                daemon.resident_bytes("VmHWM"),
            )
            self.descriptors = max(self.descriptors, daemon.descriptor_count())
            await anyio.sleep(SAMPLING_PERIOD_S)


class CrowdTestCase(PlainLoopTestCase):
    """Check a process beside a crowd."""

    async def check_beside(
        self,
        pieces: list[Iterator[bytes]],
        kind: str = "front",
        prepare: Callable[[Deployment], None] = lambda deployment: None,
        restore: Callable[[Deployment], None] = lambda deployment: None,
    ) -> None:
        """Check a process beside a crowd at one of its listeners.

        `prepare` is called before the crowd comes, `restore` before the ordinary requests.
        """
        async with running_deployment(LIMITS, CLIENT_LIMITS) as deployment:
            deployment.web.response_delay_s = WORK_S
            prepare(deployment)
            daemon, usage = deployment.front, PeakUsage()
            with Crowd(daemon.address(kind)) as crowd:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(usage.watch, daemon)
                    await crowd.send_all(pieces)
                    deployment.web.response_delay_s = 0.0
                    restore(deployment)
                    statuses = await self.send_ordinary_requests(deployment)
                    tasks.cancel_scope.cancel()
            is_running = daemon.is_running()
        self.assertEqual(statuses, [200, 200])
        self.assertTrue(is_running, "the process has ended")
        self.assertLess(usage.memory_bytes, LIMITS.memory_mb * MB)
        self.assertLess(usage.descriptors, LIMITS.max_fds)

    async def send_ordinary_requests(self, deployment: Deployment) -> list[int]:
        """Return the statuses of one request of an ordinary client and of a readiness probe."""
        return [await deployment.status(), await deployment.status("ready", "/ready")]
