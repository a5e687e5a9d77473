"""Run the batches that this daemon owns, and take over those of dead daemons."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import anyio
import anyio.abc
from eliot import log_message

from ..errors import PeerError, StoreError
from ..fleet import Members
from ..mirrors import Mirror, Record
from ._acceptance import Acceptance
from ._heads import BatchHeadStore, part_key
from ._log import ObjectAccess, ResultLog
from ._model import BatchHead, Submission
from ._reading import ReadAtOwner, ResultReader
from ._runner import BatchRunner
from ._runner_ports import RunnerPorts
from ._submission_limits import SubmissionLimits
from ._texts import BatchTexts, TextCache, TextLimits
from .const import (
    DEFAULT_RETENTION_S,
    KIND_HEADS,
    KIND_TEXTS,
    RETENTION_MARGIN_S,
    RUN_RETRY_DELAY_S,
)

SendBatch = Callable[[str, str, Record, bytes, bytes], Awaitable[None]]
"""Send a batch to its owner: owner, batch id, head, submitted bytes, encoded unfinished texts."""


@dataclass(slots=True)
class BatchPorts:
    """Hold the dependencies of a batch manager; `runner` holds those of its runners."""

    store: ObjectAccess
    members: Members
    decode_submission: Callable[[bytes], Submission]
    read_at_owner: ReadAtOwner
    send_batch: SendBatch
    runner: RunnerPorts
    task_group: anyio.abc.TaskGroup
    text_limits: TextLimits = field(default_factory=TextLimits)
    submission_limits: SubmissionLimits = field(default_factory=SubmissionLimits)
    on_load: Callable[[str], None] = lambda outcome: None


class BatchManager:
    """Run the batches that this daemon owns; any daemon can accept and read any batch.

    An open batch is kept, whatever its age; one that has been ended is deleted `retention_s` and a
    margin after its submission.

    `runnable_ids` are the batches that this process accepted, received or tried to claim,
    `taken_over_ids` those of them that another daemon owned before the claim, and `released_ids`
    those that it owns without a runner, as all their items have results.
    """

    def __init__(
        self,
        name: str,
        mirror: Mirror,
        ports: BatchPorts,
        retention_s: float = DEFAULT_RETENTION_S,
    ) -> None:
        self.retention_s = retention_s
        self.ended_at: dict[str, float] = {}
        self.name = name
        self.mirror = mirror
        self.ports = ports
        self.runners: dict[str, BatchRunner] = {}
        self.claiming_ids: set[str] = set()
        self.taken_over_ids: set[str] = set()
        self.runnable_ids: set[str] = set()
        self.released_ids: set[str] = set()
        self.texts = TextCache(ports.text_limits)
        self.draining = False
        self.heads = BatchHeadStore(
            mirror,
            ports.store,
            ports.decode_submission,
            ports.submission_limits.total_bytes,
            ports.on_load,
        )
        self.acceptance = Acceptance(
            self.heads,
            self._choose_owner,
            self._send_to_owner,
            ports.runner.wall_clock,
            lambda batch_id: self.runnable_ids.add(batch_id),
            ports.submission_limits,
            retention_s,
        )
        self.reader = ResultReader(
            self.heads, self.runners, ports.members, ports.read_at_owner, ports.runner.clock
        )
        mirror.subscribe(self._reconcile_runners)

    def _choose_owner(self, customer: str, path: str) -> str:
        """Return one owner for all batches of a trainer, so that no owners compete for engines."""
        excluded = self.name if self.draining else ""
        key = f"{customer}{path.rpartition('/')[0]}"
        return self.ports.members.choose_owner(key, excluded)

    async def _send_to_owner(self, batch_id: str, body: bytes, texts: bytes) -> None:
        """Send a batch to its owner at once; if that fails, the owner finds it in its mirror."""
        record = self.mirror.records[batch_id]
        owner = record.value["owner"]
        if owner == self.name:
            return
        try:
            await self.ports.send_batch(owner, batch_id, record, body, texts)
        except PeerError as error:
            log_message(
                message_type="batch:send_failed", batch=batch_id, owner=owner, reason=error.message
            )

    def _texts_of(self, batch_id: str, customer: str) -> BatchTexts:
        return BatchTexts(self.texts, batch_id, customer)

    def receive_batch(self, record: Record, body: bytes, texts: bytes) -> None:
        """Receive a batch that another daemon accepted for this one or handed over."""
        submission = self.ports.decode_submission(body)
        self.heads.cache_submission(record.name, submission)
        customer = BatchHead.from_value(record.value).customer
        self._texts_of(record.name, customer).merge_encoded(submission.items, texts)
        self.runnable_ids.add(record.name)
        log_message(message_type="batch:received", batch=record.name)
        self.mirror.put(record)
        self._reconcile_runners()

    def _reconcile_runners(self) -> None:
        """Start the runners of owned batches, and stop those of ended batches or other owners."""
        for batch_id, runner in list(self.runners.items()):
            record = self.mirror.records.get(batch_id)
            head = BatchHead.from_value(record.value) if record is not None else None
            if head is not None and head.owner == self.name and head.epoch == runner.head.epoch:
                if head.ended:
                    runner.stop()
                continue
            log_message(
                message_type="batch:ownership_lost",
                batch=batch_id,
                owner=head.owner if head else None,
            )
            runner.stop()
            del self.runners[batch_id]
        for batch_id, record in self.mirror.records.items():
            head = BatchHead.from_value(record.value)
            # A batch that an earlier process of this host owned must be claimed first: this raises
            # its epoch, and only a runner of a later epoch than the first loads the stored log.
            can_start = batch_id in self.runnable_ids and batch_id in self.heads.submissions
            if (
                can_start
                and batch_id not in self.runners
                and batch_id not in self.released_ids
                and head.owner == self.name
                and not head.ended
                and not self.draining
            ):
                self._start_runner(batch_id, head, self.heads.submissions[batch_id])

    def _start_runner(self, batch_id: str, head: BatchHead, submission: Submission) -> None:
        log = ResultLog(batch_id, self.ports.store)
        taken_over = batch_id in self.taken_over_ids
        runner = BatchRunner(
            batch_id,
            head,
            submission,
            log,
            self.ports.runner,
            self._texts_of(batch_id, head.customer),
            taken_over,
        )
        self.runners[batch_id] = runner
        self.reader.logs.pop(batch_id, None)
        self.ports.task_group.start_soon(self._run_with_retries, batch_id, runner)

    async def _run_with_retries(self, batch_id: str, runner: BatchRunner) -> None:
        while True:
            try:
                await runner.run()
                return
            except StoreError as error:
                log_message(
                    message_type="batch:run_interrupted", batch=batch_id, reason=error.message
                )
            except Exception as error:  # a fault in one batch must not stop the daemon
                log_message(message_type="batch:runner_failed", batch=batch_id, error=repr(error))
            await anyio.sleep(RUN_RETRY_DELAY_S)

    async def claim_and_expire(self) -> None:
        """Claim the batches of dead owners, and delete those past their retention."""
        if self.draining:
            return
        now = self.ports.runner.wall_clock()
        for batch_id in self.ended_at.keys() - self.mirror.records.keys():
            del self.ended_at[batch_id]
        self.released_ids &= self.mirror.records.keys()
        for batch_id, record in list(self.mirror.records.items()):
            head = BatchHead.from_value(record.value)
            if self._is_expired(batch_id, head, now):
                await self._delete(batch_id, head)
            elif not head.ended and batch_id in self.runners:
                self._release_finished(batch_id, head, now)
            elif not head.ended and batch_id not in self.released_ids and self._should_claim(head):
                await self._claim(batch_id, record, head)

    def _is_expired(self, batch_id: str, head: BatchHead, now: float) -> bool:
        """Return whether a batch may be deleted; note when it was first seen ended."""
        if not head.ended:
            return False
        ended_at = self.ended_at.setdefault(batch_id, now)
        kept_until = max(head.submitted_at + self.retention_s, ended_at)
        return now > kept_until + RETENTION_MARGIN_S

    def _release_finished(self, batch_id: str, head: BatchHead, now: float) -> None:
        """Drop the results of an old open batch from memory; they are read from the store then."""
        log = self.runners[batch_id].log
        is_finished = log.loaded and len(log.results) >= head.total
        if is_finished and now > head.submitted_at + self.retention_s:
            log_message(message_type="batch:released", batch=batch_id, results=len(log.results))
            self.released_ids.add(batch_id)
            del self.runners[batch_id]

    def _should_claim(self, head: BatchHead) -> bool:
        if head.owner == self.name:
            return True  # an earlier process of this daemon owned it
        return self.ports.members.is_successor_of(head.owner)

    async def _claim(self, batch_id: str, record: Record, head: BatchHead) -> None:
        if batch_id in self.claiming_ids:
            return
        self.claiming_ids.add(batch_id)
        try:
            submission = await self.heads.load_submission(batch_id, head)
            claimed = replace(head, owner=self.name, epoch=head.epoch + 1)
            self.runnable_ids.add(batch_id)
            if head.owner != self.name:
                self.taken_over_ids.add(batch_id)
            if await self.heads.update(batch_id, record, claimed):
                log_message(
                    message_type="batch:claimed",
                    batch=batch_id,
                    previous_owner=head.owner,
                    epoch=claimed.epoch,
                )
                self.heads.cache_submission(batch_id, submission)
                self._reconcile_runners()
        except StoreError as error:
            log_message(message_type="batch:claim_failed", batch=batch_id, reason=error.message)
        finally:
            self.claiming_ids.discard(batch_id)

    async def _delete(self, batch_id: str, head: BatchHead) -> None:
        if head.owner != self.name and not self.ports.members.is_successor_of(head.owner):
            return
        log = ResultLog(batch_id, self.ports.store)
        try:
            await log.load()
            await log.delete()
            await self.ports.store.delete(f"{KIND_TEXTS}/{batch_id}")
            for index in range(head.parts):
                await self.ports.store.delete(part_key(batch_id, head.digest, index))
            await self.ports.store.delete(f"{KIND_HEADS}/{batch_id}")
            log_message(message_type="batch:deleted", batch=batch_id)
            self.taken_over_ids.discard(batch_id)
            self.runnable_ids.discard(batch_id)
        except StoreError as error:
            log_message(message_type="batch:delete_failed", batch=batch_id, reason=error.message)

    async def hand_over(self) -> None:
        """Stop the runners and hand their batches over, so that successors need no takeover."""
        self.draining = True
        for batch_id, runner in list(self.runners.items()):
            runner.stop()
            try:
                await self._hand_over_batch(batch_id, runner)
            except Exception as error:  # its next owner finds the batch in its mirror
                log_message(
                    message_type="batch:hand_over_failed", batch=batch_id, reason=str(error)
                )

    async def _hand_over_batch(self, batch_id: str, runner: BatchRunner) -> None:
        """Hand a batch over to another owner unless it is finished; raise StoreError."""
        record = self.mirror.records.get(batch_id)
        head = BatchHead.from_value(record.value) if record is not None else None
        if record is None or head is None or head.ended:
            return
        if len(runner.log.results) >= head.total:
            return
        owner = self._choose_owner(head.customer, head.path)
        if await self.heads.update(
            batch_id, record, replace(head, owner=owner, epoch=head.epoch + 1)
        ):
            texts = runner.texts.encode(runner.submission.items)
            await self._send_to_owner(batch_id, await self.heads.load_body(batch_id, head), texts)
