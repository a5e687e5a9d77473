"""Submit steps to the daemons that hold their groups, and gather samples from them."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import orjson
from eliot import log_message

from ..daemons import Membership
from ..errors import AcaciarillError, PeerError, RefusedError, Step
from ..peers import PeerLinks, messages
from ._cursor import Cursor
from ._gathering import Gathering, Pulled, PullRequest, bitmap, raise_if_differs
from ._holder import HeldGroup, SampleHolder, StepKey
from .const import CODE_STEP_DIFFERS, PULL_POLL_S


@dataclass(slots=True)
class StepRequest:
    """Hold a checked submission."""

    key: StepKey
    model: str
    staleness_bound: int
    consumers: int
    groups: list[Any]

    @property
    def digest(self) -> str:
        """Return what two submissions of the same step share."""
        rows = [(g.group, g.prompt, g.samples, g.max_tokens) for g in self.groups]
        data = orjson.dumps([self.model, self.staleness_bound, self.consumers, rows])
        return hashlib.sha256(data).hexdigest()[:32]


class StepService:
    """Find the holders of groups by rendezvous order; no daemon owns a step."""

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        holder: SampleHolder,
        clock: Callable[[], float],
    ) -> None:
        self.membership = membership
        self.links = links
        self.holder = holder
        self.clock = clock

    def _order(self, key: StepKey, group: int) -> list[str]:
        return self.membership.preferred_holders(f"group/{key}/{group}")

    async def submit(self, request: StepRequest) -> None:
        """Give each group to its holder and a copy to the next; raise AcaciarillError."""
        waiting = {spec.group: spec for spec in request.groups}
        generating: set[int] = set()
        copied: set[int] = set()
        while waiting:
            batches = self._batches(request.key, waiting, generating, copied)
            if not batches:
                raise RefusedError("no daemon takes the groups", step=Step.ADMIT, code="no-holder")
            failures: list[AcaciarillError] = []
            async with anyio.create_task_group() as task_group:
                for (name, generate), specs in batches.items():
                    done = generating if generate else copied
                    task_group.start_soon(
                        self._try_hold, request, name, specs, generate, done, failures
                    )
            raise_if_differs(failures)
            alone = len(self.membership.daemons()) == 1
            for group in list(waiting):
                if group in generating and (group in copied or alone):
                    del waiting[group]

    def _batches(
        self, key: StepKey, waiting: dict[int, Any], generating: set[int], copied: set[int]
    ) -> dict[tuple[str, bool], list[Any]]:
        batches: dict[tuple[str, bool], list[Any]] = {}
        for group, spec in waiting.items():
            order = self._order(key, group)
            if group not in generating:
                batches.setdefault((order[0], True), []).append(spec)
            if group not in copied and len(order) > 1:
                batches.setdefault((order[1], False), []).append(spec)
        return batches

    async def _try_hold(
        self,
        request: StepRequest,
        name: str,
        specs: list[Any],
        generate: bool,
        done: set[int],
        failures: list[AcaciarillError],
    ) -> None:
        """Note the groups that a daemon took, or why it did not."""
        try:
            await self._hold(request, name, specs, generate)
        except AcaciarillError as error:
            failures.append(error)
        else:
            done.update(spec.group for spec in specs)

    async def _hold(
        self, request: StepRequest, name: str, specs: list[Any], generate: bool
    ) -> None:
        message = messages.HoldGroups(
            customer=request.key.customer,
            trainer=request.key.trainer,
            step=request.key.step,
            digest=request.digest,
            model=request.model,
            groups=specs,
            generate=generate,
            finished=[],
        )
        if name == self.membership.name:
            await self.holder.on_hold(message)
            return
        try:
            await self.links.call(self.membership.address(name), hold_groups=message)
        except PeerError as error:
            if error.code != CODE_STEP_DIFFERS:
                self.membership.mark_suspected(name)
            raise

    async def hand_over(self) -> None:
        """Give what this daemon holds to the next daemon in each group's order."""
        self.holder.draining = True
        batches: dict[tuple[StepKey, str, str], list[HeldGroup]] = {}
        for held in self.holder.groups.values():
            order = self._order(held.key, held.spec.group)
            others = [name for name in order if name != self.membership.name]
            if others and held.generates:
                batches.setdefault((held.key, held.digest, others[0]), []).append(held)
        async with anyio.create_task_group() as task_group:
            for (key, digest, name), groups in batches.items():
                task_group.start_soon(self._hand_over, key, digest, name, groups)

    async def _hand_over(
        self, key: StepKey, digest: str, name: str, groups: list[HeldGroup]
    ) -> None:
        message = messages.HoldGroups(
            customer=key.customer,
            trainer=key.trainer,
            step=key.step,
            digest=digest,
            model=groups[0].model,
            groups=[held.spec for held in groups],
            generate=True,
            finished=[sample for held in groups for sample in held.samples.values()],
            delivered=[bitmap(h.spec.group, h.delivered, h.spec.samples) for h in groups],
        )
        try:
            await self.links.call(self.membership.address(name), hold_groups=message)
        except AcaciarillError as error:
            log_message(message_type="samples:not_handed_over", step=str(key), code=error.code)

    async def pull(
        self, key: StepKey, cursor: Cursor, weight_version: int, limit: int, wait_s: float
    ) -> Pulled:
        """Return samples that the cursor lacks and mark them in it; wait while there is none."""
        end = self.clock() + wait_s
        # Ordering every group over every daemon costs, so it is done once for each pull.
        orders = {group: self._order(key, group) for group in cursor.wanted_groups()}
        request = PullRequest(key, cursor, weight_version, limit, orders)
        while True:
            pulled = await Gathering(request, self._ask).run()
            pulled.samples = [
                sample for sample in pulled.samples if cursor.take(sample.group, sample.index)
            ]
            nothing_left = not cursor.wanted_groups()
            if pulled.samples or pulled.missing or nothing_left or self.clock() >= end:
                return pulled
            await anyio.sleep(min(PULL_POLL_S, max(0.0, end - self.clock())))

    async def _ask(self, name: str, message: Any) -> Any:
        if name == self.membership.name:
            return (await self.holder.on_gather(message))["gather_reply"]
        try:
            return (
                await self.links.call(self.membership.address(name), gather=message)
            ).gather_reply
        except AcaciarillError as error:
            if error.code != CODE_STEP_DIFFERS:
                self.membership.mark_suspected(name)
            raise
