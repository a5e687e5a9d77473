"""Serve scripted answers over real connections, as an upstream of the shared fleet."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from acaciarill.edge import EdgeServer, Request, Responder
from tests.fakes.ports import free_port

Answer = Callable[[Request, Responder], Awaitable[None]]


class FakeUpstream:
    """Answer each request by the next script; the last one stays."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.address = f"127.0.0.1:{free_port()}"
        self.requests: list[Request] = []
        self.server = EdgeServer(self.address, self._serve, anyio.current_time)

    async def start(self, task_group: anyio.abc.TaskGroup) -> None:
        """Listen until the task group ends."""
        await task_group.start(self.server.run)

    async def _serve(self, request: Request, responder: Responder) -> None:
        self.requests.append(request)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        await answer(request, responder)


def status(code: int, *headers: tuple[bytes, bytes], body: bytes = b"body") -> Answer:
    """Return an answer that echoes the request's id."""

    async def answer(request: Request, responder: Responder) -> None:
        echoed = (b"X-Request-Id", request.headers_by_name.get(b"x-request-id", b""))
        await responder.send_response(code, [echoed, *headers], body)

    return answer


async def lost(request: Request, responder: Responder) -> None:
    """Run the request and close the connection without an answer."""


async def other_answer(request: Request, responder: Responder) -> None:
    """Answer with the id of another request."""
    await responder.send_response(200, [(b"X-Request-Id", b"another")], b"not yours")


async def silent(request: Request, responder: Responder) -> None:
    """Never answer."""
    await anyio.sleep_forever()
