"""Order the engines of one data centre to load new weight versions, a share of them at a time."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
from eliot import log_message

from ..config import ConfigCoordinator, Upstream
from ..config.const import KIND_ENGINE
from ..errors import AcaciarillError
from ..leases import Lease
from ..upstreams import OrderSender, UpstreamCoordinator
from ._client import WeightStoreClient
from .const import (
    FETCH_URL_JITTER_SHARE,
    FETCH_URL_RETRY_DELAY_S,
    MAX_LOADING_SHARE,
    ROLLOUT_POLL_PERIOD_S,
    WEIGHT_LOAD_BACKOFF_INITIAL_S,
    WEIGHT_LOAD_BACKOFF_MAX_S,
)


@dataclass(slots=True)
class EngineRolloutState:
    """Hold the state of the rollout at one engine.

    While `awaiting_fetch_url` is set, the weight store has not returned the fetch URL `url` yet.
    After a failed weight load, the engine gets no order before `retry_at`.
    """

    name: str
    version: int
    is_loading: bool = False
    retry_at: float = 0.0
    awaiting_fetch_url: bool = False
    url: str = ""


def select_engines_to_load(
    engines: Sequence[EngineRolloutState], newest_version: int, now: float
) -> list[str]:
    """Return the outdated engines to order next, keeping most engines in service.

    At most MAX_LOADING_SHARE of the engines load at once, but at least one may.
    """
    max_loading = max(1, math.floor(len(engines) * MAX_LOADING_SHARE))
    start_limit = max_loading - sum(engine.is_loading for engine in engines)
    outdated = [
        engine.name
        for engine in engines
        if engine.version < newest_version
        and not (engine.is_loading or engine.awaiting_fetch_url)
        and now >= engine.retry_at
    ]
    return outdated[: max(0, start_limit)]


class Rollout:
    """Update the engines of this daemon's data centre to the newest weight versions."""

    def __init__(
        self,
        data_centre: str,
        config: ConfigCoordinator,
        upstreams: UpstreamCoordinator,
        weight_store: WeightStoreClient,
        sender: OrderSender,
        clock: Callable[[], float],
    ) -> None:
        self.data_centre = data_centre
        self.config = config
        self.upstreams = upstreams
        self.weight_store = weight_store
        self.sender = sender
        self.clock = clock
        self.engines: dict[str, EngineRolloutState] = {}
        self.failure_counts: dict[str, int] = {}
        self.rng = random.Random()

    async def take_over(self, lease: Lease) -> None:
        """Read the versions that the engines have loaded, so that no order is repeated."""
        self.engines.clear()
        await self.upstreams.poll_local_loads()

    async def run_once(self, lease: Lease) -> None:
        """Order weight loads for every model until no engine can be updated now."""
        async with anyio.create_task_group() as task_group:
            for model in list(self.config.document.models):
                task_group.start_soon(self._roll_out, model, lease)

    async def _roll_out(self, model: str, lease: Lease) -> None:
        upstreams = [
            upstream
            for upstream in self.config.document.upstreams_by_target.get(model, [])
            if upstream.kind == KIND_ENGINE and upstream.data_centre == self.data_centre
        ]
        if not upstreams:
            return
        try:
            newest_version = await self.weight_store.newest_version(model)
        except AcaciarillError:
            return
        engines = [self._engine_state(upstream.name) for upstream in upstreams]
        upstreams_by_name = {upstream.name: upstream for upstream in upstreams}
        now = self.clock()
        outdated = [e for e in engines if e.version < newest_version and now >= e.retry_at]
        for engine in outdated:
            engine.awaiting_fetch_url = True
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._request_fetch_urls, model, newest_version, outdated, lease)
            while self.sender.is_lease_held(lease.epoch):
                for name in select_engines_to_load(engines, newest_version, self.clock()):
                    self.engines[name].is_loading = True
                    task_group.start_soon(
                        self._order_weight_load,
                        upstreams_by_name[name],
                        model,
                        newest_version,
                        lease,
                    )
                if not any(engine.awaiting_fetch_url or engine.is_loading for engine in engines):
                    break  # engines that are still outdated are in backoff
                await anyio.sleep(ROLLOUT_POLL_PERIOD_S)

    async def _request_fetch_urls(
        self, model: str, version: int, engines: Sequence[EngineRolloutState], lease: Lease
    ) -> None:
        """Request a fetch URL for each engine before its load, as fast as the rate limit allows."""
        for engine in engines:
            while engine.awaiting_fetch_url and self.sender.is_lease_held(lease.epoch):
                try:
                    engine.url = await self.weight_store.request_fetch_url(model, version)
                    engine.awaiting_fetch_url = False
                except AcaciarillError as error:
                    delay_s = error.retry_after_s or FETCH_URL_RETRY_DELAY_S
                    jitter = self.rng.random() * FETCH_URL_JITTER_SHARE
                    await anyio.sleep(delay_s * (1 - jitter))
            engine.awaiting_fetch_url = False

    def _engine_state(self, name: str) -> EngineRolloutState:
        engine = self.engines.setdefault(name, EngineRolloutState(name, 0))
        state = self.upstreams.states.get(name)
        if state is not None:
            engine.version = max(engine.version, state.version)
        return engine

    async def _order_weight_load(
        self, upstream: Upstream, model: str, version: int, lease: Lease
    ) -> None:
        engine = self.engines[upstream.name]
        try:
            order = {
                "kind": "load_version",
                "model": model,
                "version": version,
                "url": engine.url,
            }
            address = f"http://{upstream.address}/orders"
            await self.sender.send("POST", address, lease.epoch, order)
        except AcaciarillError as error:
            failures = self.failure_counts[upstream.name] = (
                self.failure_counts.get(upstream.name, 0) + 1
            )
            backoff_s = min(
                WEIGHT_LOAD_BACKOFF_MAX_S, WEIGHT_LOAD_BACKOFF_INITIAL_S * 2 ** (failures - 1)
            )
            engine.retry_at = self.clock() + backoff_s
            log_message(message_type="weights:load_failed", upstream=upstream.name, code=error.code)
        else:
            engine.version = version
            self.failure_counts.pop(upstream.name, None)
        finally:
            engine.is_loading = False
