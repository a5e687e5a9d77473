"""Run the side of a relay that passes requests on, for requests of a daemon `d2`."""

import random

import anyio
import anyio.abc

from acaciarill.edge import HttpPool
from acaciarill.fleet import Members, Upstream, UpstreamTable
from acaciarill.peers import messages
from acaciarill.platform._headers import UPSTREAM_CODEC
from acaciarill.relays import RelayServer, UpstreamLinks
from tests.fakes.raw_upstream import RawUpstream

CONTACT_PERIOD_S = 0.2


async def start_relay(
    upstream: RawUpstream, tasks: anyio.abc.TaskGroup
) -> tuple[RelayServer, messages.Relay]:
    """Return a relay that reaches an upstream, and a request to pass on."""
    clock = anyio.current_time
    members = Members("d1", "a:1", "dc", "front", clock)
    table = UpstreamTable("dc", clock, random.Random(1))
    table.update([Upstream("e", "e", "s", upstream.address, "dc", 8)])
    pool = HttpPool(clock)
    links = UpstreamLinks(table, pool.can_connect, clock, tasks.start_soon)

    async def keep_contact() -> None:
        while True:
            members.record_ping("d2", "a:2", "dc", "front", True)
            await anyio.sleep(CONTACT_PERIOD_S)

    await upstream.start(tasks)
    tasks.start_soon(keep_contact)
    await anyio.lowlevel.checkpoint()
    call = messages.Relay(
        daemon="d2",
        upstream="e",
        lifetime="e",
        request_id="x",
        method="POST",
        target="/",
        headers=[messages.Header(name=b"X-Acaciarill-Attempt-Id", value=b"x")],
        body=b"x",
    )
    return RelayServer(members, table, links, pool, UPSTREAM_CODEC, clock), call
