"""Know the head of every batch and what was submitted with it."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import anyio
import orjson
from eliot import log_message

from ..errors import AcaciarillError, Outcome, Step, StoreConflictError, StoreError
from ..mirrors import Mirror, Record
from ._log import ObjectAccess
from ._model import BatchHead, Submission
from .const import ACCEPT_RETRY_S, KEPT_LOGS, KIND_HEADS, KIND_PARTS


class NotFoundError(AcaciarillError):
    """Report a batch or an item that does not exist for this customer."""

    code = "not-found"
    status = 404
    outcome = Outcome.NOT_RUN


class BatchHeads:
    """Read and conditionally replace heads; what was submitted is kept for a while."""

    def __init__(
        self, mirror: Mirror, store: ObjectAccess, decode: Callable[[bytes], Submission]
    ) -> None:
        self.mirror = mirror
        self.store = store
        self.decode = decode
        self.submissions: OrderedDict[str, Submission] = OrderedDict()

    async def find(self, batch_id: str, customer: str) -> BatchHead:
        """Return a customer's batch; raise NotFoundError, StoreError."""
        record = self.mirror.records.get(batch_id)
        if record is None:
            record = await self.read(batch_id)
        if record is None:
            raise NotFoundError("no such batch", step=Step.ROUTE)
        head = BatchHead.from_value(record.value)
        if head.customer != customer:
            raise NotFoundError("no such batch", step=Step.AUTHENTICATE)
        return head

    async def read(self, batch_id: str) -> Record | None:
        """Return a head as the store has it now, or None; raise StoreError."""
        found = await self.store.get(f"{KIND_HEADS}/{batch_id}")
        if found is None:
            return None
        record = Record(batch_id, found[1], orjson.loads(found[0]))
        self.mirror.put(record)
        return self.mirror.records[batch_id]

    async def update(self, batch_id: str, record: Record, head: BatchHead) -> bool:
        """Replace a head if it is still the known one; tell whether it is replaced."""
        try:
            version = await self.store.put(
                f"{KIND_HEADS}/{batch_id}", head.encode(), record.version
            )
        except StoreConflictError:
            await self.read(batch_id)
            return False
        except StoreError as error:
            log_message(message_type="batch:update_failed", batch=batch_id, reason=error.message)
            await anyio.sleep(ACCEPT_RETRY_S)
            return False
        self.mirror.put(Record(batch_id, version, orjson.loads(head.encode())))
        return True

    async def submission(self, batch_id: str, head: BatchHead) -> Submission:
        """Return what was submitted with a batch; raise StoreError."""
        known = self.submissions.get(batch_id)
        if known is not None:
            return known
        submission = self.decode(await self.body(batch_id, head))
        self.remember(batch_id, submission)
        return submission

    def remember(self, batch_id: str, submission: Submission) -> None:
        """Keep what was submitted, and forget what has not been used for longest."""
        remember(self.submissions, batch_id, submission)

    async def body(self, batch_id: str, head: BatchHead) -> bytes:
        """Return what was submitted as bytes; raise StoreError."""
        parts = []
        for index in range(head.parts):
            found = await self.store.get(part_key(batch_id, head.digest, index))
            if found is None:
                raise StoreError("a part of the batch is missing", step=Step.STORE)
            parts.append(orjson.loads(found[0]))
        return "".join(parts).encode()


def remember(kept: OrderedDict[str, Any], key: str, value: Any) -> None:
    """Keep a value under a key, and only so many values in all."""
    kept[key] = value
    while len(kept) > KEPT_LOGS:
        kept.popitem(last=False)


def part_key(batch_id: str, digest: str, index: int) -> str:
    """Return the key of one part of what was submitted."""
    return f"{KIND_PARTS}/{batch_id}.{digest}.{index}"
