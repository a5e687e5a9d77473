"""Follow the mirrors of a daemon that watches the store, so that few daemons watch it themselves.

The messages between daemons call a mirror a view.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection
from typing import Any

import anyio
import anyio.abc
from eliot import log_message

from ..errors import Outcome, PeerError, Step
from ..fleet import Member, Members
from ..mirrors import Mirror, MirrorFollower
from ..peers import PeerLinks, messages, rendezvous_order
from .const import (
    FEED_BACKOFF_MAX_S,
    FEED_BACKOFF_S,
    FEED_BRIDGE_DELAY_S,
    FEED_OVERDUE_AFTER_S,
    FEED_POLL_WAIT_S,
    FEED_REFUSED_BACKOFF_S,
    FEED_RETRY_DELAY_S,
    FEED_STALE_AFTER_S,
    FEED_TIMEOUT_MARGIN_S,
    ROLE_KEEPER,
)

MS_PER_S = 1000
OUTDATED_CHECK_MARGIN_S = 0.005
"""Added to the wait until a mirror is outdated, so that it is when the wait ends."""
Followers = dict[str, MirrorFollower]


class MirrorFeed:
    """Receive the changes of all mirrors from one watcher, or from the store if there is none.

    While a lost watcher is being replaced, the mirrors of `urgent_kinds` follow the store.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        followers: Followers,
        clock: Callable[[], float],
        urgent_kinds: Collection[str] = (),
    ) -> None:
        self.urgent_kinds = urgent_kinds
        self.is_replacing_watcher = False
        self.members = members
        self.links = links
        self.followers = followers
        self.clock = clock
        self.watcher: str | None = None
        self.avoided_until: dict[str, float] = {}
        self.failures: Counter[str] = Counter()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as bridges:
            while True:
                watcher = self.choose_watcher()
                if watcher is None:
                    self._follow_store()
                    await anyio.sleep(FEED_RETRY_DELAY_S)
                    continue
                try:
                    await self._receive_changes(watcher)
                except PeerError as error:
                    self._back_off(watcher.name, error)
                    self._start_bridge(bridges)

    def _start_bridge(self, bridges: anyio.abc.TaskGroup) -> None:
        """Follow the store soon unless another watcher answers before."""
        if not self.is_replacing_watcher:
            self.is_replacing_watcher = True
            bridges.start_soon(self._bridge_with_store)

    async def _bridge_with_store(self) -> None:
        # Each further watcher may be silent too, while this daemon reaches the store.
        await anyio.sleep(FEED_BRIDGE_DELAY_S)
        if not self.is_replacing_watcher:
            return
        log_message(message_type="mirror:bridged", kinds=sorted(self.urgent_kinds))
        for kind in self.urgent_kinds:
            self.followers[kind].resume()

    def _back_off(self, name: str, error: PeerError) -> None:
        """Avoid a watcher, briefly if it refused, else twice as long after each failure."""
        if error.step is Step.STORE:
            backoff_s = FEED_REFUSED_BACKOFF_S
        else:
            backoff_s = min(FEED_BACKOFF_MAX_S, FEED_BACKOFF_S * 2 ** self.failures[name])
            self.failures[name] += 1
        self.avoided_until[name] = self.clock() + backoff_s
        log_message(
            message_type="mirror:watcher_lost",
            peer=name,
            reason=error.message,
            backoff_s=backoff_s,
        )

    def choose_watcher(self) -> Member | None:
        """Return the daemon to follow, one of this data centre if any is usable.

        The current watcher stays chosen while it is usable: a lost daemon stays registered, and
        each return to it would cost a connect timeout.
        """
        now = self.clock()
        members = self.members
        usable = {
            member.name: member
            for member in members.by_name.values()
            if member.role == ROLE_KEEPER
            and member is not members.own
            and member.unreachable_since is None
            and not member.draining
            and self.avoided_until.get(member.name, 0.0) <= now
        }
        local_names = [
            name for name in usable if usable[name].data_centre == members.own.data_centre
        ]
        names = local_names or list(usable)
        if self.watcher in names:
            return usable[self.watcher]
        return usable[rendezvous_order(members.name, names)[0]] if names else None

    def _follow_store(self) -> None:
        if self.watcher is not None:
            log_message(message_type="mirror:following_store", previous_watcher=self.watcher)
        self.watcher = None
        for follower in self.followers.values():
            follower.resume()

    async def _receive_changes(self, watcher: Member) -> None:
        # The first call does not wait for changes: a daemon that starts needs its mirrors.
        wait_s = FEED_POLL_WAIT_S if self.watcher == watcher.name else 0.0
        call = messages.WatchViews(
            positions={kind: f.mirror.position for kind, f in self.followers.items()},
            wait_ms=int(wait_s * MS_PER_S),
        )
        frame = await self.links.call(
            watcher.address, wait_s + FEED_TIMEOUT_MARGIN_S, watch_views=call
        )
        if frame.views_changed is None:
            raise PeerError("response contains no mirrors", step=Step.FORWARD, peer=watcher.address)
        for kind, update in (frame.views_changed.views or {}).items():
            if kind in self.followers:
                self._apply(self.followers[kind], update)
        if self.watcher != watcher.name:
            log_message(
                message_type="mirror:following_peer",
                peer=watcher.name,
                data_centre=watcher.data_centre,
            )
        self.watcher = watcher.name
        self.is_replacing_watcher = False
        self.failures.pop(watcher.name, None)
        failing_kinds = frame.views_changed.failing or []
        for kind, follower in self.followers.items():
            follower.pause()
            follower.set_following(kind not in failing_kinds, "the watcher lost the store")
            if kind not in failing_kinds:
                follower.confirm(self.clock())

    def _apply(self, follower: MirrorFollower, update: Any) -> None:
        if update.lost_s_ago is not None:
            outage_ended_at = self.clock() - update.lost_s_ago
            follower.outage_ended_at = max(
                outage_ended_at, follower.outage_ended_at or outage_ended_at
            )
        if update.records is not None:
            follower.replace_from_peer(
                update.position, Mirror.decode(update.records), update.newest
            )
        elif update.changes is not None:
            follower.mirror.apply(update.position, Mirror.decode_changes(update.changes))


