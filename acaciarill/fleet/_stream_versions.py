"""Remember at all times, at several daemons, which software version began a stream.

[stream-versions.md](../../docs/design/stream-versions.md) weighs the design.
"""

import heapq
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from itertools import islice

import anyio
from eliot import log_message

from ..errors import PeerError
from ..peers import rendezvous_order, rendezvous_rank
from ._members import ROLE_FRONT, Member, Members
from ._stream_records import StreamRecord
from .const import (
    HAND_OVER_POLL_S,
    LOST_HOLDERS_ASKED,
    MAX_STREAM_VERSIONS,
    MAX_STREAMS_PER_MESSAGE,
    RECORDS_PER_TURN,
    STREAM_HOLDERS_ASKED,
    STREAM_LOOKUP_TIMEOUT_S,
    STREAM_VERSION_TTL_S,
)

TellHolder = Callable[[str, list[StreamRecord]], Awaitable[None]]
"""Tell a daemon, by its name, which software versions began streams; raise PeerError."""
AskHolder = Callable[[str, str], Awaitable[StreamRecord | None]]
"""Ask a daemon, by its name, which software version began a stream; raise PeerError."""
StartTask = Callable[..., None]


@dataclass(slots=True)
class _Beginning:
    """Hold one record; `holders` are the incarnations of other daemons that know it too.

    With `is_kept`, this daemon sees to it that others know the record; else the one that told it
    does, until that one is gone.
    """

    software_version: str
    expires_at: float
    holders: tuple[str, ...] = ()
    is_kept: bool = False


