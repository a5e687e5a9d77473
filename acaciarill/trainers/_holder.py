"""Hold groups of samples: generate, score and keep them until they are delivered."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from uuid import uuid4

import anyio
import anyio.abc
import orjson
from eliot import log_message

from ..callers import Admission, Paces, cache_salt
from ..config import ConfigCoordinator
from ..errors import AcaciarillError, BadRequestError, Step, UpstreamError
from ..peers import messages
from ..scorers import ScorerClient
from ..telemetry import Telemetry
from ..upstreams import Dispatcher, RetryBudget, UpstreamRequest
from ..upstreams.const import AFFINITY_PREFIX_CHARACTERS
from ..usage import UsageCounter
from ._stragglers import AttemptRace, WholeAnswer, patience_s
from .const import (
    BYTES_PER_TOKEN,
    CODE_STEP_DIFFERS,
    GENERATION_RETRY_MAX_S,
    GENERATION_RETRY_S,
    GENERATION_TIMEOUT_S,
    GENERATIONS_AT_ONCE,
    GROUP_IDLE_S,
    SAMPLE_PRIORITY,
    SECOND_ATTEMPT_LIMIT,
    SECOND_ATTEMPT_RESERVE,
    SECOND_ATTEMPT_SHARE,
)


@dataclass(slots=True, frozen=True)
class StepKey:
    """Name a step of one customer's trainer."""

    customer: str
    trainer: str
    step: str

    def __str__(self) -> str:
        return f"{self.customer}/{self.trainer}/{self.step}"


@dataclass(slots=True)
class HeldGroup:
    """Hold one group; a copy has its prompt only and does not generate."""

    key: StepKey
    digest: str
    model: str
    spec: Any
    generates: bool
    touched_at: float
    samples: dict[int, Any] = field(default_factory=dict)
    delivered: int = 0
    started: set[int] = field(default_factory=set)

    def missing(self) -> list[int]:
        """Return the indexes that still need a generation."""
        return [
            index
            for index in range(self.spec.samples)
            if index not in self.started and not self.delivered >> index & 1
        ]


def stale(sample: Any, weight_version: int, staleness_bound: int) -> bool:
    """Tell whether any span of a sample is older than the bound allows."""
    return min(span.version for span in sample.spans) < weight_version - staleness_bound


