"""Serve clients through the edge and the request handler, from replicas that send raw bytes."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import h11

from acaciarill.edge import EdgeLimits, EdgeServer, HttpPool
from acaciarill.fleet import (
    AttemptSender,
    Configuration,
    Forwarder,
    Members,
    Route,
    RouteKind,
    StreamRecord,
    StreamVersions,
    Upstream,
    UpstreamTable,
)
from acaciarill.fleet._attempts import LinkMonitor
from acaciarill.fleet._model import group_routes_by_host
from acaciarill.platform._headers import UPSTREAM_CODEC
from acaciarill.platform._request_handler import RequestHandler
from tests.fakes.ports import free_port
from tests.fakes.raw_upstream import RawAnswer, RawRequest, RawUpstream, encode_response

REQUEST_ID = "x-acaciarill-attempt-id"
STAMP = "X-Acaciarill-Server-Stamp"
CLIENT_TIMEOUT_S = 10.0
Answer = Callable[[RawRequest], RawAnswer]


def identify(request: RawRequest) -> dict[str, str]:
    """Return the headers that show to which request a response belongs and that it ran."""
    return {"X-Acaciarill-Attempt-Id": request.headers.get(REQUEST_ID, ""), STAMP: "stamp"}


def whole(request: RawRequest, body: bytes = b"whole body") -> bytes:
    """Return the bytes of a sound response."""
    return encode_response(200, identify(request), body)


@dataclass(slots=True)
class ClientAnswer:
    """Hold what a client received; `complete` says whether it looks like a whole response."""

    status: int
    body: bytes
    complete: bool
    data: bytes


class RawFleet:
    """Send requests of clients to a daemon's edge, behind which are raw upstreams."""

    def __init__(self, address: str, upstreams: list[RawUpstream]) -> None:
        self.address = address
        self.upstreams = upstreams

    @property
    def request_count(self) -> int:
        """Return how many requests all upstreams have received."""
        return sum(len(upstream.requests) for upstream in self.upstreams)

    async def send(self, path: str, name: str = "x", version: str = "1.1") -> ClientAnswer:
        """Send one request on a new connection and read until it is closed."""
        host, _, port = self.address.partition(":")
        lines = [
            f"POST {path} HTTP/{version}",
            "Host: h.example",
            f"X-Acaciarill-Attempt-Id: {name}",
            "X-Acaciarill-Deadline-Ms: 1500",
            "Content-Length: 1",
            "Connection: close",
        ]
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="POST", target=path, headers=[(b"Host", b"h")]))
        parser.send(h11.EndOfMessage())
        data = b""
        with anyio.fail_after(CLIENT_TIMEOUT_S):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send("\r\n".join(lines).encode() + b"\r\n\r\nx")
                was_reset = False
                while True:
                    try:
                        data += await stream.receive()
                    except anyio.EndOfStream:
                        break
                    except anyio.BrokenResourceError:
                        was_reset = True
                        break
        return _parse(parser, data, was_reset)


def _parse(parser: h11.Connection, data: bytes, was_reset: bool) -> ClientAnswer:
    status, body = 0, b""
    try:
        if data:
            parser.receive_data(data)
        if not was_reset:
            parser.receive_data(b"")
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return ClientAnswer(status, body, True, data)
            else:
                return ClientAnswer(status, body, False, data)
    except h11.RemoteProtocolError:
        return ClientAnswer(status, body, False, data)


def make_route(name: str, kind: RouteKind, max_attempts: int, resumable: bool = False) -> Route:
    """Return a public route whose path is its name."""
    return Route(
        name,
        "h.example",
        f"/{name}/",
        kind,
        (("s", 1.0),),
        2.0,
        0.2,
        max_attempts,
        0,
        public=True,
        resumable=resumable,
    )


@asynccontextmanager
async def raw_fleet(
    route: Route,
    *answers: Answer,
    more_routes: tuple[Route, ...] = (),
    links: LinkMonitor | None = None,
) -> AsyncIterator[RawFleet]:
    """Run a daemon's edge with one upstream for each answer; they are chosen in their order."""
    clock = anyio.current_time
    async with anyio.create_task_group() as tasks:
        upstreams = [RawUpstream(answer) for answer in answers]
        for upstream in upstreams:
            await upstream.start(tasks)
        table = UpstreamTable("dc", clock, random.Random(1))
        table.update(
            [
                Upstream(f"u{i}", f"u{i}", "s", u.address, "dc", 8, software_version="v1")
                for i, u in enumerate(upstreams)
            ]
        )
        for i, name in enumerate(sorted(table.states)):
            table.states[name].in_flight = i
        sender = AttemptSender(HttpPool(clock), UPSTREAM_CODEC, clock, links=links)
        configuration = Configuration(
            1, group_routes_by_host([route, *more_routes]), {}, EdgeLimits(), None
        )
        members = Members("f1", "f1", "dc", "front", clock)

        async def tell(holder: str, records: list[StreamRecord]) -> None:
            return

        async def ask(holder: str, key: str) -> None:
            return None

        async def confirm_upstreams(period_s: float) -> bool:
            return True

        handler = RequestHandler(
            lambda: configuration,
            Forwarder(sender, table, clock, random.Random(1)),
            StreamVersions(members, tell, ask, clock, tasks.start_soon),
            confirm_upstreams,
            None,  # type: ignore[arg-type]
            clock,
            lambda *observed: None,
        )
        address = f"127.0.0.1:{free_port()}"
        await tasks.start(EdgeServer(address, handler.serve, clock).run)
        yield RawFleet(address, upstreams)
        tasks.cancel_scope.cancel()
