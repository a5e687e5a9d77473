"""Test that a replica's malformed report costs only the call that asked for it."""

import anyio

from acaciarill.edge import HttpPool, Request, Responder
from acaciarill.errors import UpstreamError
from acaciarill.fleet import Upstream, UpstreamState
from acaciarill.platform._duties import DutyClient
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.upstream import FakeUpstream

VALID = b'{"models":[{"name":"m","version":3}],"busy":false,"sequence":4}'
MALFORMED = (
    b"",
    b"[]",
    b"7",
    b"{}",
    b'{"sequence":"x"}',
    b'{"sequence":1,"models":["m"]}',
    b'{"sequence":1,"models":[{"name":"m","version":1e400}]}',
    b'{"sequence":1,"models":[{"name":"m","version":"3"}]}',
    b"[" * 5000,
)


class ReportTest(PlainLoopTestCase):
    """Read reports over real connections."""

    # review/3 on a related path: an answer of another form ended the task that waited for it.
    async def test_malformed_report_is_an_error_of_the_upstream(self) -> None:
        bodies = [VALID, *MALFORMED]

        async def respond(request: Request, responder: Responder) -> None:
            await responder.send_response(200, [], bodies.pop(0))

        upstream = FakeUpstream(respond)
        client = DutyClient("d", "127.0.0.1:1", HttpPool(anyio.current_time), lambda epoch: True)
        state = UpstreamState(Upstream("e", "e", "llm", upstream.address, "dc", 4))
        async with anyio.create_task_group() as tasks:
            await upstream.start(tasks)
            self.assertEqual(await client.read_loaded_version(state, "m"), 3)
            for body in MALFORMED:
                with self.subTest(body[:30]), self.assertRaises(UpstreamError):
                    await client.read_loaded_version(state, "m")
            tasks.cancel_scope.cancel()
