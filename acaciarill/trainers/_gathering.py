"""Collect the finished samples of a step from the holders of its groups."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from ..errors import AcaciarillError, BadRequestError, Step
from ..peers import messages
from ._cursor import Cursor
from ._producer import StepKey
from .const import CODE_STEP_DIFFERS, MAX_HOLDERS_QUERIED_PER_GROUP

SendGather = Callable[[str, Any], Awaitable[Any]]
"""Send a `Gather` message to a daemon by name and return its reply; raise AcaciarillError."""


@dataclass(slots=True)
class PullRequest:
    """Describe one pull; `holders_by_group` lists the preferred holder of a group first."""

    key: StepKey
    cursor: Cursor
    weight_version: int
    limit: int
    holders_by_group: dict[int, list[str]]


@dataclass(slots=True)
class PullResult:
    """Hold the samples that a pull returned and the groups that no queried daemon has."""

    samples: list[Any] = field(default_factory=list)
    unknown_groups: list[int] = field(default_factory=list)


class SampleGatherer:
    """Query the holders of each group in order until one reports that it generates the group.

    A copy is promoted only when none of the queried daemons generates its group.
    """

    def __init__(self, request: PullRequest, send_gather: SendGather) -> None:
        self.request = request
        self.send_gather = send_gather
        self.unresolved = request.cursor.unfinished_groups()
        self.copy_holders: dict[int, str] = {}
        self.samples: list[Any] = []
        self.failures: list[AcaciarillError] = []

    async def run(self) -> PullResult:
        """Return the samples; raise BadRequestError if the step has other contents at a holder."""
        for rank in range(MAX_HOLDERS_QUERIED_PER_GROUP):
            groups_by_holder = self._groups_by_holder(rank)
            if not groups_by_holder:
                break
            await self._send_all(groups_by_holder)
            if len(self.samples) >= self.request.limit:
                return PullResult(self.samples)
        promotions: dict[str, list[int]] = {}
        for group, name in self.copy_holders.items():
            if group in self.unresolved:
                promotions.setdefault(name, []).append(group)
        await self._send_all(promotions, promote=True)
        return PullResult(self.samples, sorted(self.unresolved))

    def _groups_by_holder(self, rank: int) -> dict[str, list[int]]:
        """Return the unresolved groups by their holder at a rank."""
        groups_by_holder: dict[str, list[int]] = {}
        for group in self.unresolved:
            holders = self.request.holders_by_group[group]
            if rank < len(holders):
                groups_by_holder.setdefault(holders[rank], []).append(group)
        return groups_by_holder

    async def _send_all(
        self, groups_by_holder: dict[str, list[int]], promote: bool = False
    ) -> None:
        async with anyio.create_task_group() as task_group:
            for name, groups in groups_by_holder.items():
                task_group.start_soon(self._send, name, groups, promote)
        raise_step_conflict(self.failures)

    async def _send(self, name: str, groups: list[int], promote: bool) -> None:
        try:
            reply = await self.send_gather(name, self._build_message(groups, promote))
        except AcaciarillError as error:
            self.failures.append(error)
            return
        self.samples += reply.samples
        for group in reply.generating:
            self.unresolved.pop(group, None)
        for group in reply.copies:
            self.copy_holders.setdefault(group, name)

    def _build_message(self, groups: list[int], promote: bool) -> Any:
        request, cursor = self.request, self.request.cursor
        return messages.Gather(
            customer=request.key.customer,
            trainer=request.key.trainer,
            step=request.key.step,
            digest=cursor.digest,
            groups=[delivered_bitmap(g, self.unresolved[g], cursor.group_sizes[g]) for g in groups],
            weight_version=request.weight_version,
            staleness_bound=cursor.staleness_bound,
            limit=max(1, request.limit - len(self.samples)),
            promote=promote,
        )


def raise_step_conflict(failures: list[AcaciarillError]) -> None:
    """Raise BadRequestError if a holder has the step with other contents."""
    for error in failures:
        if error.code == CODE_STEP_DIFFERS:
            raise BadRequestError(error.message, step=Step.ADMIT, code=error.code, status=409)


def delivered_bitmap(group: int, delivered: int, sample_count: int) -> Any:
    """Return the message with the bitmap of a group's delivered samples."""
    byte_count = (sample_count + 7) // 8
    return messages.GroupWanted(group=group, delivered=delivered.to_bytes(byte_count, "little"))
