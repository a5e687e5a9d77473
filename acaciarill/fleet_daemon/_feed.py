"""Follow the views of a daemon that watches the store, so that few daemons watch it themselves."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio
from eliot import log_message

from ..errors import Outcome, PeerError, Step
from ..fleet import Member, Members
from ..mirrors import Mirror, MirrorFollower
from ..peers import PeerLinks, messages, rendezvous_order
from .const import (
    FEED_AVOID_MAX_S,
    FEED_AVOID_S,
    FEED_FAILING_S,
    FEED_GRACE_S,
    FEED_REFUSED_S,
    FEED_RETRY_S,
    FEED_WAIT_S,
    ROLE_KEEPER,
)

MS_PER_S = 1000
Followers = dict[str, MirrorFollower]


class ViewFeed:
    """Take changes of all views from one watching daemon; follow the store while there is none."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        followers: Followers,
        clock: Callable[[], float],
    ) -> None:
        self.members = members
        self.links = links
        self.followers = followers
        self.clock = clock
        self.watcher: str | None = None
        self.avoided: dict[str, float] = {}
        self.failures: Counter[str] = Counter()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            watcher = self.choose()
            if watcher is None:
                self._follow_store()
                await anyio.sleep(FEED_RETRY_S)
                continue
            try:
                await self._take_changes(watcher)
            except PeerError as error:
                self._avoid(watcher.name, error)

    def _avoid(self, name: str, error: PeerError) -> None:
        """Leave a daemon alone, the longer the more often it has been silent in a row."""
        if error.step is Step.STORE:
            avoid_s = FEED_REFUSED_S
        else:
            avoid_s = min(FEED_AVOID_MAX_S, FEED_AVOID_S * 2 ** self.failures[name])
            self.failures[name] += 1
        self.avoided[name] = self.clock() + avoid_s
        log_message(
            message_type="views:watcher_lost",
            peer=name,
            reason=error.message,
            avoided_for_s=avoid_s,
        )

    def choose(self) -> Member | None:
        """Return the daemon to follow: one of this data centre if any can be used.

        The present one is kept: a daemon that is gone for good stays on the list, and asking it
        again takes the time of a connection.
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
            and self.avoided.get(member.name, 0.0) <= now
        }
        near = [name for name in usable if usable[name].data_centre == members.own.data_centre]
        names = near or list(usable)
        if self.watcher in names:
            return usable[self.watcher]
        return usable[rendezvous_order(members.name, names)[0]] if names else None

    def _follow_store(self) -> None:
        if self.watcher is not None:
            log_message(message_type="views:follow_store", before=self.watcher)
        self.watcher = None
        for follower in self.followers.values():
            follower.resume()

    async def _take_changes(self, watcher: Member) -> None:
        # The first question is answered at once: a daemon that starts needs its views.
        wait_s = FEED_WAIT_S if self.watcher == watcher.name else 0.0
        call = messages.WatchViews(
            positions={kind: f.mirror.position for kind, f in self.followers.items()},
            wait_ms=int(wait_s * MS_PER_S),
        )
        frame = await self.links.call(watcher.address, wait_s + FEED_GRACE_S, watch_views=call)
        if frame.views_changed is None:
            raise PeerError("not an answer to this call", step=Step.FORWARD, peer=watcher.address)
        for kind, view in (frame.views_changed.views or {}).items():
            if kind in self.followers:
                self._apply(self.followers[kind], view)
        if self.watcher != watcher.name:
            log_message(
                message_type="views:follow_peer", peer=watcher.name, data_centre=watcher.data_centre
            )
        self.watcher = watcher.name
        self.failures.pop(watcher.name, None)
        for follower in self.followers.values():
            follower.pause()
            follower.set_following(True)

    def _apply(self, follower: MirrorFollower, view: Any) -> None:
        if view.lost_s_ago is not None:
            last_failure_at = self.clock() - view.lost_s_ago
            follower.last_failure_at = (
                last_failure_at
                if follower.last_failure_at is None
                else max(follower.last_failure_at, last_failure_at)
            )
        if view.records is not None:
            follower.replace_from_peer(view.position, Mirror.decode(view.records), view.newest)
        elif view.changes is not None:
            follower.mirror.apply(view.position, Mirror.decode_changes(view.changes))


class ViewServer:
    """Answer the daemons that follow this one's views."""

    def __init__(self, followers: Followers, clock: Callable[[], float]) -> None:
        self.followers = followers
        self.clock = clock
        self.changed = anyio.Event()
        for follower in followers.values():
            follower.mirror.subscribe(self._wake)

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def on_watch_views(self, call: messages.WatchViews) -> dict[str, messages.ViewsChanged]:
        """Return the changes after the caller's positions as soon as there are any."""
        positions = call.positions or {}
        with anyio.move_on_after(call.wait_ms / MS_PER_S):
            while not self._changed_kinds(positions):
                await self.changed.wait()
        self._check_followed()
        changed = self._changed_kinds(positions)
        views = {kind: self._changes(kind, positions[kind]) for kind in changed}
        return {"views_changed": messages.ViewsChanged(views=views)}

    def _changed_kinds(self, positions: dict[str, int]) -> list[str]:
        return [
            kind
            for kind, position in positions.items()
            if kind in self.followers
            and self.followers[kind].mirror.last_change_position > position
        ]

    def _check_followed(self) -> None:
        """Raise PeerError while this daemon itself does not know how things stand."""
        for follower in self.followers.values():
            if not follower.mirror.loaded or follower.failing_for_s() > FEED_FAILING_S:
                raise PeerError(
                    f"the view of {follower.mirror.kind} is not followed here",
                    step=Step.STORE,
                    outcome=Outcome.NOT_RUN,
                )

    def _changes(self, kind: str, position: int) -> messages.ViewChanges:
        follower = self.followers[kind]
        mirror = follower.mirror
        view = messages.ViewChanges(position=mirror.position, newest=mirror.newest)
        if follower.last_failure_at is not None:
            view.lost_s_ago = self.clock() - follower.last_failure_at
        changes = mirror.changes_after(position)
        if changes is None:
            view.records = mirror.encode()
        else:
            view.changes = Mirror.encode_changes(changes)
        return view