class StreamVersions:
    """Hold the software versions that began streams, by the key of each.

    Two other daemons hold each of them too, one of them without clients if there is one: it
    outlives the others when all daemons with clients are killed. `update_holders` must be called
    periodically: it tells others in place of those that have been stopped, restarted or lost.
    """

    def __init__(
        self,
        members: Members,
        tell: TellHolder,
        ask: AskHolder,
        clock: Callable[[], float],
        start_task: StartTask,
        on_lookup: Callable[[str], None] = lambda outcome: None,
        on_told: Callable[[str, int], None] = lambda outcome, count: None,
        max_records: int = MAX_STREAM_VERSIONS,
    ) -> None:
        self.members = members
        self.tell = tell
        self.ask = ask
        self.clock = clock
        self.start_task = start_task
        self.on_lookup = on_lookup
        self.on_told = on_told
        self.max_records = max_records
        self.beginnings: dict[str, _Beginning] = {}
        self.expiries: list[tuple[float, str]] = []
        self.staying: dict[str, Member] = {}
        self.untold: dict[str, dict[str, None]] = {}
        self.telling: set[str] = set()
        self.has_unchecked = False

    def record(
        self, stream_key: str, software_version: str, ttl_s: float = STREAM_VERSION_TTL_S
    ) -> None:
        """Record which version began a stream, here and at two other daemons."""
        if self.get(stream_key) is not None:
            return
        self._add(stream_key, software_version, ttl_s)
        self._keep(stream_key, self._find_staying())

    def store(
        self,
        stream_key: str,
        software_version: str,
        ttl_s: float = STREAM_VERSION_TTL_S,
        teller: str = "",
    ) -> None:
        """Store which version began a stream, as another daemon told it.

        `teller` is the incarnation of that daemon, which keeps the record while it stays.
        """
        known = self._add(stream_key, software_version, ttl_s)
        if teller and teller not in known.holders:
            known.holders += (sys.intern(teller),)
        self.has_unchecked |= teller not in self.staying

    def _add(self, stream_key: str, software_version: str, ttl_s: float) -> _Beginning:
        """Add a record unless it is known; return the one that counts, the first."""
        self._evict()
        known = self.beginnings.get(stream_key)
        if known is None:
            expires_at = self.clock() + ttl_s
            known = _Beginning(sys.intern(software_version), expires_at)
            self.beginnings[stream_key] = known
            heapq.heappush(self.expiries, (expires_at, stream_key))
            self._evict()
        return known

    def _evict(self) -> None:
        """Drop the records that have expired, and beyond the limit those that do so first."""
        now = self.clock()
        while self.expiries and (
            len(self.beginnings) > self.max_records or self.expiries[0][0] <= now
        ):
            del self.beginnings[heapq.heappop(self.expiries)[1]]

    def get(self, stream_key: str) -> str | None:
        """Return the version that began a stream if this daemon knows it."""
        beginning = self.beginnings.get(stream_key)
        if beginning is None or beginning.expires_at <= self.clock():
            return None
        return beginning.software_version

    def get_record(self, stream_key: str) -> StreamRecord | None:
        """Return the record of a stream if this daemon knows it."""
        software_version = self.get(stream_key)
        if software_version is None:
            return None
        remaining_s = self.beginnings[stream_key].expires_at - self.clock()
        return StreamRecord(stream_key, software_version, remaining_s)

    async def find(self, stream_key: str, max_wait_s: float) -> str | None:
        """Return the version that began a stream if this daemon or one of its holders knows it.

        Wait for the holders up to `max_wait_s` seconds.
        """
        known = self.get(stream_key)
        if known is not None:
            self.on_lookup("known")
            return known
        found: list[tuple[str, StreamRecord]] = []
        with anyio.move_on_after(min(max_wait_s, STREAM_LOOKUP_TIMEOUT_S)):
            async with anyio.create_task_group() as lookups:

                async def look_up(holder: str) -> None:
                    try:
                        record = await self.ask(holder, stream_key)
                    except PeerError as error:
                        log_message(
                            message_type="streams:lookup_failed", peer=holder, reason=error.message
                        )
                        return
                    if record is not None:
                        found.append((holder, record))
                        lookups.cancel_scope.cancel()

                for holder in self._daemons_to_ask(stream_key):
                    lookups.start_soon(look_up, holder)
        if not found:
            self.on_lookup("unknown")
            return None
        self.on_lookup("found")
        holder, record = found[0]
        self.store(
            stream_key, record.software_version, record.remaining_s, self._incarnation(holder)
        )
        # The stream goes on here: the daemons that come first now may be others than then.
        self._keep(stream_key, self._find_staying())
        return record.software_version

    def _daemons_to_ask(self, stream_key: str) -> list[str]:
        live = set(self.members.daemons())
        asked = self._first_of_each_role(stream_key, live, STREAM_HOLDERS_ASKED)
        # A daemon that seems lost may be the only one that knows.
        lost = self.members.by_name.keys() - live - {self.members.name}
        latest = sorted(lost, key=lambda name: -self.members.by_name[name].last_contact_at)
        return asked + latest[:LOST_HOLDERS_ASKED]

    # Telling others

    def _keep(self, stream_key: str, staying: dict[str, Member]) -> None:
        """See to it that the daemons that come first in a stream's order know its version."""
        beginning = self.beginnings.get(stream_key)
        if beginning is None:
            return
        beginning.is_kept = True
        for incarnation in self._wanted_holders(stream_key, staying):
            if incarnation not in beginning.holders:
                self.untold.setdefault(incarnation, {})[stream_key] = None
                self._start_telling(incarnation)

    def _wanted_holders(self, stream_key: str, staying: dict[str, Member]) -> list[str]:
        """Return the incarnations of the first other daemons of each role, or two of one role."""
        incarnations = {m.name: incarnation for incarnation, m in staying.items()}
        usable = [m for m in staying.values() if not m.draining and m.unreachable_since is None]
        by_role: dict[bool, list[str]] = {True: [], False: []}
        for member in usable or staying.values():
            by_role[member.role == ROLE_FRONT].append(member.name)
        with_clients, without_clients = by_role[True], by_role[False]
        if with_clients and without_clients:
            names = [_first(stream_key, with_clients), _first(stream_key, without_clients)]
        else:
            names = rendezvous_order(stream_key, with_clients or without_clients)[:2]
        return [incarnations[name] for name in names]

    def _find_staying(self) -> dict[str, Member]:
        """Return the other live daemons that are not being stopped, by incarnation."""
        members = self.members
        return {
            self._incarnation(name): members.by_name[name]
            for name in members.daemons()
            if name != members.name and not members.by_name[name].draining
        }

    def _incarnation(self, name: str) -> str:
        """Return the incarnation of a daemon, or its name while that is not known."""
        member = self.members.by_name.get(name)
        return name if member is None or not member.incarnation else member.incarnation

    def _first_of_each_role(self, stream_key: str, names: Iterable[str], count: int) -> list[str]:
        """Return the first other daemons in the stream's rendezvous order, some of each role."""
        by_role: dict[bool, list[str]] = {True: [], False: []}
        for name in rendezvous_order(stream_key, list(names)):
            if name != self.members.name:
                by_role[self.members.by_name[name].role == ROLE_FRONT].append(name)
        with_clients, without_clients = by_role[True], by_role[False]
        if not without_clients:
            return with_clients[: 2 * count]
        return with_clients[:count] + without_clients[:count]

    def _start_telling(self, incarnation: str) -> None:
        if incarnation not in self.telling:
            self.telling.add(incarnation)
            self.start_task(self._tell_all, incarnation)

    async def _tell_all(self, incarnation: str) -> None:
        """Tell a daemon what it has not been told, several streams in a message.

        What fails is told again after the next call of `update_holders`.
        """
        try:
            while keys := self.untold.get(incarnation):
                staying = self._find_staying()
                member = staying.get(incarnation)
                if member is None:  # it has left, or has just become known by its incarnation
                    del self.untold[incarnation]
                    for stream_key in keys:
                        self._keep(stream_key, staying)
                    return
                batch = list(islice(keys, MAX_STREAMS_PER_MESSAGE))
                records = [r for key in batch if (r := self.get_record(key)) is not None]
                if records:
                    await self.tell(member.name, records)
                    self.on_told("told", len(records))
                for key in batch:
                    keys.pop(key, None)
                    beginning = self.beginnings.get(key)
                    if beginning is not None and incarnation not in beginning.holders:
                        beginning.holders += (incarnation,)
        except PeerError as error:
            self.on_told("failed", len(records))
            log_message(
                message_type="streams:tell_failed",
                peer=member.name,
                streams=len(records),
                reason=error.message,
                action="tell it again, or another daemon if it is lost",
            )
        finally:
            self.telling.discard(incarnation)
            if not self.untold.get(incarnation):
                self.untold.pop(incarnation, None)

    async def update_holders(self) -> None:
        """Tell others in place of the daemons that are gone, and those that come first now."""
        staying = self._find_staying()
        gone = self.staying.keys() - staying.keys()
        joined = [staying[incarnation] for incarnation in staying.keys() - self.staying.keys()]
        self.staying = staying
        untold = {key for incarnation in gone for key in self.untold.pop(incarnation, ())}
        if gone or joined or self.has_unchecked:
            self.has_unchecked = False
            for turn, stream_key in enumerate(list(self.beginnings)):
                if turn % RECORDS_PER_TURN == 0:
                    await anyio.lowlevel.checkpoint()
                if self._lacks_holder(stream_key, staying, joined) or stream_key in untold:
                    self._keep(stream_key, staying)
        for incarnation in list(self.untold):
            self._start_telling(incarnation)

    def _lacks_holder(
        self, stream_key: str, staying: dict[str, Member], joined: list[Member]
    ) -> bool:
        """Return whether a record has to be told to others, as daemons have gone or joined."""
        beginning = self.beginnings.get(stream_key)
        if beginning is None:
            return False
        holder_count = len(beginning.holders)
        beginning.holders = tuple(h for h in beginning.holders if h in staying)
        if not beginning.holders:
            return True
        if not beginning.is_kept:
            return False
        return len(beginning.holders) < holder_count or any(
            self._comes_first(stream_key, beginning, member) for member in joined
        )

    def _comes_first(self, stream_key: str, beginning: _Beginning, joined: Member) -> bool:
        """Return whether a daemon comes before all holders of its role in a stream's order."""
        rank = rendezvous_rank(stream_key, joined.name)
        holders = [self.staying.get(incarnation) for incarnation in beginning.holders]
        return all(
            rank < rendezvous_rank(stream_key, holder.name)
            for holder in holders
            if holder is not None and (holder.role == ROLE_FRONT) == (joined.role == ROLE_FRONT)
        )

    async def hand_over(self) -> None:
        """Tell daemons that stay what no other of them knows; return once one knows each stream.

        While none stays, wait for one: daemons that are restarted are back after some seconds.
        """
        started = self.clock()
        most_unsafe = 0
        while unsafe := await self._count_unsafe():
            most_unsafe = max(most_unsafe, unsafe)
            await anyio.sleep(HAND_OVER_POLL_S)
            await self.update_holders()
        if most_unsafe:
            log_message(
                message_type="streams:handed_over",
                streams=most_unsafe,
                after_s=round(self.clock() - started, 2),
            )

    async def _count_unsafe(self) -> int:
        """Keep the streams that no reachable daemon that stays knows; return how many there are."""
        if len(self.members.by_name) == 1:
            return 0
        staying = self._find_staying()
        reachable = {i for i, member in staying.items() if member.unreachable_since is None}
        unsafe = 0
        for turn, stream_key in enumerate(list(self.beginnings)):
            if turn % RECORDS_PER_TURN == 0:
                await anyio.lowlevel.checkpoint()
            beginning = self.beginnings.get(stream_key)
            if beginning is not None and reachable.isdisjoint(beginning.holders):
                unsafe += 1
                self._keep(stream_key, staying)
        return unsafe


def _first(stream_key: str, names: list[str]) -> str:
    """Return the first name in the stream's rendezvous order, without ordering all."""
    return min(names, key=lambda name: rendezvous_rank(stream_key, name))
