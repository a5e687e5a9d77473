"""Know every batch: accept, read and end them at any daemon, and own some of them."""

import hashlib
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import anyio
import anyio.abc
import orjson
from eliot import log_message

from ..errors import (
    AcaciarillError,
    BadRequestError,
    Outcome,
    PeerError,
    RefusedError,
    Step,
    StoreConflictError,
    StoreError,
)
from ..fleet import Members
from ..mirrors import Mirror, Record
from ._log import ObjectAccess, ResultLog
from ._model import BatchHead, Page, Submission
from ._runner import BatchRunner, RunnerPorts
from ._texts import TextStore
from .const import (
    ACCEPT_LIMIT_S,
    ACCEPT_RETRY_S,
    END_LIMIT_S,
    KEEP_AFTER_S,
    KEPT_LOGS,
    KIND_HEADS,
    KIND_PARTS,
    PART_CHARACTERS,
    READ_GRACE_S,
    READ_RETRY_S,
    RUN_RETRY_S,
)


class NotFoundError(AcaciarillError):
    """Report a batch or an item that does not exist for this customer."""

    code = "not-found"
    status = 404
    outcome = Outcome.NOT_RUN


ReadAtOwner = Callable[[str, str, int, float], Awaitable[Page]]
"""Ask an owner by address for the results of a batch from a position on, waiting some seconds."""


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


