"""Mirror the store's objects and decode those that this daemon uses."""

from collections.abc import Callable

from eliot import log_message

from ..addresses import check_address
from ..batches import BatchHead
from ..batches.const import KIND_HEADS
from ..control import FleetDemand
from ..errors import StoreError
from ..fleet import ROLE_FRONT, Configuration, Member, Members, Upstream, UpstreamTable
from ..mirrors import KindSource, Mirror, MirrorFollower, Record
from ..mirrors.const import (
    LISTING_RETRY_DELAY_FRONT_S,
    WATCH_CYCLE_URGENT_S,
    WATCH_RETRY_DELAY_S,
    WATCH_WAIT_KEEPER_S,
    WATCH_WAIT_S,
    WATCH_WAIT_URGENT_S,
)
from ._ports import FleetPorts
from .const import (
    CHANGE_BATCHING_S,
    KIND_MEMBERS,
    OUTAGE_ENTRY_GRACE_S,
)


class FleetMirrors:
    """Hold this daemon's mirrors, and the state that was last decoded from them."""

    def __init__(
        self,
        ports: FleetPorts,
        store: KindSource,
        members: Members,
        table: UpstreamTable,
        role: str,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        on_unreadable: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self.ports = ports
        self.members = members
        self.table = table
        self.role = role
        self.clock = clock
        self.wall_clock = wall_clock
        self.configuration: Configuration | None = None
        self.published_versions: dict[str, int] = {}
        self.decoded_upstreams: dict[str, tuple[int, Upstream]] = {}
        self.missing_upstreams: dict[str, tuple[Upstream, float]] = {}
        self.configuration_listeners: list[Callable[[], None]] = []
        kinds = ports.kinds
        self.urgent_kinds = (kinds.configuration, kinds.upstreams)
        mirrored_kinds = (
            kinds.configuration,
            kinds.upstreams,
            kinds.versions,
            kinds.retirements,
            KIND_MEMBERS,
            KIND_HEADS,
        )
        checks: dict[str, Callable[[Record], object]] = {
            kinds.upstreams: self._decode_upstream,
            kinds.versions: ports.decode_version,
            kinds.retirements: ports.is_retirement_completed,
            KIND_MEMBERS: _decode_member,
            KIND_HEADS: lambda record: BatchHead.from_value(record.value),
        }
        self.followers = {
            kind: MirrorFollower(
                Mirror(kind, checks.get(kind, lambda record: None), on_unreadable),
                store,
                clock,
                self._watch_wait_s(kind),
                self._watch_delay_s(kind),
                LISTING_RETRY_DELAY_FRONT_S if role == ROLE_FRONT else WATCH_RETRY_DELAY_S,
            )
            for kind in mirrored_kinds
        }
        self.mirror(kinds.configuration).subscribe(self._update_configuration)
        self.mirror(kinds.upstreams).subscribe(self._update_upstreams)
        self.mirror(kinds.versions).subscribe(self._update_versions)
        self.mirror(KIND_MEMBERS).subscribe(self._update_members)

    def mirror(self, kind: str) -> Mirror:
        """Return the mirror of the objects of a kind."""
        return self.followers[kind].mirror

    def subscribe_configuration(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call the listener after each newer configuration; return the unsubscribe function."""
        self.configuration_listeners.append(listener)
        return lambda: self.configuration_listeners.remove(listener)

    def _watch_wait_s(self, kind: str) -> float:
        """Return the long-poll time: shorter where a stalled watch must be detected sooner."""
        if kind in self.urgent_kinds:
            return min(WATCH_WAIT_URGENT_S, WATCH_CYCLE_URGENT_S - self._watch_delay_s(kind))
        return WATCH_WAIT_S if self.role == ROLE_FRONT else WATCH_WAIT_KEEPER_S

    def _watch_delay_s(self, kind: str) -> float:
        """Return how long changes are collected before the next watch."""
        urgent = (self.ports.kinds.configuration, self.ports.kinds.versions)
        return 0.0 if kind in urgent else CHANGE_BATCHING_S

    def _update_configuration(self) -> None:
        decoded = self.ports.decode_configuration(
            self.mirror(self.ports.kinds.configuration).records
        )
        if decoded is None:
            return
        if self.configuration is not None and decoded.version <= self.configuration.version:
            return
        follower = self.followers[self.ports.kinds.configuration]
        log_message(
            message_type="config:applied",
            version=decoded.version,
            previous_version=self.configuration.version if self.configuration else None,
            position=follower.mirror.position,
            from_peer=follower.paused,
            unconfirmed_s=round(follower.unconfirmed_for_s(), 2),
            keys=len(decoded.customers) if decoded.customers is not None else None,
        )
        self.configuration = decoded
        for listener in list(self.configuration_listeners):
            listener()

    def _decode_upstream(self, record: Record) -> Upstream:
        """Return the upstream that an entry registers, decoded once for each of its versions."""
        version, upstream = self.decoded_upstreams.get(record.name, (None, None))
        if upstream is None or version != record.version:
            upstream = self.ports.decode_upstream(record)
            self.decoded_upstreams[record.name] = record.version, upstream
        return upstream

    def _update_upstreams(self) -> None:
        records = self.mirror(self.ports.kinds.upstreams).records
        for name in self.decoded_upstreams.keys() - records.keys():
            del self.decoded_upstreams[name]
        registered = [self._decode_upstream(record) for record in records.values()]
        registered_ids = {upstream.id for upstream in registered}
        follower = self.followers[self.ports.kinds.upstreams]
        now = self.clock()
        for state in self.table.states.values():
            upstream = state.upstream
            if upstream.id not in registered_ids and upstream.id not in self.missing_upstreams:
                expires_at = now if upstream.draining else self._missing_entry_expires_at(now)
                self.missing_upstreams[upstream.id] = (upstream, expires_at)
                log_message(
                    message_type="upstream:entry_missing",
                    upstream=upstream.id,
                    draining=upstream.draining,
                    used_for_s=round(expires_at - now, 2),
                    unconfirmed_s=round(follower.unconfirmed_for_s(), 2),
                )
        for upstream_id in registered_ids & self.missing_upstreams.keys():
            del self.missing_upstreams[upstream_id]
        retained = [
            upstream for upstream, expires_at in self.missing_upstreams.values() if expires_at > now
        ]
        self.table.update(registered + retained)

    def _missing_entry_expires_at(self, now: float) -> float:
        """Return until when an upstream is used whose entry has gone missing now.

        If the entry expired because of an outage it is back soon after the outage's end. Otherwise
        the upstream has left, and how long ago is unknown if the watch had stalled.
        """
        last_outage_at = self.followers[self.ports.kinds.upstreams].last_outage_at()
        return now if last_outage_at is None else max(now, last_outage_at + OUTAGE_ENTRY_GRACE_S)

    async def confirm_upstreams(self, period_s: float) -> bool:
        """Return whether the list of upstreams is up to date and has been for a past period.

        It is listed anew: an upstream may have joined since it was last confirmed.
        """
        follower = self.followers[self.ports.kinds.upstreams]
        try:
            await follower.list_now()
        except StoreError as error:
            log_message(message_type="upstreams:confirm_failed", reason=error.message)
            return False
        return follower.followed_since is not None and (
            self.clock() - follower.followed_since >= period_s
        )

    def expire_missing_upstreams(self) -> None:
        """Remove the upstreams whose entries are missing for longer than their grace period."""
        if any(
            expires_at <= self.clock() and upstream_id in self.table.states
            for upstream_id, (_, expires_at) in self.missing_upstreams.items()
        ):
            self._update_upstreams()
            for upstream_id in self.missing_upstreams.keys() - self.table.states.keys():
                del self.missing_upstreams[upstream_id]

    def _update_versions(self) -> None:
        versions: dict[str, int] = {}
        for record in self.mirror(self.ports.kinds.versions).records.values():
            model, version = self.ports.decode_version(record)
            versions[model] = max(version, versions.get(model, version))
        if versions != self.published_versions:
            log_message(message_type="weights:published", versions=versions)
        self.published_versions = versions

    def _update_members(self) -> None:
        self.members.update_registered(
            [_decode_member(record) for record in self.mirror(KIND_MEMBERS).records.values()]
        )

    def count_upstreams(self, service: str) -> dict[str, int]:
        """Return the number of regular, serving upstreams of a service by data centre."""
        counts: dict[str, int] = {}
        for state in self.table.states_for(service):
            if not state.deregistered and not state.upstream.draining and not state.upstream.cheap:
                data_centre = state.upstream.data_centre
                counts[data_centre] = counts.get(data_centre, 0) + 1
        return counts

    def demand(self, service: str) -> FleetDemand:
        """Return the number of requests in a service's open batches, and an upstream's slots."""
        requests = 0
        for record in self.mirror(KIND_HEADS).records.values():
            head = record.value
            route = (
                self.configuration.find_route(head["host"], head["path"])
                if self.configuration
                else None
            )
            if route is None or head["ended"]:
                continue
            age_s = self.wall_clock() - head["submitted_at"]
            if route.max_queue_s and age_s > route.max_queue_s:
                continue
            if any(name == service for name, _ in route.service_weights):
                requests += head["total"]
        slots = [state.upstream.slots for state in self.table.states_for(service)]
        return FleetDemand(requests, max(slots, default=1))


def _decode_member(record: Record) -> Member:
    """Return the daemon that an entry registers; raise one of DECODE_ERRORS."""
    value = record.value
    address = check_address(value["address"])
    return Member(record.name, address, str(value["data_centre"]), str(value["role"]), True)
