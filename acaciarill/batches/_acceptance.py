"""Accept batches durably, each once, and end them."""

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
import orjson
from eliot import log_message

from ..errors import (
    BadRequestError,
    Outcome,
    RefusedError,
    Step,
    StoreConflictError,
    StoreError,
)
from ..mirrors import Record
from ._heads import BatchHeadStore, part_key
from ._model import BatchHead, Submission
from ._submission_limits import SubmissionLimits, count_values, open_bytes
from .const import (
    ACCEPT_TIMEOUT_S,
    DEFAULT_RETENTION_S,
    END_TIMEOUT_S,
    KIND_HEADS,
    MAX_PART_CHARACTERS,
    RETRY_AFTER_ROOM_S,
    WRITE_RETRY_DELAY_S,
)


class Acceptance:
    """Write the parts of a batch and then its head, whose creation accepts the batch."""

    def __init__(
        self,
        heads: BatchHeadStore,
        choose_owner: Callable[[str, str], str],
        send_to_owner: Callable[[str, bytes, bytes], Awaitable[None]],
        wall_clock: Callable[[], float],
        on_accepted: Callable[[str], None],
        limits: SubmissionLimits | None = None,
        retention_s: float = DEFAULT_RETENTION_S,
    ) -> None:
        self.limits = limits or SubmissionLimits()
        self.retention_s = retention_s
        self.on_accepted = on_accepted
        self.heads = heads
        self.choose_owner = choose_owner
        self.send_to_owner = send_to_owner
        self.wall_clock = wall_clock

    async def accept(
        self,
        batch_id: str,
        customer: str,
        host: str,
        path: str,
        body: bytes,
        configuration: int,
    ) -> None:
        """Accept a batch once, under a version of the configuration; raise AcaciarillError.

        The error's outcome is NOT_RUN only if the head was certainly not written.
        """
        if count_values(body) > self.limits.max_values:
            raise BadRequestError(
                f"batch has more than {self.limits.max_values} values",
                step=Step.PARSE,
                status=413,
                code="too-many-values",
            )
        submission = self.heads.decode_submission(body)
        digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        if batch_id in self.heads.mirror.records:
            self._check_duplicate(
                batch_id, customer, digest, self.heads.mirror.records[batch_id].value
            )
            return
        owner = self.choose_owner(customer, path)
        self._check_room(owner, body)
        # Slices of ASCII bytes are those of the text, so no decoded copy of them is kept.
        text = body if body.isascii() else body.decode()
        head = BatchHead(
            customer=customer,
            host=host,
            path=path,
            submitted_at=self.wall_clock(),
            total=len(submission.items),
            parts=-(-len(text) // MAX_PART_CHARACTERS),
            digest=digest,
            owner=owner,
            configuration=configuration,
        )
        with anyio.move_on_after(ACCEPT_TIMEOUT_S):
            for index in range(head.parts):
                start = index * MAX_PART_CHARACTERS
                part = text[start : start + MAX_PART_CHARACTERS]
                value = orjson.dumps(part if isinstance(part, str) else part.decode())
                await self._store_part(part_key(batch_id, digest, index), value)
            await self._create_head(batch_id, head, submission)
            await self.send_to_owner(batch_id, body, b"[]")
            return
        raise StoreError("timed out while accepting the batch", step=Step.STORE, status=504)

    def _check_room(self, owner: str, body: bytes) -> None:
        """Raise RefusedError if the owner holds too much of other open batches."""
        heads = []
        for record in self.heads.mirror.records.values():
            heads.append(BatchHead.from_value(record.value))
        held_bytes = open_bytes(heads, owner, self.retention_s, self.wall_clock())
        if held_bytes and held_bytes + len(body) > self.limits.total_bytes:
            raise RefusedError(
                "the open batches of the trainer's owner leave no room for another one",
                step=Step.ADMIT,
                peer=owner,
                retry_after_s=RETRY_AFTER_ROOM_S,
            )

    async def _store_part(self, key: str, value: bytes) -> None:
        try:
            await self.heads.store.put(key, value, 0)
        except StoreConflictError:
            return  # the key contains a digest, so the stored bytes are the same
        except StoreError as error:
            if error.outcome is Outcome.UNKNOWN:
                await anyio.sleep(WRITE_RETRY_DELAY_S)
                await self._store_part(key, value)
                return
            raise _refused_error(error) from error

    async def _create_head(self, batch_id: str, head: BatchHead, submission: Submission) -> None:
        """Create the head; retry a create of unknown outcome until the outcome is known."""
        may_be_stored = False
        while True:
            try:
                version = await self.heads.store.put(f"{KIND_HEADS}/{batch_id}", head.encode(), 0)
            except StoreConflictError:
                record = await self.heads.read(batch_id)
                if record is None:
                    continue
                self._check_duplicate(batch_id, head.customer, head.digest, record.value)
                return
            except StoreError as error:
                if error.outcome is Outcome.NOT_RUN and not may_be_stored:
                    raise _refused_error(error) from error
                may_be_stored |= error.outcome is not Outcome.NOT_RUN
                await anyio.sleep(WRITE_RETRY_DELAY_S)
                continue
            log_message(
                message_type="batch:accepted",
                batch=batch_id,
                customer=head.customer,
                items=head.total,
                revision=version,
            )
            self.heads.cache_submission(batch_id, submission)
            self.on_accepted(batch_id)
            self.heads.mirror.put(Record(batch_id, version, orjson.loads(head.encode())))
            return

    def _check_duplicate(self, batch_id: str, customer: str, digest: str, value: Any) -> None:
        head = BatchHead.from_value(value)
        if head.customer != customer or head.digest != digest:
            raise BadRequestError("another batch already has this id", step=Step.ADMIT, status=409)
        log_message(message_type="batch:already_accepted", batch=batch_id, owner=head.owner)

    async def end(self, batch_id: str, customer: str) -> None:
        """End a batch permanently; raise AcaciarillError."""
        with anyio.move_on_after(END_TIMEOUT_S):
            while True:
                head = await self.heads.find(batch_id, customer)
                if head.ended:
                    return
                record = self.heads.mirror.records[batch_id]
                if await self.heads.update(batch_id, record, replace(head, ended=True)):
                    return
        raise StoreError("timed out while ending the batch", step=Step.STORE, status=504)


def _refused_error(error: StoreError) -> RefusedError:
    return RefusedError(
        "the object store refused the batch", step=error.step, peer=error.peer, retry_after_s=0.5
    )
