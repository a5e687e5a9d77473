"""Read the results of any batch, from its owner or from the stored log."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable

import anyio
from eliot import log_message

from ..errors import PeerError, RefusedError, Step, StoreError
from ..fleet import Members
from ._heads import BatchHeadStore, NotFoundError, put_bounded
from ._log import ResultLog
from ._model import FIRST_EPOCH, BatchHead, ResultPage
from ._runner import BatchRunner
from .const import LOG_REFRESH_TIMEOUT_S, READ_POLL_PERIOD_S, READ_TIMEOUT_MARGIN_S

ReadAtOwner = Callable[[str, str, int, float], Awaitable[ResultPage]]
"""Read the results of a batch from its owner: address, batch id, position, seconds to wait."""


class ResultReader:
    """Read results at any daemon, and cache the logs that were read from the store."""

    def __init__(
        self,
        heads: BatchHeadStore,
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
        """Return results after a position; wait up to `wait_s` for one. Raise AcaciarillError."""
        deadline = self.clock() + wait_s
        while True:
            head = await self.heads.find(batch_id, customer)
            page = await self._read_page(batch_id, head, after, max(0.0, deadline - self.clock()))
            if page.results or after >= page.total or head.ended or self.clock() >= deadline:
                return page
            await anyio.sleep(min(READ_POLL_PERIOD_S, max(0.0, deadline - self.clock())))

    async def read_local_results(self, batch_id: str, after: int, wait_s: float) -> ResultPage:
        """Return results of a batch that this daemon owns; raise RefusedError if it does not."""
        runner = self._local_runner(batch_id, after)
        if runner is None:
            raise RefusedError(
                "this daemon does not own the batch or has not loaded its log",
                step=Step.FORWARD,
                code="not-owner",
            )
        log = runner.log
        if runner.head.epoch > FIRST_EPOCH and len(log.results) <= after < runner.head.total:
            await self._refresh(log)
        with anyio.move_on_after(wait_s):
            while len(log.results) <= after < runner.head.total:
                await log.results_added.wait()
        return runner.log.page(runner.head.total, after)

    async def _refresh(self, log: ResultLog) -> None:
        with anyio.move_on_after(LOG_REFRESH_TIMEOUT_S):
            try:
                await log.refresh(self.clock())
            except StoreError:
                return  # what is known is served, as for any other read

    def _local_runner(self, batch_id: str, after: int) -> BatchRunner | None:
        """Return the local runner of a batch if its log can serve a read after the position.

        A stopped runner may lack results that a later owner has appended, so it serves only the
        results that its log holds and does not report the end of the log.
        """
        runner = self.runners.get(batch_id)
        if runner is None or not runner.log.loaded:
            return None
        count = len(runner.log.results)
        return runner if after < count or (after == count and not runner.stopped) else None

    async def _read_page(
        self, batch_id: str, head: BatchHead, after: int, wait_s: float
    ) -> ResultPage:
        log = self.logs.get(batch_id)
        if log is not None and len(log.results) > after:
            return log.page(head.total, after)
        if self._local_runner(batch_id, after) is not None:
            return await self.read_local_results(batch_id, after, wait_s)
        owner = self.members.by_name.get(head.owner)
        if (
            owner is not None
            and head.owner != self.members.name
            and owner.unreachable_since is None
        ):
            try:
                with anyio.fail_after(wait_s + READ_TIMEOUT_MARGIN_S):
                    return await self.read_at_owner(owner.address, batch_id, after, wait_s)
            except (PeerError, TimeoutError) as error:
                log_message(
                    message_type="batch:owner_read_failed", batch=batch_id, reason=str(error)
                )
        if log is None:
            log = ResultLog(batch_id, self.heads.store)
            put_bounded(self.logs, batch_id, log)
        await log.load()
        return log.page(head.total, after)

    async def item_body(self, batch_id: str, customer: str, item_id: str) -> bytes:
        """Return the body of an item; raise NotFoundError, StoreError."""
        head = await self.heads.find(batch_id, customer)
        submission = await self.heads.load_submission(batch_id, head)
        for item in submission.items:
            if item.id == item_id:
                return item.body
        raise NotFoundError("no such item", step=Step.ROUTE)
