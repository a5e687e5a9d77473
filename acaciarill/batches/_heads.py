"""Read and update the heads of batches, and load their submissions."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import orjson
from eliot import log_message

from ..errors import AcaciarillError, Outcome, Step, StoreConflictError, StoreError
from ..mirrors import Mirror, Record
from ._log import ObjectAccess
from ._model import BatchHead, Submission
from ._submission_limits import SubmissionLimits, submission_bytes
from .const import (
    KIND_HEADS,
    KIND_PARTS,
    LOAD_TURN_TIMEOUT_S,
    MAX_CACHED_BATCHES,
    WRITE_RETRY_DELAY_S,
)


class NotFoundError(AcaciarillError):
    """Report a batch or an item that does not exist or belongs to another customer."""

    code = "not-found"
    status = 404
    outcome = Outcome.NOT_RUN


@dataclass(slots=True)
class _Load:
    """Hold the outcome of loading one submission, which all that ask for it meanwhile share."""

    finished: anyio.Event = field(default_factory=anyio.Event)
    submission: Submission | None = None
    error: StoreError | None = None


class BatchHeadStore:
    """Read heads, replace them conditionally, and cache submissions.

    Submissions are loaded one at a time: one may be as long as the memory allows.
    """

    def __init__(
        self,
        mirror: Mirror,
        store: ObjectAccess,
        decode_submission: Callable[[bytes], Submission],
        max_cached_bytes: int = SubmissionLimits().total_bytes,
        on_load: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self.on_load = on_load
        self.mirror = mirror
        self.store = store
        self.decode_submission = decode_submission
        self.max_cached_bytes = max_cached_bytes
        self.submissions: OrderedDict[str, Submission] = OrderedDict()
        self.cached_bytes = 0
        self.loads: dict[str, _Load] = {}
        self.load_turn = anyio.Lock()

    async def find(self, batch_id: str, customer: str) -> BatchHead:
        """Return the head of a customer's batch; raise NotFoundError, StoreError."""
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
        """Read a head from the store into the mirror and return it, or None; raise StoreError."""
        stored = await self.store.get(f"{KIND_HEADS}/{batch_id}")
        if stored is None:
            return None
        record = Record(batch_id, stored[1], orjson.loads(stored[0]))
        self.mirror.put(record)
        if batch_id not in self.mirror.records:
            raise StoreError("head is unreadable", step=Step.STORE, peer=batch_id)
        return self.mirror.records[batch_id]

    async def update(self, batch_id: str, record: Record, head: BatchHead) -> bool:
        """Replace a head that still has the record's version; return whether it was replaced."""
        try:
            version = await self.store.put(
                f"{KIND_HEADS}/{batch_id}", head.encode(), record.version
            )
        except StoreConflictError:
            await self.read(batch_id)
            return False
        except StoreError as error:
            log_message(message_type="batch:update_failed", batch=batch_id, reason=error.message)
            await anyio.sleep(WRITE_RETRY_DELAY_S)
            return False
        self.mirror.put(Record(batch_id, version, orjson.loads(head.encode())))
        return True

    async def load_submission(self, batch_id: str, head: BatchHead) -> Submission:
        """Return the submission of a batch, cached or from the store; raise StoreError.

        Concurrent calls for one batch share one load, also its failure.
        """
        while True:
            cached = self.submissions.get(batch_id)
            if cached is not None:
                return cached
            load = self.loads.get(batch_id)
            if load is None:
                return await self._load(batch_id, head)
            self.on_load("shared")
            await load.finished.wait()
            if load.error is not None:
                raise load.error
            if load.submission is not None:
                return load.submission
            # Whoever loaded it has given up, for example as its client left.

    async def _load(self, batch_id: str, head: BatchHead) -> Submission:
        load = self.loads[batch_id] = _Load()
        try:
            submission = self.decode_submission(await self.load_body(batch_id, head))
            self.cache_submission(batch_id, submission)
            load.submission = submission
            self.on_load("loaded")
            return submission
        except StoreError as error:
            load.error = error
            self.on_load("refused" if error.outcome is Outcome.NOT_RUN else "failed")
            raise
        finally:
            del self.loads[batch_id]
            load.finished.set()

    def cache_submission(self, batch_id: str, submission: Submission) -> None:
        """Cache a submission and evict the oldest entries."""
        if batch_id in self.submissions:
            self._evict(batch_id)
        self.submissions[batch_id] = submission
        self.cached_bytes += submission_bytes(submission)
        while len(self.submissions) > 1 and (
            len(self.submissions) > MAX_CACHED_BATCHES or self.cached_bytes > self.max_cached_bytes
        ):
            self._evict(next(iter(self.submissions)))

    def _evict(self, batch_id: str) -> None:
        self.cached_bytes -= submission_bytes(self.submissions.pop(batch_id))

    async def load_body(self, batch_id: str, head: BatchHead) -> bytes:
        """Return the submitted bytes of a batch from the store; raise StoreError."""
        with anyio.move_on_after(LOAD_TURN_TIMEOUT_S) as turn_scope:
            await self.load_turn.acquire()
        if turn_scope.cancelled_caught:
            raise StoreError(
                "other batches are being loaded", step=Step.STORE, outcome=Outcome.NOT_RUN
            )
        try:
            parts = []
            for index in range(head.parts):
                stored = await self.store.get(part_key(batch_id, head.digest, index))
                if stored is None:
                    raise StoreError("a part of the batch is missing in the store", step=Step.STORE)
                parts.append(orjson.loads(stored[0]))
            return "".join(parts).encode()
        finally:
            self.load_turn.release()


def put_bounded(cache: OrderedDict[str, Any], key: str, value: Any) -> None:
    """Add an entry to a cache and evict the oldest ones above MAX_CACHED_BATCHES."""
    cache[key] = value
    while len(cache) > MAX_CACHED_BATCHES:
        cache.popitem(last=False)


def part_key(batch_id: str, digest: str, index: int) -> str:
    """Return the object key of one part of a submission."""
    return f"{KIND_PARTS}/{batch_id}.{digest}.{index}"
