"""Run the processes of the deploy file on loopback addresses, before a fake platform."""

import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from acaciarill.edge import EdgeLimits, HttpPool, HttpResponse, Request, Responder
from acaciarill.errors import UpstreamError
from acaciarill.platform.const import METRICS_PORT, SETTINGS_VARIABLE
from tests.fakes.ports import free_port
from tests.platform.clients.usage import descriptor_count, resident_bytes, unread_bytes
from tests.platform.fakes import FakeDutyApi, FakeReplica, FakeStore, configuration

ROOT = Path(__file__).resolve().parents[3]
START_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 60.0
"""Both only end a test that hangs; nothing is measured in time."""
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
MB = 1024 * 1024
MAX_REPLICA_BODY_BYTES = 64 * MB


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """Hold the limits that the settings of a process state."""

    memory_mb: int = 128
    max_fds: int = 600


def _free_host() -> str:
    """Return a loopback address at which the port of the metrics is free."""
    while True:
        host = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((host, METRICS_PORT))
            except OSError:
                continue
        return host


class DaemonProcess:
    """Hold one process of the deploy file, and read what the kernel knows of it."""

    def __init__(self, name: str, role: str, command: list[str], folder: Path) -> None:
        self.name = name
        self.role = role
        self.command = command
        self.host = _free_host()
        self.ports = {kind: free_port() for kind in ("front", "ready", "control", "peer")}
        self.settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def address(self, kind: str) -> str:
        """Return the address of one listener: `front`, `ready`, `peer` or `metrics`."""
        return f"{self.host}:{METRICS_PORT if kind == 'metrics' else self.ports[kind]}"

    def start(self) -> None:
        """Start the process from the repository's root, with its settings alone."""
        environment = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
        environment[SETTINGS_VARIABLE] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def resident_bytes(self, field: str = "VmRSS") -> int:
        """Return the resident memory, or with `VmHWM` the most that there ever was."""
        assert self.process is not None
        return resident_bytes(self.process.pid, field)

    def unread_bytes(self) -> int:
        """Return the bytes that have arrived at the process's address and were not read yet."""
        return unread_bytes(self.host)

    def descriptor_count(self) -> int:
        """Return how many descriptors the process has open."""
        assert self.process is not None
        return descriptor_count(self.process.pid)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class CountingReplica(FakeReplica):
    """Respond with the size of the body, of which any is allowed, or with `answer_bytes` bytes."""

    def __init__(self, store: FakeStore, name: str, service: str, zone: str) -> None:
        super().__init__(store, name, service, zone, {})
        self.answer_bytes = 0
        self.request_ids: list[str] = []
        self.server.limits = lambda: EdgeLimits(max_body_bytes=MAX_REPLICA_BODY_BYTES)

    async def serve(self, request: Request, responder: Responder) -> None:
        self.request_ids.append(request.get(b"x-acaciarill-attempt-id"))
        await anyio.sleep(self.response_delay_s)
        body = b"x" * self.answer_bytes or b"%d bytes" % len(request.body)
        await responder.send_response(200, self._response_headers(request), body)


