"""Own some of the batches, and take over those of daemons that are gone."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import anyio.abc
from eliot import log_message

from ..errors import PeerError, StoreError
from ..fleet import Members
from ..mirrors import Mirror, Record
from ._acceptance import Acceptance
from ._heads import BatchHeads, part_key
from ._log import ObjectAccess, ResultLog
from ._model import BatchHead, Submission
from ._reading import ReadAtOwner, ResultReader
from ._runner import BatchRunner, RunnerPorts
from ._texts import TextStore
from .const import KEEP_AFTER_S, KIND_HEADS, KIND_TEXTS, RUN_RETRY_S

HandBatch = Callable[[str, str, Record, bytes, bytes], Awaitable[None]]
"""Give the named owner a batch: its id, its head, what was submitted, and unfinished texts."""


@dataclass(slots=True)
class BatchPorts:
    """Hold what the book needs besides what its runners share."""

    store: ObjectAccess
    members: Members
    decode: Callable[[bytes], Submission]
    read_at_owner: ReadAtOwner
    hand_batch: HandBatch
    runner: RunnerPorts
    task_group: anyio.abc.TaskGroup


class BatchManager:
    """Hold the runners of the own batches; accepting and reading are done at any daemon."""

    def __init__(self, name: str, mirror: Mirror, ports: BatchPorts) -> None:
        self.name = name
        self.mirror = mirror
        self.ports = ports
        self.runners: dict[str, BatchRunner] = {}
        self.claiming: set[str] = set()
        self.taken_over: set[str] = set()
        self.to_run: set[str] = set()
        self.texts = TextStore()
        self.draining = False
        self.heads = BatchHeads(mirror, ports.store, ports.decode)
        self.acceptance = Acceptance(
            self.heads,
            self._choose_owner,
            self._hand,
            ports.runner.true_time,
            lambda batch_id: self.to_run.add(batch_id),
        )
        self.reader = ResultReader(
            self.heads, self.runners, ports.members, ports.read_at_owner, ports.runner.clock
        )
        mirror.subscribe(self._follow_heads)

    def _choose_owner(self, customer: str, path: str) -> str:
        """Return one owner for all batches of a trainer, so that owners need not share engines."""
        without = self.name if self.draining else ""
        key = f"{customer}{path.rpartition('/')[0]}"
        return self.ports.members.choose_owner(key, without)

    async def _hand(self, batch_id: str, body: bytes, texts: bytes) -> None:
        """Tell another owner at once; when that fails it finds the head by itself."""
        record = self.mirror.records[batch_id]
        owner = record.value["owner"]
        if owner == self.name:
            return
        try:
            await self.ports.hand_batch(owner, batch_id, record, body, texts)
        except PeerError as error:
            log_message(
                message_type="batch:not_handed", batch=batch_id, owner=owner, reason=error.message
            )

    def receive_batch(self, record: Record, body: bytes, texts: bytes) -> None:
        """Take a batch that another daemon accepted for this one, or handed over."""
        self.heads.remember(record.name, self.ports.decode(body))
        self.texts.decode(texts)
        self.to_run.add(record.name)
        log_message(message_type="batch:handed", batch=record.name)
        self.mirror.put(record)
        self._follow_heads()

    def _follow_heads(self) -> None:
        """Start what this daemon owns and stop what it no longer does."""
        for batch_id, runner in list(self.runners.items()):
            record = self.mirror.records.get(batch_id)
            head = BatchHead.from_value(record.value) if record is not None else None
            if head is not None and head.owner == self.name and head.epoch == runner.head.epoch:
                if head.ended:
                    runner.stop()
                continue
            log_message(
                message_type="batch:lost", batch=batch_id, owner=head.owner if head else None
            )
            runner.stop()
            del self.runners[batch_id]
        for batch_id, record in self.mirror.records.items():
            head = BatchHead.from_value(record.value)
            # What another process of this host owned must be claimed first: its log is not known.
            known = batch_id in self.to_run and batch_id in self.heads.submissions
            if (
                known
                and batch_id not in self.runners
                and head.owner == self.name
                and not head.ended
                and not self.draining
            ):
                self._start(batch_id, head, self.heads.submissions[batch_id])

    def _start(self, batch_id: str, head: BatchHead, submission: Submission) -> None:
        log = ResultLog(batch_id, self.ports.store)
        taken_over = batch_id in self.taken_over
        runner = BatchRunner(
            batch_id, head, submission, log, self.ports.runner, self.texts, taken_over
        )
        self.runners[batch_id] = runner
        self.reader.logs.pop(batch_id, None)
        self.ports.task_group.start_soon(self._run, batch_id, runner)

    async def _run(self, batch_id: str, runner: BatchRunner) -> None:
        while True:
            try:
                await runner.run()
                return
            except StoreError as error:
                log_message(message_type="batch:held_up", batch=batch_id, reason=error.message)
            except Exception as error:  # a fault in one batch must not end the daemon
                log_message(message_type="batch:runner_failed", batch=batch_id, error=repr(error))
            await anyio.sleep(RUN_RETRY_S)

    async def claim_and_expire(self) -> None:
        """Take over the batches of dead owners, and delete those that nobody reads any more."""
        if self.draining:
            return
        now = self.ports.runner.true_time()
        for batch_id, record in list(self.mirror.records.items()):
            head = BatchHead.from_value(record.value)
            if now > head.submitted_at + KEEP_AFTER_S:
                await self._delete(batch_id, head)
            elif not head.ended and batch_id not in self.runners and self._is_heir(head):
                await self._claim(batch_id, record, head)

    def _is_heir(self, head: BatchHead) -> bool:
        if head.owner == self.name:
            return True  # an earlier process of this daemon owned it
        return self.ports.members.is_successor_of(head.owner)

    async def _claim(self, batch_id: str, record: Record, head: BatchHead) -> None:
        if batch_id in self.claiming:
            return
        self.claiming.add(batch_id)
        try:
            submission = await self.heads.submission(batch_id, head)
            claimed = replace(head, owner=self.name, epoch=head.epoch + 1)
            self.to_run.add(batch_id)
            if head.owner != self.name:
                self.taken_over.add(batch_id)
            if await self.heads.update(batch_id, record, claimed):
                log_message(
                    message_type="batch:claimed",
                    batch=batch_id,
                    former=head.owner,
                    epoch=claimed.epoch,
                )
                self.heads.remember(batch_id, submission)
                self._follow_heads()
        except StoreError as error:
            log_message(message_type="batch:claim_failed", batch=batch_id, reason=error.message)
        finally:
            self.claiming.discard(batch_id)

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
            self.taken_over.discard(batch_id)
            self.to_run.discard(batch_id)
        except StoreError as error:
            log_message(message_type="batch:delete_failed", batch=batch_id, reason=error.message)

    async def hand_over(self) -> None:
        """Stop own runs and release their batches, so that a successor need not wait."""
        self.draining = True
        for batch_id, runner in list(self.runners.items()):
            runner.stop()
            record = self.mirror.records.get(batch_id)
            head = BatchHead.from_value(record.value) if record is not None else None
            if record is None or head is None or head.ended:
                continue
            if len(runner.log.results) >= head.total:
                continue
            owner = self._choose_owner(head.customer, head.path)
            if await self.heads.update(
                batch_id, record, replace(head, owner=owner, epoch=head.epoch + 1)
            ):
                texts = self.texts.encode(runner.submission.items)
                await self._hand(batch_id, await self.heads.body(batch_id, head), texts)
