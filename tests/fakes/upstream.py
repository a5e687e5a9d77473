"""Serve scripted responses over real connections, as an upstream of the shared fleet."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from acaciarill.edge import EdgeServer, Request, Responder
from tests.fakes.ports import free_port

ResponseScript = Callable[[Request, Responder], Awaitable[None]]


class FakeUpstream:
    """Respond to each request by the next script; the last one is repeated."""

    def __init__(self, *scripts: ResponseScript) -> None:
        self.scripts = list(scripts)
        self.address = f"127.0.0.1:{free_port()}"
        self.requests: list[Request] = []
        self.server = EdgeServer(self.address, self._serve, anyio.current_time)

    async def start(self, task_group: anyio.abc.TaskGroup) -> None:
        """Serve requests until the task group ends."""
        await task_group.start(self.server.run)

    async def _serve(self, request: Request, responder: Responder) -> None:
        self.requests.append(request)
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        await script(request, responder)


def respond_with(code: int, *headers: tuple[bytes, bytes], body: bytes = b"body") -> ResponseScript:
    """Return a script that responds with a status code and the request's id."""

    async def script(request: Request, responder: Responder) -> None:
        request_id_header = (b"X-Request-Id", request.headers_by_name.get(b"x-request-id", b""))
        await responder.send_response(code, [request_id_header, *headers], body)

    return script


async def close_without_response(request: Request, responder: Responder) -> None:
    """Accept the request and close the connection without a response."""


async def respond_with_wrong_id(request: Request, responder: Responder) -> None:
    """Respond with the id of another request."""
    await responder.send_response(200, [(b"X-Request-Id", b"another")], b"not yours")


async def never_respond(request: Request, responder: Responder) -> None:
    """Keep the connection open without a response."""
    await anyio.sleep_forever()
