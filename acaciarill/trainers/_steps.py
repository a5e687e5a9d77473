"""Assign the groups of a step to daemons and collect samples from them."""

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
from ._gathering import (
    PullRequest,
    PullResult,
    SampleGatherer,
    delivered_bitmap,
    raise_step_conflict,
)
from ._producer import GroupState, SampleProducer, StepKey
from .const import CODE_STEP_DIFFERS, PULL_POLL_PERIOD_S


@dataclass(slots=True)
class StepRequest:
    """Hold a validated submission of a step."""

    key: StepKey
    model: str
    staleness_bound: int
    consumers: int
    groups: list[Any]

    @property
    def digest(self) -> str:
        """Return a digest of the contents, to tell a repeated submission from a conflicting one."""
        rows = [(g.group, g.prompt, g.samples, g.max_tokens) for g in self.groups]
        data = orjson.dumps([self.model, self.staleness_bound, self.consumers, rows])
        return hashlib.sha256(data).hexdigest()[:32]


class StepService:
    """Submit, pull and transfer steps from any daemon.

    Holders follow from rendezvous hashing of the group, so no daemon owns a step.
    """

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        producer: SampleProducer,
        clock: Callable[[], float],
    ) -> None:
        self.membership = membership
        self.links = links
        self.producer = producer
        self.clock = clock

    def _holders_of(self, key: StepKey, group: int) -> list[str]:
        return self.membership.preferred_holders(f"group/{key}/{group}")

    async def submit(self, request: StepRequest) -> None:
        """Assign each group to its first holder and a copy to the second; raise AcaciarillError.

        An unreachable daemon is marked as suspected, so the next pass picks other holders.
        """
        unassigned = {spec.group: spec for spec in request.groups}
        generating: set[int] = set()
        copied: set[int] = set()
        while unassigned:
            assignments = self._build_assignments(request.key, unassigned, generating, copied)
            if not assignments:
                raise RefusedError(
                    "no daemon can hold the groups", step=Step.ADMIT, code="no-holder"
                )
            failures: list[AcaciarillError] = []
            async with anyio.create_task_group() as task_group:
                for (name, generate), specs in assignments.items():
                    assigned_groups = generating if generate else copied
                    task_group.start_soon(
                        self._assign_groups,
                        request,
                        name,
                        specs,
                        generate,
                        assigned_groups,
                        failures,
                    )
            raise_step_conflict(failures)
            single_daemon = len(self.membership.daemons()) == 1
            for group in list(unassigned):
                if group in generating and (group in copied or single_daemon):
                    del unassigned[group]

    def _build_assignments(
        self, key: StepKey, unassigned: dict[int, Any], generating: set[int], copied: set[int]
    ) -> dict[tuple[str, bool], list[Any]]:
        assignments: dict[tuple[str, bool], list[Any]] = {}
        for group, spec in unassigned.items():
            holders = self._holders_of(key, group)
            if group not in generating:
                assignments.setdefault((holders[0], True), []).append(spec)
            if group not in copied and len(holders) > 1:
                assignments.setdefault((holders[1], False), []).append(spec)
        return assignments

    async def _assign_groups(
        self,
        request: StepRequest,
        name: str,
        specs: list[Any],
        generate: bool,
        assigned_groups: set[int],
        failures: list[AcaciarillError],
    ) -> None:
        """Send groups to a daemon; add them to `assigned_groups`, or the error to `failures`."""
        try:
            await self._send_hold_groups(request, name, specs, generate)
        except AcaciarillError as error:
            failures.append(error)
        else:
            assigned_groups.update(spec.group for spec in specs)

    async def _send_hold_groups(
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
            await self.producer.on_hold_groups(message)
            return
        try:
            await self.links.call(self.membership.address(name), hold_groups=message)
        except PeerError as error:
            if error.code != CODE_STEP_DIFFERS:
                self.membership.mark_suspected(name)
            raise

    async def transfer_groups(self) -> None:
        """Stop generating and transfer the groups generated here to their next holders."""
        self.producer.draining = True
        transfers: dict[tuple[StepKey, str, str], list[GroupState]] = {}
        for state in self.producer.groups.values():
            holders = self._holders_of(state.key, state.spec.group)
            other_holders = [name for name in holders if name != self.membership.name]
            if other_holders and state.generates:
                transfers.setdefault((state.key, state.digest, other_holders[0]), []).append(state)
        async with anyio.create_task_group() as task_group:
            for (key, digest, name), groups in transfers.items():
                task_group.start_soon(self._transfer_groups, key, digest, name, groups)

    async def _transfer_groups(
        self, key: StepKey, digest: str, name: str, groups: list[GroupState]
    ) -> None:
        message = messages.HoldGroups(
            customer=key.customer,
            trainer=key.trainer,
            step=key.step,
            digest=digest,
            model=groups[0].model,
            groups=[state.spec for state in groups],
            generate=True,
            finished=[sample for state in groups for sample in state.samples.values()],
            delivered=[delivered_bitmap(s.spec.group, s.delivered, s.spec.samples) for s in groups],
        )
        try:
            await self.links.call(self.membership.address(name), hold_groups=message)
        except AcaciarillError as error:
            # The next pull promotes the copies, which generate the undelivered samples again.
            log_message(message_type="samples:transfer_failed", step=str(key), code=error.code)

    async def pull(
        self, key: StepKey, cursor: Cursor, weight_version: int, limit: int, wait_s: float
    ) -> PullResult:
        """Return undelivered samples, marked in the cursor; wait up to `wait_s` for the first."""
        deadline = self.clock() + wait_s
        # Ranking all daemons for each group is expensive, so it is done once for each pull.
        holders_by_group = {
            group: self._holders_of(key, group) for group in cursor.unfinished_groups()
        }
        request = PullRequest(key, cursor, weight_version, limit, holders_by_group)
        while True:
            result = await SampleGatherer(request, self._send_gather).run()
            result.samples = [
                sample
                for sample in result.samples
                if cursor.mark_delivered(sample.group, sample.index)
            ]
            is_complete = not cursor.unfinished_groups()
            if result.samples or result.unknown_groups or is_complete or self.clock() >= deadline:
                return result
            await anyio.sleep(min(PULL_POLL_PERIOD_S, max(0.0, deadline - self.clock())))

    async def _send_gather(self, name: str, message: Any) -> Any:
        if name == self.membership.name:
            return (await self.producer.on_gather(message))["gather_reply"]
        try:
            return (
                await self.links.call(self.membership.address(name), gather=message)
            ).gather_reply
        except AcaciarillError as error:
            if error.code != CODE_STEP_DIFFERS:
                self.membership.mark_suspected(name)
            raise