class BatchBook:
    """Hold the heads of all batches and the runners of the own ones."""

    def __init__(self, name: str, mirror: Mirror, ports: BatchPorts) -> None:
        self.name = name
        self.mirror = mirror
        self.ports = ports
        self.runners: dict[str, BatchRunner] = {}
        self.claiming: set[str] = set()
        self.logs: OrderedDict[str, ResultLog] = OrderedDict()
        self.submissions: OrderedDict[str, Submission] = OrderedDict()
        self.texts = TextStore()
        self.draining = False
        mirror.subscribe(self._follow_heads)

    async def accept(self, batch_id: str, customer: str, host: str, path: str, body: bytes) -> None:
        """Make a batch durable, once; raise AcaciarillError.

        The error's outcome is NOT_RUN only when the head surely was not written.
        """
        submission = self.ports.decode(body)
        text = body.decode()
        parts = [text[i : i + PART_CHARACTERS] for i in range(0, len(text), PART_CHARACTERS)]
        digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        if batch_id in self.mirror.records:
            self._check_same(batch_id, customer, digest, self.mirror.records[batch_id].value)
            return
        head = BatchHead(
            customer=customer,
            host=host,
            path=path,
            submitted_at=self.ports.runner.true_time(),
            total=len(submission.items),
            parts=len(parts),
            digest=digest,
            owner=self._choose_owner(customer, path),
        )
        with anyio.move_on_after(ACCEPT_LIMIT_S):
            for index, part in enumerate(parts):
                await self._create(_part_key(batch_id, digest, index), orjson.dumps(part))
            await self._commit(batch_id, head, submission)
            await self._hand(batch_id, body, b"[]")
            return
        raise StoreError("acceptance could not be settled", step=Step.STORE, status=504)

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

    def take_batch(self, record: Record, body: bytes, texts: bytes) -> None:
        """Take a batch that another daemon accepted for this one, or handed over."""
        self._remember(self.submissions, record.name, self.ports.decode(body))
        self.texts.decode(texts)
        log_message(message_type="batch:handed", batch=record.name)
        self.mirror.put(record)
        self._follow_heads()

    async def _create(self, key: str, value: bytes) -> None:
        try:
            await self.ports.store.put(key, value, 0)
        except StoreConflictError:
            return  # the name holds a digest: the same bytes are there
        except StoreError as error:
            if error.outcome is Outcome.UNKNOWN:
                await anyio.sleep(ACCEPT_RETRY_S)
                await self._create(key, value)
                return
            raise _refused(error) from error

    async def _commit(self, batch_id: str, head: BatchHead, submission: Submission) -> None:
        """Create the head; an unanswered create is tried until it is known what became of it."""
        unknown = False
        while True:
            try:
                version = await self.ports.store.put(f"{KIND_HEADS}/{batch_id}", head.encode(), 0)
            except StoreConflictError:
                record = await self._read_head(batch_id)
                if record is None:
                    continue
                self._check_same(batch_id, head.customer, head.digest, record.value)
                return
            except StoreError as error:
                if error.outcome is Outcome.NOT_RUN and not unknown:
                    raise _refused(error) from error
                unknown |= error.outcome is not Outcome.NOT_RUN
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            log_message(
                message_type="batch:accepted",
                batch=batch_id,
                customer=head.customer,
                items=head.total,
                revision=version,
            )
            self._remember(self.submissions, batch_id, submission)
            self.mirror.put(Record(batch_id, version, orjson.loads(head.encode())))
            return

    def _check_same(self, batch_id: str, customer: str, digest: str, value: Any) -> None:
        head = BatchHead.from_value(value)
        if head.customer != customer or head.digest != digest:
            raise BadRequestError("another batch has this id", step=Step.ADMIT, status=409)
        log_message(message_type="batch:accepted_before", batch=batch_id, owner=head.owner)

    async def results(self, batch_id: str, customer: str, after: int, wait_s: float) -> Page:
        """Return results from a position on; waits until there is one. Raise AcaciarillError."""
        clock = self.ports.runner.clock
        until = clock() + wait_s
        while True:
            head = await self._head(batch_id, customer)
            page = await self._page(batch_id, head, after, max(0.0, until - clock()))
            if page.results or after >= page.total or clock() >= until:
                return page
            await anyio.sleep(min(READ_RETRY_S, max(0.0, until - clock())))

    async def own_results(self, batch_id: str, after: int, wait_s: float) -> Page:
        """Return results of an owned batch; raise RefusedError when it is not owned here."""
        runner = self.runners.get(batch_id)
        if runner is None or after > len(runner.log.results):
            raise RefusedError("not the owner", step=Step.FORWARD, code="not-owner")
        with anyio.move_on_after(wait_s):
            while len(runner.log.results) <= after < runner.head.total:
                await runner.log.grown.wait()
        return runner.log.page(runner.head.total, after)

    async def _page(self, batch_id: str, head: BatchHead, after: int, wait_s: float) -> Page:
        log = self.logs.get(batch_id)
        if log is not None and len(log.results) > after:
            return log.page(head.total, after)
        if batch_id in self.runners and after <= len(self.runners[batch_id].log.results):
            return await self.own_results(batch_id, after, wait_s)
        owner = self.ports.members.members.get(head.owner)
        if owner is not None and head.owner != self.name and owner.failed_since is None:
            try:
                with anyio.fail_after(wait_s + READ_GRACE_S):
                    return await self.ports.read_at_owner(owner.address, batch_id, after, wait_s)
            except (PeerError, TimeoutError) as error:
                log_message(message_type="batch:owner_silent", batch=batch_id, reason=str(error))
        if log is None:
            log = ResultLog(batch_id, self.ports.store)
            self._remember(self.logs, batch_id, log)
        await log.load()
        return log.page(head.total, after)

    async def item_body(self, batch_id: str, customer: str, item_id: str) -> bytes:
        """Return the body of an item; raise NotFoundError, StoreError."""
        head = await self._head(batch_id, customer)
        submission = await self._submission(batch_id, head)
        for item in submission.items:
            if item.id == item_id:
                return item.body
        raise NotFoundError("no such item", step=Step.ROUTE)

    async def end(self, batch_id: str, customer: str) -> None:
        """End a batch for good; raise AcaciarillError."""
        with anyio.move_on_after(END_LIMIT_S):
            while True:
                head = await self._head(batch_id, customer)
                if head.ended:
                    return
                record = self.mirror.records[batch_id]
                if await self._update(batch_id, record, replace(head, ended=True)):
                    return
        raise StoreError("the end could not be settled", step=Step.STORE, status=504)

    async def _update(self, batch_id: str, record: Record, head: BatchHead) -> bool:
        """Replace a head if it is still the known one; tell whether it is replaced."""
        try:
            version = await self.ports.store.put(
                f"{KIND_HEADS}/{batch_id}", head.encode(), record.version
            )
        except StoreConflictError:
            await self._read_head(batch_id)
            return False
        except StoreError as error:
            log_message(message_type="batch:update_failed", batch=batch_id, reason=error.message)
            await anyio.sleep(ACCEPT_RETRY_S)
            return False
        self.mirror.put(Record(batch_id, version, orjson.loads(head.encode())))
        return True

    async def _head(self, batch_id: str, customer: str) -> BatchHead:
        record = self.mirror.records.get(batch_id)
        if record is None:
            record = await self._read_head(batch_id)
        if record is None:
            raise NotFoundError("no such batch", step=Step.ROUTE)
        head = BatchHead.from_value(record.value)
        if head.customer != customer:
            raise NotFoundError("no such batch", step=Step.AUTHENTICATE)
        return head

    async def _read_head(self, batch_id: str) -> Record | None:
        found = await self.ports.store.get(f"{KIND_HEADS}/{batch_id}")
        if found is None:
            return None
        record = Record(batch_id, found[1], orjson.loads(found[0]))
        self.mirror.put(record)
        return self.mirror.records[batch_id]

    async def _submission(self, batch_id: str, head: BatchHead) -> Submission:
        known = self.submissions.get(batch_id)
        if known is not None:
            return known
        submission = self.ports.decode(await self._body(batch_id, head))
        self._remember(self.submissions, batch_id, submission)
        return submission

    def _remember(self, kept: OrderedDict[str, Any], key: str, value: Any) -> None:
        kept[key] = value
        while len(kept) > KEPT_LOGS:
            kept.popitem(last=False)

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
            fresh = batch_id in self.submissions and batch_id not in self.runners
            if fresh and head.owner == self.name and not head.ended and not self.draining:
                self._start(batch_id, head, self.submissions[batch_id])

    def _start(self, batch_id: str, head: BatchHead, submission: Submission) -> None:
        log = ResultLog(batch_id, self.ports.store)
        runner = BatchRunner(batch_id, head, submission, log, self.ports.runner, self.texts)
        self.runners[batch_id] = runner
        self.logs.pop(batch_id, None)
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

    async def poll(self) -> None:
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
        return self.ports.members.succeeds(head.owner)

    async def _claim(self, batch_id: str, record: Record, head: BatchHead) -> None:
        if batch_id in self.claiming:
            return
        self.claiming.add(batch_id)
        try:
            submission = await self._submission(batch_id, head)
            claimed = replace(head, owner=self.name, epoch=head.epoch + 1)
            if await self._update(batch_id, record, claimed):
                log_message(
                    message_type="batch:claimed",
                    batch=batch_id,
                    former=head.owner,
                    epoch=claimed.epoch,
                )
                self._remember(self.submissions, batch_id, submission)
                self._follow_heads()
        except StoreError as error:
            log_message(message_type="batch:claim_failed", batch=batch_id, reason=error.message)
        finally:
            self.claiming.discard(batch_id)

    async def _delete(self, batch_id: str, head: BatchHead) -> None:
        if head.owner != self.name and not self.ports.members.succeeds(head.owner):
            return
        log = ResultLog(batch_id, self.ports.store)
        try:
            await log.load()
            await log.delete()
            for index in range(head.parts):
                await self.ports.store.delete(_part_key(batch_id, head.digest, index))
            await self.ports.store.delete(f"{KIND_HEADS}/{batch_id}")
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
            if await self._update(batch_id, record, replace(head, owner=owner)):
                texts = self.texts.encode(runner.submission.items)
                await self._hand(batch_id, await self._body(batch_id, head), texts)

    async def _body(self, batch_id: str, head: BatchHead) -> bytes:
        parts = []
        for index in range(head.parts):
            found = await self.ports.store.get(_part_key(batch_id, head.digest, index))
            if found is None:
                raise StoreError("a part of the batch is missing", step=Step.STORE)
            parts.append(orjson.loads(found[0]))
        return "".join(parts).encode()


def _part_key(batch_id: str, digest: str, index: int) -> str:
    return f"{KIND_PARTS}/{batch_id}.{digest}.{index}"


def _refused(error: StoreError) -> RefusedError:
    return RefusedError(
        "the object store takes no batch now", step=error.step, peer=error.peer, retry_after_s=0.5
    )