class Deployment:
    """Hold the fake platform and one process of each role."""

    def __init__(self, folder: Path, limits: ProcessLimits) -> None:
        self.folder = folder
        self.limits = limits
        self.store, self.duty_api = FakeStore(), FakeDutyApi()
        self.web = CountingReplica(self.store, "w1", "web", "a")
        self.engine = FakeReplica(self.store, "e1", "llm", "a", {"m": 1})
        self.pool = HttpPool(anyio.current_time)
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.daemons = {
            name: DaemonProcess(name, role["on"], _command(role["run"]), folder)
            for name, role in roles.items()
        }

    @property
    def front(self) -> DaemonProcess:
        """Return the process that serves clients."""
        return self.daemons["front"]

    async def start(self, tasks: anyio.abc.TaskGroup, client_limits: dict[str, int]) -> None:
        """Start the platform and the processes; return when clients can be served."""
        for server in (self.store, self.duty_api, self.web, self.engine):
            await tasks.start(server.run)
        for replica in (self.web, self.engine):
            replica.register()
        self.store.put("config", "main", patient_configuration(client_limits))
        for daemon in self.daemons.values():
            daemon.settings_path.write_text(self._settings(daemon))
            daemon.start()
        with anyio.fail_after(START_TIMEOUT_S):
            while await self.status("ready", "/ready") != 200 or await self.status() != 200:
                await anyio.sleep(0.1)

    def _settings(self, daemon: DaemonProcess) -> str:
        seeds = [other.address("control") for other in self.daemons.values()]
        is_front = daemon.role == "front"
        listen = {kind: daemon.address(kind) for kind in ("front", "ready", "control") if is_front}
        lines = [
            f"node = {json.dumps(daemon.name)}",
            f"role = {json.dumps(daemon.role)}",
            f"ip = {json.dumps(daemon.host)}",
            'zone = "a"',
            f"port_range = [{daemon.ports['peer']}, {daemon.ports['peer']}]",
            f"seeds = {json.dumps(seeds)}",
            "[listen]",
            *(f"{kind} = {json.dumps(address)}" for kind, address in listen.items()),
            "[limits]",
            f"memory_mb = {self.limits.memory_mb}",
            f"max_fds = {self.limits.max_fds}",
            "[bounds]",
            "grace_s = 8",
            "lease_ms = 3000",
            "[provider]",
            f"address = {json.dumps(self.store.address)}",
            "[cloud]",
            f"address = {json.dumps(self.duty_api.address)}",
        ]
        return "\n".join(lines) + "\n"

    async def call(
        self, kind: str, method: str, target: str, body: bytes = b"", name: str = ""
    ) -> HttpResponse:
        """Send one ordinary request on a new connection and return the response."""
        request_id = name or f"ordinary-{random.getrandbits(60)}"
        headers = [
            (b"Host", b"h.example"),
            (b"Authorization", b"Bearer key-1"),
            (b"X-Acaciarill-Attempt-Id", request_id.encode()),
            (b"X-Acaciarill-Deadline-Ms", b"%d" % (ANSWER_TIMEOUT_S * 1000)),
        ]
        address = self.front.address(kind)
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            return await self.pool.request(
                address, method, target, headers, body, new_connection=True
            )

    async def status(
        self, kind: str = "front", target: str = "/p/1", body: bytes = b"ordinary"
    ) -> int:
        """Return the status of one ordinary request, 0 without a response."""
        try:
            if kind == "ready":
                return (await self.call(kind, "GET", target)).head.status
            return (await self.call(kind, "POST", target, body)).head.status
        except UpstreamError:
            return 0


def patient_configuration(
    client_limits: dict[str, int], version: int = 1, keys: tuple[str, ...] = ("key-1", "key-2")
) -> dict[str, Any]:
    """Return a configuration whose routes wait as long as the tests do."""
    document = configuration(version, keys)
    for route in document["routes"]:
        route["timeout_ms"] = int(ANSWER_TIMEOUT_S * 1000)
    return document | {"limits": client_limits}


def _command(run: str) -> list[str]:
    command = shlex.split(run)
    return [sys.executable if command[0] == "python3" else command[0], *command[1:]]


@asynccontextmanager
async def running_deployment(
    limits: ProcessLimits, client_limits: dict[str, Any]
) -> AsyncIterator[Deployment]:
    """Run one process of each role of the deploy file, with limits for the processes."""
    with tempfile.TemporaryDirectory(prefix="clients-") as folder:
        deployment = Deployment(Path(folder), limits)
        try:
            async with anyio.create_task_group() as tasks:
                await deployment.start(tasks, client_limits)
                yield deployment
                tasks.cancel_scope.cancel()
        finally:
            for daemon in deployment.daemons.values():
                daemon.kill()
