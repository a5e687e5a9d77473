"""Order the engines of one data centre to load new versions, a part of them at once."""

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
    ADMISSION_JITTER_SHARE,
    ADMISSION_PAUSE_S,
    SWAP_BACKOFF_MAX_S,
    SWAP_BACKOFF_S,
    SWAP_POLL_S,
    WAVE_SHARE,
)


@dataclass(slots=True)
class EngineVersion:
    """Hold what is known of one engine's swap.

    `waiting` tells that the weight store has not admitted its fetch yet, `url` where it may fetch.
    """

    name: str
    version: int
    swapping: bool = False
    retry_at: float = 0.0
    waiting: bool = False
    url: str = ""


def plan_wave(engines: Sequence[EngineVersion], newest: int, now: float) -> list[str]:
    """Return the engines to swap next, so that most keep serving."""
    at_once = max(1, math.floor(len(engines) * WAVE_SHARE))
    room = at_once - sum(engine.swapping for engine in engines)
    behind = [
        engine.name
        for engine in engines
        if engine.version < newest
        and not (engine.swapping or engine.waiting)
        and now >= engine.retry_at
    ]
    return behind[: max(0, room)]


class Rollout:
    """Bring the engines of this daemon's data centre to the newest versions."""

    def __init__(
        self,
        data_centre: str,
        config: ConfigCoordinator,
        upstreams: UpstreamCoordinator,
        weights: WeightStoreClient,
        sender: OrderSender,
        clock: Callable[[], float],
    ) -> None:
        self.data_centre = data_centre
        self.config = config
        self.upstreams = upstreams
        self.weights = weights
        self.sender = sender
        self.clock = clock
        self.engines: dict[str, EngineVersion] = {}
        self.failures: dict[str, int] = {}
        self.random = random.Random()

    async def take_over(self, lease: Lease) -> None:
        """Learn which versions the engines serve, so that none is ordered again."""
        self.engines.clear()
        await self.upstreams.poll_local_loads()

    async def run_once(self, lease: Lease) -> None:
        """Swap engines, some at once, until every model is at its newest version."""
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
            newest = await self.weights.newest(model)
        except AcaciarillError:
            return
        engines = [self._engine(upstream.name) for upstream in upstreams]
        by_name = {upstream.name: upstream for upstream in upstreams}
        now = self.clock()
        behind = [e for e in engines if e.version < newest and now >= e.retry_at]
        for engine in behind:
            engine.waiting = True
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._admit, model, newest, behind, lease)
            while self.sender.is_lease_held(lease.epoch):
                for name in plan_wave(engines, newest, self.clock()):
                    self.engines[name].swapping = True
                    task_group.start_soon(self._swap, by_name[name], model, newest, lease)
                if not any(engine.waiting or engine.swapping for engine in engines):
                    break  # what is still behind waits out its back-off
                await anyio.sleep(SWAP_POLL_S)

    async def _admit(
        self, model: str, version: int, engines: Sequence[EngineVersion], lease: Lease
    ) -> None:
        """Get each engine's fetch admitted, ahead of its swap, as fast as the store allows."""
        for engine in engines:
            while engine.waiting and self.sender.is_lease_held(lease.epoch):
                try:
                    engine.url = await self.weights.admit_fetch(model, version)
                    engine.waiting = False
                except AcaciarillError as error:
                    pause_s = error.retry_after_s or ADMISSION_PAUSE_S
                    early = self.random.random() * ADMISSION_JITTER_SHARE
                    await anyio.sleep(pause_s * (1 - early))
            engine.waiting = False

    def _engine(self, name: str) -> EngineVersion:
        engine = self.engines.setdefault(name, EngineVersion(name, 0))
        state = self.upstreams.states.get(name)
        if state is not None:
            engine.version = max(engine.version, state.version)
        return engine

    async def _swap(self, upstream: Upstream, model: str, version: int, lease: Lease) -> None:
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
            failures = self.failures[upstream.name] = self.failures.get(upstream.name, 0) + 1
            backoff_s = min(SWAP_BACKOFF_MAX_S, SWAP_BACKOFF_S * 2 ** (failures - 1))
            engine.retry_at = self.clock() + backoff_s
            log_message(message_type="weights:swap_failed", upstream=upstream.name, code=error.code)
        else:
            engine.version = version
            self.failures.pop(upstream.name, None)
        finally:
            engine.swapping = False