class SampleHolder:
    """Run generations for held groups, longest expected first, within a memory bound."""

    def __init__(
        self,
        config: ConfigCoordinator,
        dispatcher: Dispatcher,
        scorers: ScorerClient,
        usage: UsageCounter,
        telemetry: Telemetry,
        clock: Callable[[], float],
        admission: Admission,
        memory_bytes: int,
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        self.config = config
        self.dispatcher = dispatcher
        self.scorers = scorers
        self.usage = usage
        self.telemetry = telemetry
        self.clock = clock
        self.admission = admission
        self.memory_bytes = memory_bytes
        self.task_group = task_group
        self.groups: dict[tuple[StepKey, int], HeldGroup] = {}
        self.running = 0
        self.held_bytes: dict[str, int] = {}
        self.draining = False
        self.paces = Paces()
        self.second_attempts = RetryBudget(
            SECOND_ATTEMPT_SHARE, SECOND_ATTEMPT_RESERVE, SECOND_ATTEMPT_LIMIT
        )

    async def on_hold(self, message: Any) -> dict[str, Any]:
        """Take groups to hold; the same groups again change nothing."""
        key = StepKey(message.customer, message.trainer, message.step)
        for spec in message.groups:
            held = self.groups.get((key, spec.group))
            if held is not None and held.digest != message.digest:
                raise _other_step()
        for spec in message.groups:
            self._hold(key, message, spec)
        for bitmap in message.delivered or []:
            held = self.groups[key, bitmap.group]
            self._note_delivered(held, int.from_bytes(bitmap.delivered, "little"))
        self._pump()
        return {"hold_reply": messages.HoldReply(accepted=True, code="")}

    def _hold(self, key: StepKey, message: Any, spec: Any) -> None:
        held = self.groups.get((key, spec.group))
        if held is None:
            held = HeldGroup(
                key, message.digest, message.model, spec, message.generate, self.clock()
            )
            self.groups[key, spec.group] = held
        held.generates = held.generates or message.generate
        for sample in message.finished or []:
            if sample.group != spec.group:
                continue
            if sample.index not in held.samples and not held.delivered >> sample.index & 1:
                held.started.add(sample.index)
                self._keep(held, sample)

    async def on_gather(self, message: Any) -> dict[str, Any]:
        """Return finished samples that the trainer lacks, and what is known of each group."""
        key = StepKey(message.customer, message.trainer, message.step)
        reply = messages.GatherReply(samples=[], generating=[], copies=[])
        for wanted in message.groups:
            held = self.groups.get((key, wanted.group))
            if held is None:
                continue
            if held.digest != message.digest:
                raise _other_step()
            held.touched_at = self.clock()
            self._note_delivered(held, int.from_bytes(wanted.delivered, "little"))
            self._drop_stale(held, message.weight_version, message.staleness_bound)
            if message.promote and not held.generates:
                log_message(message_type="samples:promoted", step=str(key), group=wanted.group)
                held.generates = True
            (reply.generating if held.generates else reply.copies).append(wanted.group)
            room = message.limit - len(reply.samples)
            reply.samples += list(held.samples.values())[:room]
        self._pump()
        return {"gather_reply": reply}

    def _note_delivered(self, held: HeldGroup, delivered: int) -> None:
        held.delivered |= delivered
        for index in list(held.samples):
            if held.delivered >> index & 1:
                self._drop(held, index)

    def _drop_stale(self, held: HeldGroup, weight_version: int, bound: int) -> None:
        """Generate again what would be too old when handed over now."""
        for index, sample in list(held.samples.items()):
            if stale(sample, weight_version, bound):
                self._drop(held, index)
                held.started.discard(index)
                self.telemetry.samples.add(1, {"customer": held.key.customer, "end": "stale"})

    def _keep(self, held: HeldGroup, sample: Any) -> None:
        held.samples[sample.index] = sample
        customer = held.key.customer
        self.held_bytes[customer] = self.held_bytes.get(customer, 0) + len(sample.text)

    def _drop(self, held: HeldGroup, index: int) -> None:
        sample = held.samples.pop(index)
        self.held_bytes[held.key.customer] -= len(sample.text)

    def _pump(self) -> None:
        """Start generations while there is room, the longest expected first."""
        if self.draining:
            return
        ready = [held for held in self.groups.values() if held.generates and held.missing()]
        ready.sort(key=lambda held: -held.spec.max_tokens)
        for held in ready:
            for index in held.missing():
                if self.running >= GENERATIONS_AT_ONCE:
                    return
                expected = held.spec.max_tokens * BYTES_PER_TOKEN
                if self.held_bytes.get(held.key.customer, 0) + expected > self.memory_bytes:
                    break
                held.started.add(index)
                self.running += 1
                self.task_group.start_soon(self._produce, held, index)

    async def _produce(self, held: HeldGroup, index: int) -> None:
        """Generate and score one sample, trying again until it is whole or not wanted."""
        backoff_s = GENERATION_RETRY_S
        try:
            while not self.draining and (held.key, held.spec.group) in self.groups:
                try:
                    sample = await self._generate(held, index)
                    sample.score = await self._score(held, sample)
                except AcaciarillError as error:
                    log_message(
                        message_type="samples:attempt_failed",
                        step=str(held.key),
                        code=error.code,
                        peer=error.peer,
                    )
                    await anyio.sleep(backoff_s)
                    backoff_s = min(GENERATION_RETRY_MAX_S, backoff_s * 2)
                    continue
                self._accept(held, sample)
                return
            held.started.discard(index)
        finally:
            self.running -= 1
            self._pump()

    def _accept(self, held: HeldGroup, sample: Any) -> None:
        """Keep a sample unless its slot is served, and count it."""
        if held.delivered >> sample.index & 1 or sample.index in held.samples:
            return
        self._keep(held, sample)
        self.usage.count(held.key.customer, 1, sum(span.tokens for span in sample.spans))
        self.telemetry.samples.add(1, {"customer": held.key.customer, "end": "generated"})

    async def _generate(self, held: HeldGroup, index: int) -> Any:
        """Return one sample; a straggler gets a second attempt, and the slower one is cancelled."""
        customer = held.key.customer
        tokens = held.spec.max_tokens
        await self.admission.acquire(held.model, customer, tokens, GENERATION_TIMEOUT_S)
        try:
            race = AttemptRace(self.dispatcher, lambda: patience_s(self.paces, held.model, tokens))
            requests = [self._new_request(held) for _ in range(2)]
            answer, seconds = await race.run(requests, self.second_attempts.try_withdraw)
            sample = self._read_sample(held, index, answer)
        finally:
            self.admission.release(held.model, customer)
        self.paces.observe(held.model, tokens, seconds)
        self.second_attempts.deposit()
        return sample

    def _new_request(self, held: HeldGroup) -> UpstreamRequest:
        salt = cache_salt(held.key.customer)
        body = {
            "prompt": held.spec.prompt,
            "max_tokens": held.spec.max_tokens,
            "priority": SAMPLE_PRIORITY,
            "cache_salt": salt,
        }
        return UpstreamRequest(
            request_id=uuid4().hex[:16],
            customer=held.key.customer,
            target=held.model,
            method="POST",
            path="/generate",
            headers=[(b"content-type", b"application/json")],
            body=orjson.dumps(body),
            deadline=self.clock() + GENERATION_TIMEOUT_S,
            idempotent=True,
            affinity=salt + held.spec.prompt[:AFFINITY_PREFIX_CHARACTERS],
        )

    def _read_sample(self, held: HeldGroup, index: int, answer: WholeAnswer) -> Any:
        """Return a sample only when its text and its weight versions are surely known."""
        closing = answer.closing
        spans = closing.get("spans") or []
        tokens = closing.get("tokens", 0)
        whole = (
            answer.status == 200
            and closing.get("done")
            and closing.get("request_id") == answer.attempt_id
            and sum(span["tokens"] for span in spans) == tokens > 0
        )
        if not whole:
            raise _not_whole(answer.upstream)
        return messages.Sample(
            group=held.spec.group,
            index=index,
            text=closing["text"],
            spans=[messages.VersionSpan(**span) for span in spans],
            score=0.0,
            sample_id=closing["request_id"],
        )

    async def _score(self, held: HeldGroup, sample: Any) -> float:
        model = self.config.document.models.get(held.model)
        if model is None or not model.scorer:
            return 0.0
        return await self.scorers.score(model.scorer, sample.sample_id, sample.text)

    async def expire(self) -> None:
        """Forget groups that no pull has asked for within the retention period."""
        horizon = self.clock() - GROUP_IDLE_S
        for name, held in list(self.groups.items()):
            finished = held.delivered.bit_count() >= held.spec.samples
            if finished or held.touched_at < horizon:
                for index in list(held.samples):
                    self._drop(held, index)
                del self.groups[name]


def _other_step() -> BadRequestError:
    return BadRequestError(
        "a step of this name with other contents was submitted before",
        step=Step.ADMIT,
        code=CODE_STEP_DIFFERS,
        status=409,
    )


def _not_whole(peer: str) -> UpstreamError:
    return UpstreamError("the generation is not whole", step=Step.RECEIVE, peer=peer)
