"""Gather a step's finished samples from the daemons that hold its groups."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from ..errors import AcaciarillError, BadRequestError, Step
from ..peers import messages
from ._cursor import Cursor
from ._producer import StepKey
from .const import CODE_STEP_DIFFERS, HOLDERS_ASKED

AskHolder = Callable[[str, Any], Awaitable[Any]]
"""Asks one daemon by name; raises AcaciarillError."""


@dataclass(slots=True)
class PullRequest:
    """Hold what one pull asks for; `orders` lists each group's holders, the preferred first."""

    key: StepKey
    cursor: Cursor
    weight_version: int
    limit: int
    orders: dict[int, list[str]]


@dataclass(slots=True)
class Pulled:
    """Hold what one pull found, and the groups that no daemon knows."""

    samples: list[Any] = field(default_factory=list)
    missing: list[int] = field(default_factory=list)


class Gathering:
    """Ask the holders of each group in order until one generates it.

    A copy is promoted only when none of the daemons that were asked generates its group.
    """

    def __init__(self, request: PullRequest, ask_holder: AskHolder) -> None:
        self.request = request
        self.ask_holder = ask_holder
        self.wanted = request.cursor.unfinished_groups()
        self.copies: dict[int, str] = {}
        self.samples: list[Any] = []
        self.failures: list[AcaciarillError] = []

    async def run(self) -> Pulled:
        """Return what was found; raise BadRequestError when a holder has other contents."""
        for rank in range(HOLDERS_ASKED):
            batches = self._batches(rank)
            if not batches:
                break
            await self._ask_all(batches)
            if len(self.samples) >= self.request.limit:
                return Pulled(self.samples)
        promoted: dict[str, list[int]] = {}
        for group, name in self.copies.items():
            if group in self.wanted:
                promoted.setdefault(name, []).append(group)
        await self._ask_all(promoted, promote=True)
        return Pulled(self.samples, sorted(self.wanted))

    def _batches(self, rank: int) -> dict[str, list[int]]:
        """Return the groups still wanted by the daemon that is next in their order."""
        batches: dict[str, list[int]] = {}
        for group in self.wanted:
            order = self.request.orders[group]
            if rank < len(order):
                batches.setdefault(order[rank], []).append(group)
        return batches

    async def _ask_all(self, batches: dict[str, list[int]], promote: bool = False) -> None:
        async with anyio.create_task_group() as task_group:
            for name, groups in batches.items():
                task_group.start_soon(self._ask, name, groups, promote)
        raise_if_differs(self.failures)

    async def _ask(self, name: str, groups: list[int], promote: bool) -> None:
        try:
            reply = await self.ask_holder(name, self._message(groups, promote))
        except AcaciarillError as error:
            self.failures.append(error)
            return
        self.samples += reply.samples
        for group in reply.generating:
            self.wanted.pop(group, None)
        for group in reply.copies:
            self.copies.setdefault(group, name)

    def _message(self, groups: list[int], promote: bool) -> Any:
        request, cursor = self.request, self.request.cursor
        return messages.Gather(
            customer=request.key.customer,
            trainer=request.key.trainer,
            step=request.key.step,
            digest=cursor.digest,
            groups=[bitmap(g, self.wanted[g], cursor.group_sizes[g]) for g in groups],
            weight_version=request.weight_version,
            staleness_bound=cursor.staleness_bound,
            limit=max(1, request.limit - len(self.samples)),
            promote=promote,
        )


def raise_if_differs(failures: list[AcaciarillError]) -> None:
    """Raise BadRequestError when any holder has a step of this name with other contents."""
    for error in failures:
        if error.code == CODE_STEP_DIFFERS:
            raise BadRequestError(error.message, step=Step.ADMIT, code=error.code, status=409)


def bitmap(group: int, delivered: int, samples: int) -> Any:
    """Return the message that names a group's delivered samples."""
    length = (samples + 7) // 8
    return messages.GroupWanted(group=group, delivered=delivered.to_bytes(length, "little"))