class MirrorServer:
    """Send changes of this daemon's mirrors to the daemons that follow them.

    It refuses while a mirror is not up to date; one of `urgent_kinds` counts as such as soon as the
    answer to its watch is overdue.
    """

    def __init__(
        self,
        followers: Followers,
        clock: Callable[[], float],
        urgent_kinds: Collection[str] = (),
    ) -> None:
        self.urgent_kinds = urgent_kinds
        self.followers = followers
        self.clock = clock
        self.changed = anyio.Event()
        for follower in followers.values():
            follower.mirror.subscribe(self._wake)

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def on_watch_views(self, call: messages.WatchViews) -> dict[str, messages.ViewsChanged]:
        """Wait for changes after the caller's positions and return them; raise PeerError."""
        positions = call.positions or {}
        with anyio.move_on_after(call.wait_ms / MS_PER_S):
            while not self._changed_kinds(positions):
                up_to_date_for_s = self._outdated_at() - self.clock()
                if up_to_date_for_s < 0:
                    break
                with anyio.move_on_after(up_to_date_for_s + OUTDATED_CHECK_MARGIN_S):
                    await self.changed.wait()
        self._check_up_to_date()
        changed = self._changed_kinds(positions)
        views = {kind: self._encode_changes(kind, positions[kind]) for kind in changed}
        failing = [kind for kind, f in self.followers.items() if f.failing_since is not None]
        return {"views_changed": messages.ViewsChanged(views=views, failing=failing)}

    def _changed_kinds(self, positions: dict[str, int]) -> list[str]:
        return [
            kind
            for kind, position in positions.items()
            if kind in self.followers
            and self.followers[kind].mirror.last_change_position > position
        ]

    def _outdated_at(self) -> float:
        """Return when one of the mirrors will no longer count as up to date, as it is followed."""
        return min(self._mirror_outdated_at(kind) for kind in self.followers)

    def _mirror_outdated_at(self, kind: str) -> float:
        follower = self.followers[kind]
        if not follower.mirror.loaded:
            return -math.inf
        times = [math.inf]
        if follower.failing_since is not None:
            times.append(follower.failing_since + FEED_STALE_AFTER_S)
        if follower.watch_due_at is not None and kind in self.urgent_kinds:
            times.append(follower.watch_due_at + FEED_OVERDUE_AFTER_S)
        return min(times)

    def _check_up_to_date(self) -> None:
        """Raise PeerError while a mirror of this daemon is not loaded or not up to date."""
        now = self.clock()
        for kind in self.followers:
            if self._mirror_outdated_at(kind) < now:
                raise PeerError(
                    f"the mirror of {kind} is not up to date on this daemon",
                    step=Step.STORE,
                    outcome=Outcome.NOT_RUN,
                )

    def _encode_changes(self, kind: str, position: int) -> messages.ViewChanges:
        follower = self.followers[kind]
        mirror = follower.mirror
        update = messages.ViewChanges(position=mirror.position, newest=mirror.newest)
        last_outage_at = follower.last_outage_at()
        if last_outage_at is not None:
            update.lost_s_ago = self.clock() - last_outage_at
        changes = mirror.changes_after(position)
        if changes is None:
            update.records = mirror.encode()
        else:
            update.changes = Mirror.encode_changes(changes)
        return update
