"""Make batches durable, each once, and end them."""

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
from ._heads import BatchHeads, part_key
from ._model import BatchHead, Submission
from .const import (
    ACCEPT_LIMIT_S,
    ACCEPT_RETRY_S,
    END_LIMIT_S,
    KIND_HEADS,
    PART_CHARACTERS,
)


class Acceptance:
    """Write the parts of a batch and then its head, which makes it accepted."""

    def __init__(
        self,
        heads: BatchHeads,
        choose_owner: Callable[[str, str], str],
        hand: Callable[[str, bytes, bytes], Awaitable[None]],
        true_time: Callable[[], float],
        on_accepted: Callable[[str], None],
    ) -> None:
        self.on_accepted = on_accepted
        self.heads = heads
        self.choose_owner = choose_owner
        self.hand = hand
        self.true_time = true_time

    async def accept(
        self,
        batch_id: str,
        customer: str,
        host: str,
        path: str,
        body: bytes,
        configuration: int,
    ) -> None:
        """Make a batch durable, once, under a version of the configuration.

        Raise AcaciarillError.

        The error's outcome is NOT_RUN only when the head surely was not written.
        """
        submission = self.heads.decode(body)
        text = body.decode()
        parts = [text[i : i + PART_CHARACTERS] for i in range(0, len(text), PART_CHARACTERS)]
        digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        if batch_id in self.heads.mirror.records:
            self._check_same(batch_id, customer, digest, self.heads.mirror.records[batch_id].value)
            return
        head = BatchHead(
            customer=customer,
            host=host,
            path=path,
            submitted_at=self.true_time(),
            total=len(submission.items),
            parts=len(parts),
            digest=digest,
            owner=self.choose_owner(customer, path),
            configuration=configuration,
        )
        with anyio.move_on_after(ACCEPT_LIMIT_S):
            for index, part in enumerate(parts):
                await self._create(part_key(batch_id, digest, index), orjson.dumps(part))
            await self._commit(batch_id, head, submission)
            await self.hand(batch_id, body, b"[]")
            return
        raise StoreError("acceptance could not be settled", step=Step.STORE, status=504)

    async def _create(self, key: str, value: bytes) -> None:
        try:
            await self.heads.store.put(key, value, 0)
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
                version = await self.heads.store.put(f"{KIND_HEADS}/{batch_id}", head.encode(), 0)
            except StoreConflictError:
                record = await self.heads.read(batch_id)
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
            self.heads.remember(batch_id, submission)
            self.on_accepted(batch_id)
            self.heads.mirror.put(Record(batch_id, version, orjson.loads(head.encode())))
            return

    def _check_same(self, batch_id: str, customer: str, digest: str, value: Any) -> None:
        head = BatchHead.from_value(value)
        if head.customer != customer or head.digest != digest:
            raise BadRequestError("another batch has this id", step=Step.ADMIT, status=409)
        log_message(message_type="batch:accepted_before", batch=batch_id, owner=head.owner)

    async def end(self, batch_id: str, customer: str) -> None:
        """End a batch for good; raise AcaciarillError."""
        with anyio.move_on_after(END_LIMIT_S):
            while True:
                head = await self.heads.find(batch_id, customer)
                if head.ended:
                    return
                record = self.heads.mirror.records[batch_id]
                if await self.heads.update(batch_id, record, replace(head, ended=True)):
                    return
        raise StoreError("the end could not be settled", step=Step.STORE, status=504)


def _refused(error: StoreError) -> RefusedError:
    return RefusedError(
        "the object store takes no batch now", step=error.step, peer=error.peer, retry_after_s=0.5
    )
