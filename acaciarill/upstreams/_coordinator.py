"""Track the state of the configured upstreams and choose among them."""

import math
import random
from collections.abc import Callable

import anyio
import httpx
import orjson

from ..config import ConfigCoordinator, Upstream
from ..daemons import Membership, OccupancyTable
from ..peers import rendezvous_order
from ..peers.const import RELAYS_PER_DATA_CENTRE
from ._routing import UpstreamState, choose_upstream
from .const import LOAD_POLL_TIMEOUT_S, POLLERS_PER_UPSTREAM


class UpstreamCoordinator:
    """Keep an UpstreamState for each configured upstream, updated by load reports."""

    def __init__(
        self,
        config: ConfigCoordinator,
        membership: Membership,
        control_http: httpx.AsyncClient,
        clock: Callable[[], float],
        rng: random.Random,
        occupancies: OccupancyTable,
    ) -> None:
        self.config = config
        self.membership = membership
        self.control_http = control_http
        self.clock = clock
        self.rng = rng
        self.occupancies = occupancies
        occupancies.subscribe(self._apply_shared_occupancy)
        self.states: dict[str, UpstreamState] = {}
        self.states_by_target: dict[str, list[UpstreamState]] = {}
        config.subscribe(self.refresh)
        membership.subscribe(self.refresh)

    def refresh(self) -> None:
        """Update the states from the configuration and the host list.

        An upstream whose address changed gets a new state, without load or failures.
        """
        leaving = self.membership.leaving_upstreams()
        states: dict[str, UpstreamState] = {}
        states_by_target: dict[str, list[UpstreamState]] = {}
        for name, upstream in self.config.document.upstreams.items():
            state = self.states.get(name)
            if state is None or state.upstream.address != upstream.address:
                state = UpstreamState(upstream)
            state.upstream = upstream
            state.leaving = name in leaving
            states[name] = state
            states_by_target.setdefault(upstream.serves, []).append(state)
        self.states, self.states_by_target = states, states_by_target

    def choose_upstream(
        self, target: str, affinity: str, tried_upstreams: set[str]
    ) -> UpstreamState | None:
        """Return an upstream of `target` that was not tried yet, or None."""
        states = [
            s
            for s in self.states_by_target.get(target, [])
            if s.upstream.name not in tried_upstreams
        ]
        return choose_upstream(
            states, self.membership.data_centre, affinity, self.clock(), self.rng
        )

    def capacity(self, target: str) -> int:
        """Return how many requests fill the usable upstreams of a target.

        Choosing by delayed load reports never fills all upstreams equally, so each gets room for
        a short queue, which grows with the square root of its slots, as the imbalance does.
        """
        now = self.clock()
        slots = [state.upstream.slots for state in self.states_by_target.get(target, [])]
        usable = [state.is_usable(now) for state in self.states_by_target.get(target, [])]
        return sum(n + math.isqrt(n) for n, ok in zip(slots, usable, strict=True) if ok)

    def upstreams_to_poll(self) -> list[UpstreamState]:
        """Return the local upstreams whose load this daemon polls.

        Two daemons poll each upstream. Relays poll none as long as enough other daemons are live.
        """
        daemons = self.membership.daemons(self.membership.data_centre)
        order = self.membership.busy_roles_last(daemons)
        daemons = order[: max(POLLERS_PER_UPSTREAM, len(order) - RELAYS_PER_DATA_CENTRE)]
        return [
            state
            for state in self.states.values()
            if state.upstream.data_centre == self.membership.data_centre
            and self.membership.name
            in rendezvous_order("load/" + state.upstream.name, daemons)[:POLLERS_PER_UPSTREAM]
        ]

    async def poll_loads(self) -> None:
        """Read the load reports of the upstreams that are assigned to this daemon."""
        async with anyio.create_task_group() as task_group:
            for state in self.upstreams_to_poll():
                task_group.start_soon(self._poll_load, state)

    async def poll_local_loads(self) -> None:
        """Read the load reports of all local upstreams, to learn their weight versions."""
        async with anyio.create_task_group() as task_group:
            for state in self.states.values():
                if state.upstream.data_centre == self.membership.data_centre:
                    task_group.start_soon(self._poll_load, state)

    def _apply_shared_occupancy(self, name: str, occupancy: float) -> None:
        """Apply the occupancy of an upstream that another daemon polled."""
        state = self.states.get(name)
        if state is not None:
            state.apply_report(round(occupancy * state.upstream.slots), state.version)

    async def _poll_load(self, state: UpstreamState) -> None:
        upstream: Upstream = state.upstream
        try:
            response = await self.control_http.get(
                f"http://{upstream.address}/load", timeout=LOAD_POLL_TIMEOUT_S
            )
            report = orjson.loads(response.content)
            load = report["running"] + report["waiting"]
            state.apply_report(load, report["version"])
            self.occupancies.observe(upstream.name, load / upstream.slots)
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return  # a missing report doesn't eject an upstream; failed requests do
