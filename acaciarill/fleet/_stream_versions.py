"""Remember at all times, at several daemons, which software version began a stream.

[stream-versions.md](../../docs/design/stream-versions.md) weighs the design.
"""

from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import anyio
from eliot import log_message

from ..errors import PeerError
from ..peers import rendezvous_order
from ._members import ROLE_FRONT, Members
from .const import (
    MAX_STREAM_VERSIONS,
    STREAM_HOLDERS_ASKED,
    STREAM_LOOKUP_TIMEOUT_S,
    STREAM_VERSION_TTL_S,
)

TellHolder = Callable[[str, str, str], None]
"""Tell a daemon, by its name, which software version began a stream, by its key; do not wait."""
AskHolder = Callable[[str, str], Awaitable[str | None]]
"""Ask a daemon, by its name, which software version began a stream.

It raises PeerError."""


@dataclass(slots=True, frozen=True)
class _Beginning:
    software_version: str
    recorded_at: float


def make_stream_key(customer: str, request_id: str) -> str:
    """Return the key of a stream: two customers may use the same id for different requests."""
    return f"{len(customer)}:{customer}{request_id}"


class StreamVersions:
    """Hold the software versions that began streams, by the key of each.

    Two other daemons hold each of them too, one of them without clients if there is one: it
    outlives the others when all daemons with clients are killed.
    """

    def __init__(
        self,
        members: Members,
        tell: TellHolder,
        ask: AskHolder,
        clock: Callable[[], float],
        on_lookup: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self.members = members
        self.tell = tell
        self.ask = ask
        self.clock = clock
        self.on_lookup = on_lookup
        self.beginnings: OrderedDict[str, _Beginning] = OrderedDict()

    def record(self, stream_key: str, software_version: str) -> None:
        """Record which version began a stream, here and at two other daemons."""
        if self.get(stream_key) is not None:
            return
        self.store(stream_key, software_version)
        for holder in self._holders(stream_key, self.members.daemons(), 1):
            self.tell(holder, stream_key, software_version)

    def store(self, stream_key: str, software_version: str) -> None:
        """Record which version began a stream, for this daemon and those that ask it."""
        self.beginnings.setdefault(stream_key, _Beginning(software_version, self.clock()))
        oldest = self.clock() - STREAM_VERSION_TTL_S
        while self.beginnings and (
            len(self.beginnings) > MAX_STREAM_VERSIONS
            or next(iter(self.beginnings.values())).recorded_at < oldest
        ):
            self.beginnings.popitem(last=False)

    def get(self, stream_key: str) -> str | None:
        """Return the version that began a stream if this daemon knows it."""
        beginning = self.beginnings.get(stream_key)
        return None if beginning is None else beginning.software_version

    async def find(self, stream_key: str, max_wait_s: float) -> str | None:
        """Return the version that began a stream if this daemon or one of its holders knows it.

        Wait for the holders up to `max_wait_s` seconds.
        """
        known = self.get(stream_key)
        if known is not None:
            self.on_lookup("known")
            return known
        found: list[str] = []
        # A daemon that seems lost may be the only one that knows.
        holders = self._holders(stream_key, self.members.by_name, STREAM_HOLDERS_ASKED)
        with anyio.move_on_after(min(max_wait_s, STREAM_LOOKUP_TIMEOUT_S)):
            async with anyio.create_task_group() as lookups:

                async def look_up(holder: str) -> None:
                    try:
                        software_version = await self.ask(holder, stream_key)
                    except PeerError as error:
                        log_message(
                            message_type="streams:lookup_failed", peer=holder, reason=error.message
                        )
                        return
                    if software_version is not None:
                        found.append(software_version)
                        lookups.cancel_scope.cancel()

                for holder in holders:
                    lookups.start_soon(look_up, holder)
        if not found:
            self.on_lookup("unknown")
            return None
        self.on_lookup("found")
        self.store(stream_key, found[0])
        return found[0]

    def _holders(self, stream_key: str, names: Iterable[str], count: int) -> list[str]:
        """Return the first other daemons in the stream's rendezvous order, some of each role."""
        by_role: dict[bool, list[str]] = {True: [], False: []}
        for name in rendezvous_order(stream_key, list(names)):
            if name != self.members.name:
                by_role[self.members.by_name[name].role == ROLE_FRONT].append(name)
        with_clients, without_clients = by_role[True], by_role[False]
        if not without_clients:
            return with_clients[: 2 * count]
        return with_clients[:count] + without_clients[:count]
