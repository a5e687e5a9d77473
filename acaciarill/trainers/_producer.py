"""Generate and score the samples of this daemon's groups; buffer them until delivery."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from uuid import uuid4

import anyio
import anyio.abc
import orjson
from eliot import log_message

from ..callers import Admission, DurationEstimator, cache_salt
from ..config import ConfigCoordinator
from ..errors import AcaciarillError, BadRequestError, Step, UpstreamError
from ..peers import messages
from ..scorers import ScorerClient
from ..telemetry import Telemetry
from ..untrusted_json import require_integer, require_list, require_object, require_string
from ..upstreams import Dispatcher, RetryBudget, UpstreamRequest, generation_limit_bytes
from ..upstreams.const import AFFINITY_PREFIX_CHARACTERS
from ..usage import UsageCounter
from ._stragglers import GenerationResponse, HedgedGeneration, hedge_delay_s
from .const import (
    CODE_STEP_DIFFERS,
    ESTIMATED_BYTES_PER_TOKEN,
    GENERATION_BACKOFF_INITIAL_S,
    GENERATION_BACKOFF_MAX_S,
    GENERATION_TIMEOUT_S,
    GROUP_IDLE_TIMEOUT_S,
    HEDGE_BUDGET_INITIAL,
    HEDGE_BUDGET_MAX,
    HEDGE_BUDGET_PER_SAMPLE,
    MAX_CONCURRENT_GENERATIONS,
    SAMPLE_PRIORITY,
)


@dataclass(slots=True, frozen=True)
class StepKey:
    """Identify a training step of one trainer of a customer."""

    customer: str
    trainer: str
    step: str

    def __str__(self) -> str:
        return f"{self.customer}/{self.trainer}/{self.step}"


@dataclass(slots=True)
class GroupState:
    """Hold the state of one group; a copy has the prompt only and generates nothing."""

    key: StepKey
    digest: str
    model: str
    spec: Any
    generates: bool
    last_requested_at: float
    samples: dict[int, Any] = field(default_factory=dict)
    delivered: int = 0
    started_indexes: set[int] = field(default_factory=set)

    def unstarted_indexes(self) -> list[int]:
        """Return the sample indexes that are neither started nor delivered."""
        return [
            index
            for index in range(self.spec.samples)
            if index not in self.started_indexes and not self.delivered >> index & 1
        ]


def is_stale(sample: Any, weight_version: int, staleness_bound: int) -> bool:
    """Return whether any span of a sample is older than the staleness bound allows."""
    return min(span.version for span in sample.spans) < weight_version - staleness_bound


class SampleProducer:
    """Run the generations of this daemon's groups, within a memory limit for each customer."""

    def __init__(
        self,
        config: ConfigCoordinator,
        dispatcher: Dispatcher,
        scorers: ScorerClient,
        usage: UsageCounter,
        telemetry: Telemetry,
        clock: Callable[[], float],
        admission: Admission,
        buffer_limit_bytes: int,
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        self.config = config
        self.dispatcher = dispatcher
        self.scorers = scorers
        self.usage = usage
        self.telemetry = telemetry
        self.clock = clock
        self.admission = admission
        self.buffer_limit_bytes = buffer_limit_bytes
        self.task_group = task_group
        self.groups: dict[tuple[StepKey, int], GroupState] = {}
        self.running = 0
        self.buffered_bytes: dict[str, int] = {}
        self.draining = False
        self.durations = DurationEstimator()
        self.hedge_budget = RetryBudget(
            HEDGE_BUDGET_PER_SAMPLE, HEDGE_BUDGET_INITIAL, HEDGE_BUDGET_MAX
        )

    async def on_hold_groups(self, message: Any) -> dict[str, Any]:
        """Add groups to this daemon; a repeated message changes nothing."""
        key = StepKey(message.customer, message.trainer, message.step)
        for spec in message.groups:
            state = self.groups.get((key, spec.group))
            if state is not None and state.digest != message.digest:
                raise _step_conflict_error()
        for spec in message.groups:
            self._add_group(key, message, spec)
        for delivered_bitmap in message.delivered or []:
            state = self.groups[key, delivered_bitmap.group]
            self._mark_delivered(state, int.from_bytes(delivered_bitmap.delivered, "little"))
        self._start_generations()
        return {"hold_reply": messages.HoldReply(accepted=True, code="")}

    def _add_group(self, key: StepKey, message: Any, spec: Any) -> None:
        state = self.groups.get((key, spec.group))
        if state is None:
            state = GroupState(
                key, message.digest, message.model, spec, message.generate, self.clock()
            )
            self.groups[key, spec.group] = state
        state.generates = state.generates or message.generate
        for sample in message.finished or []:
            if sample.group != spec.group:
                continue
            if sample.index not in state.samples and not state.delivered >> sample.index & 1:
                state.started_indexes.add(sample.index)
                self._buffer_sample(state, sample)

    async def on_gather(self, message: Any) -> dict[str, Any]:
        """Return finished, undelivered samples, and which groups are generated here or copies."""
        key = StepKey(message.customer, message.trainer, message.step)
        reply = messages.GatherReply(samples=[], generating=[], copies=[])
        for requested in message.groups:
            state = self.groups.get((key, requested.group))
            if state is None:
                continue
            if state.digest != message.digest:
                raise _step_conflict_error()
            state.last_requested_at = self.clock()
            self._mark_delivered(state, int.from_bytes(requested.delivered, "little"))
            self._discard_stale(state, message.weight_version, message.staleness_bound)
            if message.promote and not state.generates:
                log_message(message_type="samples:promoted", step=str(key), group=requested.group)
                state.generates = True
            (reply.generating if state.generates else reply.copies).append(requested.group)
            sample_limit = message.limit - len(reply.samples)
            reply.samples += list(state.samples.values())[:sample_limit]
        self._start_generations()
        return {"gather_reply": reply}

    def _mark_delivered(self, state: GroupState, delivered: int) -> None:
        state.delivered |= delivered
        for index in list(state.samples):
            if state.delivered >> index & 1:
                self._remove_sample(state, index)

    def _discard_stale(self, state: GroupState, weight_version: int, staleness_bound: int) -> None:
        """Discard samples that would be stale on delivery, so that they are generated again."""
        for index, sample in list(state.samples.items()):
            if is_stale(sample, weight_version, staleness_bound):
                self._remove_sample(state, index)
                state.started_indexes.discard(index)
                self.telemetry.samples.add(1, {"customer": state.key.customer, "end": "stale"})

    def _buffer_sample(self, state: GroupState, sample: Any) -> None:
        state.samples[sample.index] = sample
        customer = state.key.customer
        self.buffered_bytes[customer] = self.buffered_bytes.get(customer, 0) + len(sample.text)

    def _remove_sample(self, state: GroupState, index: int) -> None:
        sample = state.samples.pop(index)
        self.buffered_bytes[state.key.customer] -= len(sample.text)

    def _start_generations(self) -> None:
        """Start generations up to the limits, groups with the most tokens first."""
        if self.draining:
            return
        startable = [
            state for state in self.groups.values() if state.generates and state.unstarted_indexes()
        ]
        startable.sort(key=lambda state: -state.spec.max_tokens)
        for state in startable:
            for index in state.unstarted_indexes():
                if self.running >= MAX_CONCURRENT_GENERATIONS:
                    return
                expected_bytes = state.spec.max_tokens * ESTIMATED_BYTES_PER_TOKEN
                if (
                    self.buffered_bytes.get(state.key.customer, 0) + expected_bytes
                    > self.buffer_limit_bytes
                ):
                    break
                state.started_indexes.add(index)
                self.running += 1
                self.task_group.start_soon(self._run_generation, state, index)

    async def _run_generation(self, state: GroupState, index: int) -> None:
        """Generate and score one sample; retry until success, removal of the group or draining."""
        backoff_s = GENERATION_BACKOFF_INITIAL_S
        try:
            while not self.draining and (state.key, state.spec.group) in self.groups:
                try:
                    sample = await self._generate(state, index)
                    sample.score = await self._score(state, sample)
                except AcaciarillError as error:
                    log_message(
                        message_type="samples:generation_failed",
                        step=str(state.key),
                        code=error.code,
                        peer=error.peer,
                    )
                    await anyio.sleep(backoff_s)
                    backoff_s = min(GENERATION_BACKOFF_MAX_S, backoff_s * 2)
                    continue
                self._accept_sample(state, sample)
                return
            state.started_indexes.discard(index)
        finally:
            self.running -= 1
            self._start_generations()

    def _accept_sample(self, state: GroupState, sample: Any) -> None:
        """Buffer and count a sample unless its index was delivered or buffered before."""
        if state.delivered >> sample.index & 1 or sample.index in state.samples:
            return
        self._buffer_sample(state, sample)
        self.usage.count(state.key.customer, 1, sum(span.tokens for span in sample.spans))
        self.telemetry.samples.add(1, {"customer": state.key.customer, "end": "generated"})

    async def _generate(self, state: GroupState, index: int) -> Any:
        """Return one sample from a hedged generation; raise AcaciarillError."""
        customer = state.key.customer
        tokens = state.spec.max_tokens
        await self.admission.acquire(state.model, customer, tokens, GENERATION_TIMEOUT_S)
        try:
            hedged = HedgedGeneration(
                self.dispatcher, lambda: hedge_delay_s(self.durations, state.model, tokens)
            )
            requests = [self._new_request(state) for _ in range(2)]
            response, duration_s = await hedged.run(requests, self.hedge_budget.try_withdraw)
            sample = self._read_sample(state, index, response)
        finally:
            self.admission.release(state.model, customer)
        self.durations.observe(state.model, tokens, duration_s)
        self.hedge_budget.deposit()
        return sample

    def _new_request(self, state: GroupState) -> UpstreamRequest:
        salt = cache_salt(state.key.customer)
        body = {
            "prompt": state.spec.prompt,
            "max_tokens": state.spec.max_tokens,
            "priority": SAMPLE_PRIORITY,
            "cache_salt": salt,
        }
        return UpstreamRequest(
            request_id=uuid4().hex[:16],
            customer=state.key.customer,
            target=state.model,
            method="POST",
            path="/generate",
            headers=[(b"content-type", b"application/json")],
            body=orjson.dumps(body),
            deadline=self.clock() + GENERATION_TIMEOUT_S,
            idempotent=True,
            affinity=salt + state.spec.prompt[:AFFINITY_PREFIX_CHARACTERS],
            max_response_bytes=generation_limit_bytes(state.spec.max_tokens),
        )

    def _read_sample(self, state: GroupState, index: int, response: GenerationResponse) -> Any:
        """Return the sample; raise UpstreamError if its text or weight versions are incomplete."""
        final_record = response.final_record
        try:
            spans = [_decode_span(span) for span in require_list(final_record.get("spans", []))]
            tokens = require_integer(final_record.get("tokens", 0))
            text = require_string(final_record.get("text", ""))
        except (KeyError, TypeError, ValueError) as error:
            raise _incomplete_generation_error(response.upstream) from error
        is_complete = (
            response.status == 200
            and final_record.get("done")
            and final_record.get("request_id") == response.attempt_id
            and sum(span.tokens for span in spans) == tokens
            and 0 < tokens <= state.spec.max_tokens
        )
        if not is_complete:
            raise _incomplete_generation_error(response.upstream)
        return messages.Sample(
            group=state.spec.group,
            index=index,
            text=text,
            spans=spans,
            score=0.0,
            sample_id=response.attempt_id,
        )

    async def _score(self, state: GroupState, sample: Any) -> float:
        model = self.config.document.models.get(state.model)
        if model is None or not model.scorer:
            return 0.0
        return await self.scorers.score(model.scorer, sample.sample_id, sample.text)

    async def expire_groups(self) -> None:
        """Remove groups that are fully delivered, or in no pull for GROUP_IDLE_TIMEOUT_S."""
        idle_before = self.clock() - GROUP_IDLE_TIMEOUT_S
        for group_key, state in list(self.groups.items()):
            is_delivered = state.delivered.bit_count() >= state.spec.samples
            if is_delivered or state.last_requested_at < idle_before:
                for index in list(state.samples):
                    self._remove_sample(state, index)
                del self.groups[group_key]


def _step_conflict_error() -> BadRequestError:
    return BadRequestError(
        "a step of this name was submitted before with other contents",
        step=Step.ADMIT,
        code=CODE_STEP_DIFFERS,
        status=409,
    )


def _incomplete_generation_error(peer: str) -> UpstreamError:
    return UpstreamError("the generation response is incomplete", step=Step.RECEIVE, peer=peer)


def _decode_span(value: Any) -> Any:
    """Return the span of one weight version; raise TypeError or ValueError."""
    span = require_object(value)
    numbers = {name: require_integer(number) for name, number in span.items()}
    return messages.VersionSpan(**numbers)
