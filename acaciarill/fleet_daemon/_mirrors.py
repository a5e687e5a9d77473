"""Follow the store's objects and say what they mean for this daemon."""

from collections.abc import Callable

from eliot import log_message

from ..batches.const import KIND_HEADS
from ..control import FleetDemand
from ..fleet import ROLE_FRONT, Configuration, Member, Members, Upstream, UpstreamTable
from ..mirrors import KindSource, Mirror, MirrorFollower
from ..mirrors.const import (
    WATCH_RETRY_IDLE_S,
    WATCH_RETRY_S,
    WATCH_WAIT_CONFIGURATION_S,
    WATCH_WAIT_KEEPER_S,
    WATCH_WAIT_S,
)
from ._ports import FleetPorts
from .const import GATHER_S, KIND_MEMBERS, LAPSED_KEPT_S, OUTAGE_KEPT_S, VANISHED_KEPT_S


class FleetMirrors:
    """Hold this daemon's copies of the store's objects, and what was last read from them."""

    def __init__(
        self,
        ports: FleetPorts,
        store: KindSource,
        members: Members,
        table: UpstreamTable,
        role: str,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self.ports = ports
        self.members = members
        self.table = table
        self.role = role
        self.clock = clock
        self.wall_clock = wall_clock
        self.configuration: Configuration | None = None
        self.named_versions: dict[str, int] = {}
        self.missing_upstreams: dict[str, tuple[Upstream, float]] = {}
        self.configuration_listeners: list[Callable[[], None]] = []
        kinds = ports.kinds
        names = (
            kinds.configuration,
            kinds.upstreams,
            kinds.versions,
            kinds.retirements,
            KIND_MEMBERS,
            KIND_HEADS,
        )
        self.followers = {
            kind: MirrorFollower(
                Mirror(kind),
                store,
                clock,
                self._wait_of(kind),
                self._pause_of(kind),
                WATCH_RETRY_IDLE_S if role == ROLE_FRONT else WATCH_RETRY_S,
            )
            for kind in names
        }
        self.mirror(kinds.configuration).subscribe(self._follow_configuration)
        self.mirror(kinds.upstreams).subscribe(self._follow_upstreams)
        self.mirror(kinds.versions).subscribe(self._follow_versions)
        self.mirror(KIND_MEMBERS).subscribe(self._follow_members)

    def mirror(self, kind: str) -> Mirror:
        """Return this daemon's copy of the objects of a kind."""
        return self.followers[kind].mirror

    def on_configuration(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call the listener after each newer configuration; return the unsubscribe function."""
        self.configuration_listeners.append(listener)
        return lambda: self.configuration_listeners.remove(listener)

    def _wait_of(self, kind: str) -> float:
        """Return how long one watch waits; daemons without callers notice lost watches soon."""
        if self.role == ROLE_FRONT:
            return WATCH_WAIT_S
        if kind == self.ports.kinds.configuration:
            return WATCH_WAIT_CONFIGURATION_S
        return WATCH_WAIT_KEEPER_S

    def _pause_of(self, kind: str) -> float:
        """Return how long changes are gathered before the next watch."""
        urgent = (self.ports.kinds.configuration, self.ports.kinds.versions)
        return 0.0 if kind in urgent else GATHER_S

    def _follow_configuration(self) -> None:
        found = self.ports.decode_configuration(self.mirror(self.ports.kinds.configuration).records)
        if found is None:
            return
        if self.configuration is not None and found.version <= self.configuration.version:
            return
        log_message(
            message_type="config:taken",
            version=found.version,
            before=self.configuration.version if self.configuration else None,
            position=self.mirror(self.ports.kinds.configuration).position,
        )
        self.configuration = found
        for listener in list(self.configuration_listeners):
            listener()

    def _follow_upstreams(self) -> None:
        records = self.mirror(self.ports.kinds.upstreams).records
        found = [u for record in records.values() if (u := self.ports.decode_upstream(record))]
        names = {upstream.id for upstream in found}
        now = self.clock()
        for state in self.table.states.values():
            upstream = state.upstream
            if upstream.id not in names and upstream.id not in self.missing_upstreams:
                kept_s = 0.0 if upstream.draining else self._vanished_kept_s(now)
                self.missing_upstreams[upstream.id] = (upstream, now + kept_s)
        for name in names & self.missing_upstreams.keys():
            del self.missing_upstreams[name]
        kept = [
            upstream for upstream, expires_at in self.missing_upstreams.values() if expires_at > now
        ]
        self.table.update(found + kept)

    def _vanished_kept_s(self, now: float) -> float:
        lost_at = self.followers[self.ports.kinds.upstreams].lost_at
        if lost_at is not None and now - lost_at < OUTAGE_KEPT_S:
            return LAPSED_KEPT_S
        return VANISHED_KEPT_S

    def expire_missing_upstreams(self) -> None:
        """Drop the upstreams whose entries have been missing for long enough."""
        if any(
            expires_at <= self.clock() and name in self.table.states
            for name, (_, expires_at) in self.missing_upstreams.items()
        ):
            self._follow_upstreams()
            for name in self.missing_upstreams.keys() - self.table.states.keys():
                del self.missing_upstreams[name]

    def _follow_versions(self) -> None:
        named = self.ports.decode_versions(self.mirror(self.ports.kinds.versions).records)
        if named != self.named_versions:
            log_message(message_type="weights:named", versions=named)
        self.named_versions = named

    def _follow_members(self) -> None:
        found = []
        for record in self.mirror(KIND_MEMBERS).records.values():
            value = record.value
            found.append(
                Member(record.name, value["address"], value["data_centre"], value["role"], True)
            )
        self.members.note_listed(found)

    def count_upstreams(self, service: str) -> dict[str, int]:
        """Return how many regular upstreams of a service each data centre has."""
        counts: dict[str, int] = {}
        for state in self.table.of(service):
            if not state.leaving and not state.upstream.draining and not state.upstream.cheap:
                data_centre = state.upstream.data_centre
                counts[data_centre] = counts.get(data_centre, 0) + 1
        return counts

    def demand(self, service: str) -> FleetDemand:
        """Return what the open batches ask of a service."""
        requests = 0
        for record in self.mirror(KIND_HEADS).records.values():
            head = record.value
            route = (
                self.configuration.match(head["host"], head["path"]) if self.configuration else None
            )
            age_s = self.wall_clock() - head["submitted_at"]
            if route is None or head["ended"] or age_s > route.max_queue_s:
                continue
            if any(name == service for name, _ in route.splits):
                requests += head["total"]
        slots = [state.upstream.slots for state in self.table.of(service)]
        return FleetDemand(requests, max(slots, default=1))
