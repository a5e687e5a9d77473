"""Test that what cannot be served is refused at its head, and that a refusal keeps its promise."""

import anyio
import h11

from acaciarill.connection_budget import ConnectionBudget, ConnectionLimits
from acaciarill.edge import EdgeLimits, EdgeServer, Request, Responder
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.ports import free_port
from tests.platform.clients.cases import CLIENT_LIMITS, LIMITS, MAX_BODY_BYTES
from tests.platform.clients.deployment import (
    ANSWER_TIMEOUT_S,
    MB,
    patient_configuration,
    running_deployment,
)


class RawClient:
    """Send parts of requests on one connection and read the responses."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self.received = b""

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await self.stream.send(data)

    async def read_head(self) -> h11.Response:
        """Return the head of the next response, whose body is left out."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="POST", target="/", headers=[(b"Host", b"h")]))
        parser.send(h11.EndOfMessage())
        head: h11.Response | None = None
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await self.stream.receive())
                elif isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.EndOfMessage):
                    assert head is not None
                    return head


def post(path: str, size: int, key: str = "key-1", more: str = "") -> bytes:
    """Return the head of a request whose body has a length."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {key}\r\n"
        f"X-Acaciarill-Attempt-Id: a{size}\r\nContent-Length: {size}\r\n{more}\r\n"
    ).encode()


def has_field(head: h11.Response, name: bytes, value: bytes) -> bool:
    """Return whether a response has a header field with a value."""
    return (name, value) in list(head.headers)


class RefusalTest(PlainLoopTestCase):
    """Send heads whose body never comes."""

    async def test_what_cannot_be_served_is_refused_before_its_body_is_read(self) -> None:
        cases = [
            (post("/p/1", MAX_BODY_BYTES, key="unknown"), 401),
            (post("/none/1", MAX_BODY_BYTES), 404),
            (post("/p/1", MAX_BODY_BYTES + 1), 413),
            (post("/p/1", 10, key="unknown"), 401),
            (post("/p/1", 10, key="unknown", more="Expect: 100-continue\r\n"), 401),
            (post("/lots/1", MAX_BODY_BYTES, key="unknown"), 401),
            (
                post("/p/1", 1, key="unknown").replace(
                    b"Content-Length: 1\r\n", b"Transfer-Encoding: chunked\r\n"
                ),
                401,
            ),
        ]
        statuses = []
        async with running_deployment(LIMITS, CLIENT_LIMITS) as deployment:
            host, _, port = deployment.front.address("front").partition(":")
            for head, _ in cases:
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    client = RawClient(stream)
                    await client.send(head)
                    response = await client.read_head()
                    statuses.append(response.status_code)
                    self.assertTrue(has_field(response, b"connection", b"close"))
        self.assertEqual(statuses, [status for _, status in cases])

    async def test_connection_stays_open_if_the_body_of_a_refused_request_is_there(self) -> None:
        async with running_deployment(LIMITS, CLIENT_LIMITS) as deployment:
            host, _, port = deployment.front.address("front").partition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                client = RawClient(stream)
                await client.send(post("/p/1", 4, key="unknown") + b"body")
                self.assertEqual((await client.read_head()).status_code, 401)
                await client.send(post("/p/1", 4) + b"body")
                self.assertEqual((await client.read_head()).status_code, 200)

    async def test_key_that_is_withdrawn_while_the_body_arrives_is_refused(self) -> None:
        async with running_deployment(LIMITS, CLIENT_LIMITS) as deployment:
            host, _, port = deployment.front.address("front").partition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                client = RawClient(stream)
                await client.send(post("/p/1", 4) + b"bo")
                deployment.store.put(
                    "config", "main", patient_configuration(CLIENT_LIMITS, 2, ("key-2",))
                )
                with anyio.fail_after(ANSWER_TIMEOUT_S):
                    while await deployment.status() != 401:
                        await anyio.sleep(0.05)
                await client.send(b"dy")
                self.assertEqual((await client.read_head()).status_code, 401)


class NoRoomTest(PlainLoopTestCase):
    """Send bodies for which there is no room."""

    async def test_body_without_room_gets_503_and_has_not_run(self) -> None:
        requests: list[Request] = []

        async def handle(request: Request, responder: Responder) -> None:
            requests.append(request)
            await responder.send_response(200, [])

        budget = ConnectionBudget(anyio.current_time, ConnectionLimits(2 * MB, 10))
        port = free_port()
        limits = EdgeLimits(max_body_bytes=MB)
        server = EdgeServer(f"127.0.0.1:{port}", handle, anyio.current_time, lambda: limits, budget)
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            clients = []
            for _ in range(2):
                client = RawClient(await anyio.connect_tcp("127.0.0.1", port))
                await client.send(post("/", MB) + b"x" * (MB - 1))
                clients.append(client)
                await anyio.sleep(0.05)
            refusal = await clients[1].read_head()
            self.assertEqual(refusal.status_code, 503)
            self.assertTrue(has_field(refusal, b"retry-after", b"0.5"))
            self.assertTrue(has_field(refusal, b"connection", b"close"))
            await clients[0].send(b"x")
            self.assertEqual((await clients[0].read_head()).status_code, 200)
            self.assertEqual([len(request.body) for request in requests], [MB])
            for client in clients:
                await anyio.aclose_forcefully(client.stream)
            tasks.cancel_scope.cancel()
        self.assertEqual(budget.accounts, {})
        self.assertEqual((budget.held_bytes, budget.large_body_bytes), (0, 0))
