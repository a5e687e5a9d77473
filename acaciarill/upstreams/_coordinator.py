"""Follow the upstreams of the configuration: their load, their failures, their leaving."""

import math
import random
from collections.abc import Callable

import anyio
import httpx
import orjson

from ..config import ConfigCoordinator, Upstream
from ..daemons import LoadTable, Membership
from ..peers import rendezvous_order
from ..peers.const import ROOTS_PER_DATA_CENTRE
from ._routing import UpstreamState, choose_upstream
from .const import LOAD_CALL_TIMEOUT_S, LOAD_WATCHERS


class UpstreamCoordinator:
    """Hold one state for each configured upstream."""

    def __init__(
        self,
        config: ConfigCoordinator,
        membership: Membership,
        http: httpx.AsyncClient,
        clock: Callable[[], float],
        rng: random.Random,
        loads: LoadTable,
    ) -> None:
        self.config = config
        self.membership = membership
        self.http = http
        self.clock = clock
        self.rng = rng
        self.loads = loads
        loads.subscribe(self._take_share)
        self.states: dict[str, UpstreamState] = {}
        self.states_by_target: dict[str, list[UpstreamState]] = {}
        config.subscribe(self.refresh)
        membership.subscribe(self.refresh)

    def refresh(self) -> None:
        """Take over the configured upstreams and which of them are leaving."""
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
        """Return an upstream for a request that was not tried yet, or None."""
        states = [
            s
            for s in self.states_by_target.get(target, [])
            if s.upstream.name not in tried_upstreams
        ]
        return choose_upstream(
            states, self.membership.data_centre, affinity, self.clock(), self.rng
        )

    def capacity(self, target: str) -> int:
        """Return how many requests keep the usable upstreams of a target full.

        A choice by late reports never fills all alike: each gets a short queue, which grows with
        the square root of its slots as the differences do.
        """
        now = self.clock()
        slots = [state.upstream.slots for state in self.states_by_target.get(target, [])]
        usable = [state.is_usable(now) for state in self.states_by_target.get(target, [])]
        return sum(n + math.isqrt(n) for n, good in zip(slots, usable, strict=True) if good)

    def watched(self) -> list[UpstreamState]:
        """Return the upstreams here whose load this daemon reads: two daemons read each."""
        daemons = self.membership.daemons(self.membership.data_centre)
        order = self.membership.busy_roles_last(daemons)
        daemons = order[: max(LOAD_WATCHERS, len(order) - ROOTS_PER_DATA_CENTRE)]
        return [
            state
            for state in self.states.values()
            if state.upstream.data_centre == self.membership.data_centre
            and self.membership.name
            in rendezvous_order("load/" + state.upstream.name, daemons)[:LOAD_WATCHERS]
        ]

    async def poll_loads(self) -> None:
        """Read the load reports of the watched upstreams."""
        async with anyio.create_task_group() as task_group:
            for state in self.watched():
                task_group.start_soon(self._poll_load, state)

    async def poll_data_centre(self) -> None:
        """Read the reports of every upstream here, to learn the versions that they serve."""
        async with anyio.create_task_group() as task_group:
            for state in self.states.values():
                if state.upstream.data_centre == self.membership.data_centre:
                    task_group.start_soon(self._poll_load, state)

    def _take_share(self, name: str, share: float) -> None:
        """Take a load that another daemon read."""
        state = self.states.get(name)
        if state is not None:
            state.apply_report(round(share * state.upstream.slots), state.version)

    async def _poll_load(self, state: UpstreamState) -> None:
        upstream: Upstream = state.upstream
        try:
            response = await self.http.get(
                f"http://{upstream.address}/load", timeout=LOAD_CALL_TIMEOUT_S
            )
            load = orjson.loads(response.content)
            queued = load["running"] + load["waiting"]
            state.apply_report(queued, load["version"])
            self.loads.observe(upstream.name, queued / upstream.slots)
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return  # requests find out whether the upstream works
