"""Stand-ins for the users' platform, for the scripts of the third review; standard library only.

The store, the API for duty calls and the replicas follow PROTOCOL, the settings and the life of a
process follow DEPLOY. The daemons are the project's own programs, started as the deploy file says.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
PASSED_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
PAGE_OBJECTS = 500
RETAINED_EVENTS = 5000
GRACE_S = 8.0
Headers = list[tuple[str, str]]


class Record:
    """Write what happens to a file, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP


class Message:
    """Hold a request or a response; header names are in lower case, the first of each counts."""

    def __init__(self, start: str, headers: Headers, body: bytes = b"") -> None:
        self.start = start
        self.raw_headers = headers
        self.headers = {name.lower(): value for name, value in reversed(headers)}
        self.body = body

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; raise IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    return Message(start, [tuple(line.split(": ", 1)) for line in lines])  # type: ignore[misc]


async def read_body(
    reader: asyncio.StreamReader,
    message: Message,
    on_chunk: Callable[[bytes], None] = lambda chunk: None,
) -> bytes:
    """Read a whole body by its length or in chunks; raise IncompleteReadError if it is cut."""
    if message.headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(message.headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
        chunk = (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body
        on_chunk(chunk)
        body += chunk


def encode_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return a complete response."""
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serve HTTP/1.1 on one address; a request ends when its connection closes."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(
            self._serve_connection, host, int(port), limit=1 << 20
        )

    async def serve(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.connections.add(task)
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request)
                work = asyncio.ensure_future(self.serve(request, writer))
                gone = asyncio.ensure_future(self._wait_until_gone(reader))
                try:
                    await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
                    if not work.done():
                        return
                    await work
                finally:
                    work.cancel()
                    gone.cancel()
                    await asyncio.gather(work, gone, return_exceptions=True)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(task)
            writer.close()

    @staticmethod
    async def _wait_until_gone(reader: asyncio.StreamReader) -> None:
        """Wait until the connection ends; these callers send nothing before the response."""
        while not reader.at_eof() and reader.exception() is None:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


# The platform


class Store(HttpServer):
    """Keep objects by kind and name, with revisions, conditional writes, pages and watches."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any]]] = []
        self.rev = 10
        self.changed = asyncio.Event()
        self.answer_s = 0.004

    def write(self, kind: str, name: str, spec: Any, status: Any = None) -> dict[str, Any]:
        """Write an object as its owner does."""
        self.rev += 1
        metadata = {"name": name, "rev": self.rev, "finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self.kinds.setdefault(kind, {})[name] = stored
        self._add_event(kind, stored, False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.rev += 1
        stored = self.kinds[kind].pop(name)
        stored = stored | {"metadata": stored["metadata"] | {"rev": self.rev}}
        self._add_event(kind, stored, True)

    def _add_event(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.events.append((self.rev, kind, {"object": stored, "deleted": deleted}))
        del self.events[:-RETAINED_EVENTS]
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.answer_s)
        path, _, query = request.target.partition("?")
        parts = [unquote(part) for part in path.split("/")[2:]]
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if request.method == "GET" and len(parts) == 1:
            status, value = await self._list_or_watch(parts[0], fields)
        else:
            status, value = self._call_object(request, parts, fields)
        body = json.dumps(value).encode() if value is not None else b""
        writer.write(encode_response(status, [("Content-Type", "application/json")], body))
        await writer.drain()

    async def _list_or_watch(self, kind: str, fields: dict[str, str]) -> tuple[int, Any]:
        if "watch" not in fields:
            objects = self.kinds.get(kind, {})
            names = sorted(name for name in objects if name > fields.get("after", ""))
            items = [objects[name] for name in names[:PAGE_OBJECTS]]
            more = len(names) > PAGE_OBJECTS
            return 200, {"items": items, "has_more": more, "current_rev": self.rev}
        since = int(fields["watch"])
        if self.events and len(self.events) == RETAINED_EVENTS and since < self.events[0][0] - 1:
            return 410, None
        deadline = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
        while True:
            events = [event for rev, name, event in self.events if rev > since and name == kind]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "current_rev": self.rev}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), remaining_s)

    def _call_object(
        self, request: Message, parts: list[str], fields: dict[str, str]
    ) -> tuple[int, Any]:
        kind = parts[0]
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata") or {}
        name = parts[1] if len(parts) > 1 else metadata["name"]
        stored = self.kinds.get(kind, {}).get(name)
        if request.method == "POST":
            if stored is not None:
                return 409, stored
            return 201, self.write(kind, name, body.get("spec"))
        if stored is None:
            return 404, None
        if request.method == "GET":
            return 200, stored
        rev = metadata.get("rev") or int(fields.get("rev", "0"))
        if rev and rev != stored["metadata"]["rev"]:
            return 409, stored
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, stored
        if parts[2:] == ["status"]:
            return 200, self.write(kind, name, stored["spec"], body.get("status"))
        return 200, self.write(kind, name, body.get("spec"), stored["status"])


class Cloud(HttpServer):
    """Accept the calls of duties; refuse those with a lower fence number."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.fence = 0

    async def serve(self, request: Message, writer: asyncio.StreamWriter) -> None:
        fence = int(request.headers["x-acaciarill-fence-token"])
        status = 409 if fence < self.fence else 200
        self.fence = max(self.fence, fence)
        writer.write(encode_response(status, [], b""))
        await writer.drain()


class Replica(HttpServer):
    """Serve plain requests and streams of events, and write its entry to the store.

    `began` and `finished` hold when it began to run each request, and when it had sent the whole
    answer, by the attempt's id.
    """

    def __init__(self, address: str, name: str, service: str, store: Store, record: Record) -> None:
        super().__init__(address)
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.work_s = 0.1
        self.events = 5
        self.events_by_path: dict[str, int] = {}
        self.event_s = 0.05
        self.slots = 64
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.version = "s1"
        self.state = "ready"
        self.began: dict[str, float] = {}
        self.finished: dict[str, float] = {}

    def report(self) -> None:
        """Write the replica's entry."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.write("servers", self.name, entry)

    async def serve(self, request: Message, writer: asyncio.StreamWriter) -> None:
        attempt = request.headers.get("x-acaciarill-attempt-id", "")
        expected = request.headers.get("x-acaciarill-expect-instance", self.name)
        if expected != self.name or not attempt:
            status = 421 if expected != self.name else 400
            writer.write(encode_response(status, [("X-Acaciarill-Not-Run", "1")], b""))
            await writer.drain()
            return
        self.began[attempt] = self.record.now()
        self.record.write(f"run {attempt} at {self.name}")
        await self.run(request, attempt, writer)
        self.finished[attempt] = self.record.now()

    def headers(self, attempt: str) -> Headers:
        """Return the headers of an answer."""
        return [
            ("X-Acaciarill-Attempt-Id", attempt),
            ("X-Acaciarill-Server-Stamp", f"{self.name}.{attempt}"),
            ("X-Acaciarill-Instance-Load", f"0,0,{self.slots}"),
            ("Keep-Alive", "timeout=30"),
        ]

    async def run(self, request: Message, attempt: str, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it."""
        await asyncio.sleep(self.work_s)
        writer.write(encode_response(200, self.headers(attempt), b"x" * 800))
        await writer.drain()


class StreamReplica(Replica):
    """Answer with a stream of events, which goes on after Last-Event-Id."""

    async def run(self, request: Message, attempt: str, writer: asyncio.StreamWriter) -> None:
        lines = ["HTTP/1.1 200 -", *(f"{n}: {v}" for n, v in self.headers(attempt))]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        count = self.events_by_path.get(request.target, self.events)
        for number in range(first, count + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Engine(StreamReplica):
    """Run items of batches, load weights by order, and tell its state.

    `runs` holds when it began and ended each run, by the attempt's id.
    """

    def __init__(self, address: str, name: str, service: str, store: Store, record: Record) -> None:
        super().__init__(address, name, service, store, record)
        self.models = {"m": 1}
        self.orders = 0
        self.runs: list[tuple[str, float, float]] = []

    def report(self) -> None:
        super().report()
        entry = self.store.kinds["servers"][self.name]["spec"]
        models = [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]
        self.store.write("servers", self.name, entry | {"stage": "dual", "models": models})

    def headers(self, attempt: str) -> Headers:
        running = len(self.began) - len(self.runs)
        return [
            *(h for h in super().headers(attempt) if h[0] != "X-Acaciarill-Instance-Load"),
            ("X-Acaciarill-Instance-Load", f"{running},0,{self.slots}"),
            ("X-Acaciarill-Weight-Versions", str(self.models["m"])),
        ]

    async def serve(self, request: Message, writer: asyncio.StreamWriter) -> None:
        if request.target == "/report":
            models = [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]
            load = {"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 1, "handles": 0}
            body = {"stage": "dual", "models": models, "busy": False, "sequence": self.orders}
            answer = encode_response(200, [], json.dumps(body | load).encode())
            writer.write(answer)
            await writer.drain()
        elif request.target == "/order":
            self.orders += 1
            order = json.loads(request.body)
            self.models[order["model"]] = order["version"]
            writer.write(encode_response(202, [], b""))
            await writer.drain()
            self.report()
        else:
            await super().serve(request, writer)

    async def run(self, request: Message, attempt: str, writer: asyncio.StreamWriter) -> None:
        began_at = self.record.now()
        try:
            await super().run(request, attempt, writer)
        finally:
            self.runs.append((attempt, began_at, self.record.now()))


# Machines


class Network:
    """Give out loopback addresses whose ports are free; all machines use the same ports."""

    def __init__(self) -> None:
        self.prefix = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
        self.count = 1
        first = random.randrange(20_000, 29_000, 20)
        self.peer_port, self.front_port, self.ready_port, self.control_port = range(
            first, first + 4
        )
        self.server_port = first + 5

    def host(self) -> str:
        """Return the address of a further machine."""
        while True:
            self.count += 1
            host = f"{self.prefix}.{self.count}"
            ports = (self.peer_port, self.front_port, self.ready_port, self.control_port)
            if all(_is_free(host, port) for port in (*ports, self.server_port, METRICS_PORT)):
                return host

    def server(self) -> str:
        """Return a free address for a server of the platform."""
        return f"{self.host()}:{self.server_port}"


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Daemon:
    """Run one program of the deploy file on a machine of its own."""

    def __init__(self, name: str, role: str, network: Network, folder: Path) -> None:
        self.name = name
        self.role = role
        self.network = network
        self.host = network.host()
        self.zone = "z-a"
        self.settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def address(self, kind: str) -> str:
        """Return the address of a listener."""
        return f"{self.host}:{getattr(self.network, kind + '_port')}"

    def start(self) -> None:
        """Start the program with nothing but its settings and what the pages let through."""
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        environment = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
        environment["ACACIARILL_SETTINGS"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(roles[self.role]["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Machines:
    """Hold the platform and the daemons of a small deployment, and end them all."""

    def __init__(self, record: Record, fronts: int, stores: int) -> None:
        self.record = record
        self.network = Network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.store = Store(self.network.server())
        self.cloud = Cloud(self.network.server())
        self.replicas: list[Replica] = []
        self.black_holes: list[socket.socket] = []
        self.fronts = [self._daemon(f"front-{n + 1:02d}", "front") for n in range(fronts)]
        self.stores = [self._daemon(f"store-{n + 1:02d}", "store") for n in range(stores)]

    def _daemon(self, name: str, role: str) -> Daemon:
        return Daemon(name, role, self.network, self.folder)

    @property
    def daemons(self) -> list[Daemon]:
        """Return all daemons."""
        return [*self.fronts, *self.stores]

    def add_replica(self, kind: type[Replica], name: str, service: str) -> Replica:
        """Add a replica, which starts with the platform."""
        replica = kind(self.network.server(), name, service, self.store, self.record)
        self.replicas.append(replica)
        return replica

    def write_settings(self, daemon: Daemon) -> None:
        """Write the settings file of one process, as DEPLOY has it."""
        is_front = daemon.role == "front"
        # Store machines come first: a role that serves `control` runs on the fronts alone.
        seeds = [front.address("control") for front in self.fronts[:3]]
        listen = {kind: daemon.address(kind) for kind in ("front", "ready", "control")}
        port = self.network.peer_port
        lines = [
            f'node = "{daemon.name}"',
            f'role = "{daemon.role}"',
            f'machine_class = "{daemon.role}"',
            f'serves = {json.dumps(["front", "control"] if is_front else ["store"])}',
            f'ip = "{daemon.host}"',
            f'zone = "{daemon.zone}"',
            'region = "r"',
            f"port_range = [{port}, {port}]",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
            f"counts_as_loss = {json.dumps(not is_front)}",
            'discovery = "platform"',
            'entry = "virtual_ip"',
            "heartbeat_ms = 1200",
            'contracts = ["base","drain","config","recover","stream","batch","leader","platform"]',
            "[zones]",
            'z-a = "r"',
            'z-b = "r"',
            "[listen]",
            *(f'{kind} = "{address}"' for kind, address in listen.items() if is_front),
            "[limits]",
            "memory_mb = 300",
            "max_fds = 4100",
            "[fault_tolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            f"grace_s = {GRACE_S:.0f}",
            "lease_ms = 3000",
            "contact_ms = 3000",
            "report_window_s = 5",
            "status_s = 120",
            "[provider]",
            f'address = "{self.store.address}"',
            'form = "objects"',
            "value_bytes = 1048576",
            "[cloud]",
            f'address = "{self.cloud.address}"',
        ]
        daemon.settings_path.write_text("\n".join(lines) + "\n")

    async def start(self, configuration: dict[str, Any], timeout_s: float = 40.0) -> None:
        """Start everything; return when all fronts say that they are ready."""
        for server in (self.store, self.cloud, *self.replicas):
            await server.start()
        for replica in self.replicas:
            replica.report()
        self.store.write("config", "main", configuration)
        for daemon in self.daemons:
            self.write_settings(daemon)
            daemon.start()
        deadline = time.monotonic() + timeout_s
        while not all([await self.is_ready(front) for front in self.fronts]):
            if time.monotonic() > deadline:
                raise TimeoutError("the fronts did not become ready")
            await asyncio.sleep(0.2)
        self.record.write("all fronts are ready")

    async def is_ready(self, daemon: Daemon) -> bool:
        """Ask a daemon what the platform asks once a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(daemon.host, self.network.ready_port)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                    return (await read_head(reader)).status == 200
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def stop_daemon(self, daemon: Daemon) -> None:
        """Stop a process as the platform does: SIGTERM, and SIGKILL after `grace_s`."""
        self.record.write(f"SIGTERM to {daemon.name}")
        daemon.signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S
        while daemon.is_running() and time.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        if daemon.is_running():
            self.record.write(f"SIGKILL to {daemon.name}: grace_s is over")
            daemon.signal(signal.SIGKILL)
        while daemon.is_running():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        self.record.write(f"{daemon.name} has ended")

    def take_away(self, daemon: Daemon) -> None:
        """Remove the machine of an ended process: its address answers no more.

        A listener whose queue is full lets the kernel drop each opening packet, as a machine
        without power does.
        """
        address = (daemon.host, self.network.peer_port)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(0)
        self.black_holes.append(listener)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(address)
            self.black_holes.append(filler)
        self.record.write(f"the machine of {daemon.name} is removed")

    def lose_power(self, daemon: Daemon) -> None:
        """End a process at once; its machine answers no more."""
        daemon.signal(signal.SIGKILL)
        if daemon.process is not None:
            daemon.process.wait()
        self.record.write(f"{daemon.name} loses power")
        self.take_away(daemon)

    def end(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.process.wait()
        for item in self.black_holes:
            item.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


# Requesters


class Outcome:
    """Hold what a requester saw of one request; times are seconds since the start.

    `passed_on` is filled in by the case from what the replicas saw.
    """

    def __init__(self, attempt: str, sent_at: float) -> None:
        self.attempt = attempt
        self.sent_at = sent_at
        self.ended_at = 0.0
        self.status = 0
        self.is_complete = False
        self.body = b""


class Channel:
    """Keep one connection to a daemon and send requests on it, one after the other."""

    def __init__(self, daemon: Daemon, record: Record) -> None:
        self.daemon = daemon
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.is_open = False

    async def open(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(
            self.daemon.host, self.daemon.network.front_port, limit=1 << 20
        )
        self.is_open = True

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        if self.writer is not None:
            self.writer.close()

    def has_ended(self) -> bool:
        """Return whether the daemon has closed the channel."""
        assert self.reader is not None
        return self.reader.at_eof() or self.reader.exception() is not None

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes = b"", attempt: str = ""
    ) -> Outcome:
        """Send a request and return what was seen of the answer."""
        assert self.reader is not None and self.writer is not None
        attempt = attempt or f"{random.getrandbits(64):016x}"
        lines = [f"{method} {target} HTTP/1.1", f"X-Acaciarill-Attempt-Id: {attempt}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        outcome = Outcome(attempt, self.record.now())
        self.record.write(f"send {attempt} {method} {target} to {self.daemon.name}")
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await self.writer.drain()
            head = await read_head(self.reader)
            outcome.status = head.status
            outcome.body = await read_body(self.reader, head)
            outcome.is_complete = True
            if head.headers.get("connection", "").lower() == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        outcome.ended_at = self.record.now()
        end = "answer" if outcome.is_complete else "channel ended without a complete answer"
        self.record.write(f"{end} {attempt} {outcome.status}")
        return outcome


def run_case(
    main: Callable[[Record, bool], Awaitable[bool]], folder: Path, timeout_s: float = 115.0
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        async with asyncio.timeout(timeout_s):
            return await main(record, trouble)

    try:
        broken = asyncio.run(run())
    except Exception as error:  # a case that cannot run says so by its status
        record.write(f"the case could not run: {error!r}")
        return 2
    record.write("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
