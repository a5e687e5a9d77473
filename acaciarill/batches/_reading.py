"""Serve the results of every batch, from its owner or from its log."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable

import anyio
from eliot import log_message

from ..errors import PeerError, RefusedError, Step
from ..fleet import Members
from ._heads import BatchHeads, NotFoundError, remember
from ._log import ResultLog
from ._model import BatchHead, ResultPage
from ._runner import BatchRunner
from .const import READ_GRACE_S, READ_RETRY_S

ReadAtOwner = Callable[[str, str, int, float], Awaitable[ResultPage]]
"""Ask an owner by address for the results of a batch from a position on, waiting some seconds."""


class ResultReader:
    """Read results at any daemon; logs that were read are kept for a while."""

    def __init__(
        self,
        heads: BatchHeads,
        runners: dict[str, BatchRunner],
        members: Members,
        read_at_owner: ReadAtOwner,
        clock: Callable[[], float],
    ) -> None:
        self.heads = heads
        self.runners = runners
        self.members = members
        self.read_at_owner = read_at_owner
        self.clock = clock
        self.logs: OrderedDict[str, ResultLog] = OrderedDict()

    async def results(self, batch_id: str, customer: str, after: int, wait_s: float) -> ResultPage:
        """Return results from a position on; waits until there is one. Raise AcaciarillError."""
        until = self.clock() + wait_s
        while True:
            head = await self.heads.find(batch_id, customer)
            page = await self._page(batch_id, head, after, max(0.0, until - self.clock()))
            if page.results or after >= page.total or head.ended or self.clock() >= until:
                return page
            await anyio.sleep(min(READ_RETRY_S, max(0.0, until - self.clock())))

    async def read_local_results(self, batch_id: str, after: int, wait_s: float) -> ResultPage:
        """Return results of an owned batch; raise RefusedError when it is not owned here."""
        runner = self._own_runner(batch_id, after)
        if runner is None:
            raise RefusedError("not the owner", step=Step.FORWARD, code="not-owner")
        with anyio.move_on_after(wait_s):
            while len(runner.log.results) <= after < runner.head.total:
                await runner.log.grown.wait()
        return runner.log.page(runner.head.total, after)

    def _own_runner(self, batch_id: str, after: int) -> BatchRunner | None:
        """Return the runner of an owned batch if its log tells what the store has from there on."""
        runner = self.runners.get(batch_id)
        if runner is None or not runner.log.complete:
            return None
        known = len(runner.log.results)
        return runner if after < known or (after == known and not runner.stopped) else None

    async def _page(self, batch_id: str, head: BatchHead, after: int, wait_s: float) -> ResultPage:
        log = self.logs.get(batch_id)
        if log is not None and len(log.results) > after:
            return log.page(head.total, after)
        if self._own_runner(batch_id, after) is not None:
            return await self.read_local_results(batch_id, after, wait_s)
        owner = self.members.by_name.get(head.owner)
        if (
            owner is not None
            and head.owner != self.members.name
            and owner.unreachable_since is None
        ):
            try:
                with anyio.fail_after(wait_s + READ_GRACE_S):
                    return await self.read_at_owner(owner.address, batch_id, after, wait_s)
            except (PeerError, TimeoutError) as error:
                log_message(message_type="batch:owner_silent", batch=batch_id, reason=str(error))
        if log is None:
            log = ResultLog(batch_id, self.heads.store)
            remember(self.logs, batch_id, log)
        await log.load()
        return log.page(head.total, after)

    async def item_body(self, batch_id: str, customer: str, item_id: str) -> bytes:
        """Return the body of an item; raise NotFoundError, StoreError."""
        head = await self.heads.find(batch_id, customer)
        submission = await self.heads.submission(batch_id, head)
        for item in submission.items:
            if item.id == item_id:
                return item.body
        raise NotFoundError("no such item", step=Step.ROUTE)
