"""Run the items of one owned batch and store their results."""

import math
from collections import Counter

import anyio
from eliot import log_message

from ..errors import Step, UpstreamError
from ..fleet import (
    WRONG_RESPONSE,
    Attempt,
    Route,
    UpstreamState,
    is_event_stream,
)
from ._checkpoint import TextCheckpoint
from ._log import ResultLog
from ._model import FIRST_EPOCH, BatchHead, Item, Result, Submission
from ._runner_ports import ItemFailedError, RunnerPorts, select_priority_groups
from ._scheduler import ActiveStream, SlotRequest
from ._scoring import score_text
from ._texts import BatchTexts, GeneratedText
from .const import (
    APPEND_LINGER_S,
    CHECKPOINT_PERIOD_S,
    FAILED_RETRY_DELAY_S,
    FULL_RETRY_DELAY_S,
    MAX_APPEND_DELAY_S,
    MIN_ATTEMPT_S,
    MIN_CHECKPOINT_EVENTS,
    ROUTE_POLL_PERIOD_S,
    STATE_COMPLETED,
    STATE_FAILED,
    STOP_IDLE,
    STOP_LIMITED,
    STOP_SLOW,
    TAKEOVER_DELAY_S,
    UNLIMITED_ATTEMPT_S,
)

ATTEMPT_BROKEN = "unexpected error"
STATUS_OK = 200
STATUS_UNPROCESSABLE = 422
STATUS_SERVER_ERROR = 500


class BatchRunner:
    """Generate, score and store every item of a batch that has no stored result."""

    def __init__(
        self,
        batch_id: str,
        head: BatchHead,
        submission: Submission,
        log: ResultLog,
        ports: RunnerPorts,
        texts: BatchTexts,
        taken_over: bool = False,
    ) -> None:
        self.texts = texts
        self.checkpoint = TextCheckpoint(batch_id, log.store, texts)
        self.taken_over = taken_over
        self.restored_ids: set[str] = set()
        self.batch_id = batch_id
        self.head = head
        self.submission = submission
        self.log = log
        self.ports = ports
        self.finished_results: list[Result] = []
        self.group_finished = anyio.Event()
        self.result_finished = anyio.Event()
        self.unfinished_by_group: Counter[str] = Counter()
        self.scope = anyio.CancelScope()
        self.stopped = False
        self.unfinished_count = 0

    async def run(self) -> None:
        """Run until every item has a stored result, or `scope` is cancelled."""
        with self.scope:
            if self.head.epoch == FIRST_EPOCH:
                self.log.loaded = True  # no owner has stored a result yet
            else:
                await self.log.load()
                self.restored_ids = await self.checkpoint.load(self.submission.items)
            # Completed results of an earlier run that failed are in the log or in the text cache.
            self.finished_results.clear()
            pending = [item for item in self.submission.items if item.id not in self.log.result_ids]
            self.unfinished_count = len(pending)
            self.unfinished_by_group = Counter(item.group for item in pending)
            if not pending:
                return
            prioritized = select_priority_groups(self.submission)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._save_checkpoints, pending)
                for item in pending:
                    tasks.start_soon(self._run_item, item, item.group in prioritized)
                await self._append_results()
                tasks.cancel_scope.cancel()
            log_message(
                message_type="batch:finished", batch=self.batch_id, results=len(self.log.results)
            )

    def stop(self) -> None:
        """Cancel all attempts; engines abort a request when its connection closes."""
        self.stopped = True
        self.scope.cancel()

    def _find_route(self, host: str, path: str) -> Route | None:
        configuration = self.ports.configuration()
        return configuration.find_route(host, path) if configuration is not None else None

    def _find_batch_route(self) -> Route | None:
        return self._find_route(self.head.host, self.head.path)

    async def _batch_route(self) -> Route:
        """Return the batch's route; wait while the configuration is older than the batch.

        The end of this route is the end of its items, so raise ItemFailedError if it is gone.
        """
        while True:
            route = self._find_batch_route()
            if route is not None:
                return route
            configuration = self.ports.configuration()
            if configuration is not None and configuration.version >= self.head.configuration:
                raise ItemFailedError("the batch's route is no longer in the configuration")
            await anyio.sleep(ROUTE_POLL_PERIOD_S)

    async def _score_route(self, request_id: str, host: str, path: str) -> Route:
        """Return the route of a scoring request; wait for it until the queue time has passed.

        A text is complete by then, and the next configuration may have the route again.
        """
        route = self._find_route(host, path)
        if route is None:
            log_message(
                message_type="item:score_route_missing",
                batch=self.batch_id,
                request=request_id,
                host=host,
                path=path,
            )
        while route is None:
            await self._check_queue_time()
            await anyio.sleep(ROUTE_POLL_PERIOD_S)
            route = self._find_route(host, path)
        return route

    def _exceeds_queue_time(self, route: Route) -> bool:
        if not route.max_queue_s:
            return False
        return self.ports.wall_clock() >= self.head.submitted_at + route.max_queue_s

    def _queue_expires_at(self, route: Route) -> float:
        """Return when the queue time has passed, on the daemon's clock."""
        if not route.max_queue_s:
            return math.inf
        remaining_s = self.head.submitted_at + route.max_queue_s - self.ports.wall_clock()
        return self.ports.clock() + max(0.0, remaining_s)

    def _remaining_s(self, route: Route) -> float:
        """Return how long an engine may work on an item, which without a limit is a long time."""
        if not route.max_queue_s:
            return UNLIMITED_ATTEMPT_S
        expires_at = self.head.submitted_at + route.max_queue_s
        return max(MIN_ATTEMPT_S, expires_at - self.ports.wall_clock())

    async def _append_results(self) -> None:
        """Append finished results; those that finish close together share a segment."""
        while self.unfinished_count:
            if not self.finished_results:
                await self.result_finished.wait()
            with anyio.move_on_after(MAX_APPEND_DELAY_S):
                await self.group_finished.wait()
                await anyio.sleep(APPEND_LINGER_S)
            self.result_finished = anyio.Event()
            self.group_finished = anyio.Event()
            finished_results, self.finished_results = self.finished_results, []
            await self.log.append(finished_results)
            self.unfinished_count -= len(finished_results)

    async def _save_checkpoints(self, items: list[Item]) -> None:
        while True:
            await anyio.sleep(CHECKPOINT_PERIOD_S)
            await self.checkpoint.save([i for i in items if i.id not in self.log.result_ids])

    async def _run_item(self, item: Item, prioritized: bool) -> None:
        result = Result(item.id, STATE_FAILED)
        try:
            result = await self._produce_result(item, prioritized)
        except ItemFailedError as reason:
            log_message(
                message_type="item:failed",
                batch=self.batch_id,
                request=item.id,
                reason=str(reason),
            )
        self._add_result(item, result)

    async def _produce_result(self, item: Item, prioritized: bool) -> Result:
        min_version, route = self.submission.min_version, await self._batch_route()
        reused = self.texts.reusable_result(item, min_version, route.single_version)
        if reused is not None:
            log_message(message_type="item:result_reused", batch=self.batch_id, request=item.id)
            return reused
        if self.taken_over and item.id in self.restored_ids:
            await anyio.sleep(TAKEOVER_DELAY_S)
        with self.texts.open_text(item, min_version, route.single_version) as text:
            await self._generate(item, prioritized, text)
            score = None
            if item.score is not None:
                score = await score_text(
                    item.score, self.ports, self._score_route, self._check_queue_time
                )
            output = "\n".join(text.events)
            versions = tuple(sorted(text.versions))
        result = Result(item.id, STATE_COMPLETED, output, versions, score)
        self.texts.add_result(item, result)
        return result

    def _add_result(self, item: Item, result: Result) -> None:
        self.finished_results.append(result)
        self.result_finished.set()
        self.unfinished_by_group[item.group] -= 1
        if not self.unfinished_by_group[item.group]:
            self.group_finished.set()

    async def _generate(self, item: Item, prioritized: bool, text: GeneratedText) -> None:
        """Generate the whole text, resuming on other engines; raise ItemFailedError."""
        failures = 0
        avoided_upstream = ""
        while True:
            await self._check_queue_time()
            route = await self._batch_route()
            slot_request = self._slot_request(item, prioritized, route, text, avoided_upstream)
            if self.ports.scheduler.is_version_gone(slot_request):
                self._begin_anew(item, text, previous_version=slot_request.exact_version)
                continue
            started = self.ports.clock()
            async with self.ports.scheduler.acquire_slot(slot_request) as state:
                if state is None:
                    continue  # the route may lead elsewhere now, or the queue time has passed
                waited = self.ports.clock() - started
                self._clear_other_software(item, text, state)
                status, reason = await self._attempt(item, route, text, state)
            if reason == STOP_LIMITED:
                continue
            log_message(
                message_type="item:attempt",
                batch=self.batch_id,
                request=item.id,
                upstream=state.upstream.id,
                version=state.newest_version(self.submission.model),
                software_version=state.upstream.software_version,
                status=status,
                reason=reason,
                last_event=text.last_event_id,
                waited_s=round(waited, 3),
                ran_s=round(self.ports.clock() - started - waited, 3),
            )
            if status == STATUS_OK and not reason:
                return
            if status == STATUS_UNPROCESSABLE:
                raise ItemFailedError("engine rejected the item as unprocessable")
            if status == STATUS_SERVER_ERROR and reason == "failed":
                failures += 1
                if failures >= route.max_attempts:
                    raise ItemFailedError("all allowed attempts failed")
            avoided_upstream = state.upstream.id
            if reason not in (STOP_IDLE, STOP_SLOW):  # these have a free slot elsewhere
                delay_s = FULL_RETRY_DELAY_S if reason == "not run" else FAILED_RETRY_DELAY_S
                await anyio.sleep(delay_s)

    def _clear_other_software(self, item: Item, text: GeneratedText, state: UpstreamState) -> None:
        """Begin a text anew if the engine has another software version, which cannot resume it."""
        software_version = state.upstream.software_version
        if not text.events or text.software_version == software_version:
            return
        self._begin_anew(
            item,
            text,
            previous_software_version=text.software_version,
            software_version=software_version,
        )

    def _begin_anew(self, item: Item, text: GeneratedText, **reason: object) -> None:
        """Drop the text of an item that no engine can go on with."""
        log_message(
            message_type="item:begun_anew",
            batch=self.batch_id,
            request=item.id,
            events=len(text.events),
            **reason,
        )
        self.texts.clear_text(item, text)

    def _slot_request(
        self,
        item: Item,
        prioritized: bool,
        route: Route,
        text: GeneratedText,
        avoided_upstream: str,
    ) -> SlotRequest:
        configuration = self.ports.configuration()
        deadline = self.head.submitted_at + route.result_deadline_s
        exact_version = text.versions[0] if route.single_version and text.versions else None
        return SlotRequest(
            route.choose_service(0.0),
            self.submission.model,
            self.submission.min_version,
            (float(not prioritized), deadline, -float(item.expected_tokens)),
            item.group,
            exact_version,
            avoided_upstream,
            text.software_version if text.events else None,
            len(text.events) < MIN_CHECKPOINT_EVENTS,
            configuration.version if configuration is not None else 0,
            self._queue_expires_at(route),
            lambda: self._find_batch_route() == route,
        )

    async def _attempt(
        self, item: Item, route: Route, text: GeneratedText, state: UpstreamState
    ) -> tuple[int, str]:
        """Run an item on one engine; return the status and why the text is incomplete, if so."""
        ports = self.ports
        try:
            await ports.sender.acquire_permit(state, 0.0)
        except UpstreamError:
            return 0, STOP_LIMITED
        attempt = Attempt(
            state.upstream,
            item.id,
            self._remaining_s(route),
            self.head.customer,
            resume_after=text.last_event_id,
        )
        # This request only serves to find another engine for the stream, so its rank has no effect.
        slot_request = self._slot_request(item, True, route, text, state.upstream.id)
        stream = ActiveStream(
            slot_request,
            state,
            ports.clock(),
            is_upstream_fault=lambda: ports.sender.is_upstream_fault(attempt),
        )
        ports.scheduler.active_streams.append(stream)
        try:
            with stream.scope:
                return await self._stream_attempt(item, route, text, stream, attempt)
            return 0, stream.stop_reason
        except UpstreamError as error:
            # After a wrong response the engine works, only this connection is spoilt.
            if error.code != WRONG_RESPONSE and ports.sender.is_upstream_fault(attempt, error):
                state.record_failure(ports.clock())
                ports.sender.pool.close_idle_connections(state.upstream.address)
            return 0, error.message
        except Exception as error:  # a fault of one attempt must not stop the batch's other items
            state.record_failure(ports.clock())
            log_message(
                message_type="item:attempt_broken",
                batch=self.batch_id,
                request=item.id,
                upstream=state.upstream.id,
                error=repr(error),
            )
            return 0, ATTEMPT_BROKEN
        finally:
            ports.scheduler.active_streams.remove(stream)

    async def _stream_attempt(
        self,
        item: Item,
        route: Route,
        text: GeneratedText,
        stream: ActiveStream,
        attempt: Attempt,
    ) -> tuple[int, str]:
        ports, state = self.ports, stream.state
        headers = [(b"Host", self.head.host.encode()), *item.headers]
        async with ports.sender.open(
            state, attempt, "POST", item.path, headers, item.body
        ) as response:
            head, metadata = response.head, response.metadata
            if head.status != STATUS_OK:
                await response.exchange.read_body()
                if metadata.not_run:
                    state.record_overload(ports.clock())
                    return head.status, "not run"
            if head.status != STATUS_OK:
                return head.status, "failed"
            if not is_event_stream(head):
                raise UpstreamError("response is no stream of events", step=Step.RECEIVE)
            version = metadata.weight_version
            model = self.submission.model
            upstream = state.upstream
            if version is not None:
                ports.scheduler.table.observe_version(
                    upstream.id, upstream.lifetime, model, version
                )
            parse_events = ports.event_reader()
            async for chunk in response.exchange.chunks():
                for event in parse_events(chunk):
                    version = version if event.version is None else event.version
                    if version is None:  # checked here: a complete text has no further events
                        return head.status, "no weight version"
                    if not self._accepts_version(item, route, text, version):
                        return head.status, "weight version is not allowed"
                    if text.last_event_id is not None and event.id != text.last_event_id + 1:
                        return head.status, "event id is not consecutive"
                    excess = self.texts.append_event(item, text, event.id, event.data, version)
                    if excess:
                        # An engine before this one may have sent the excess, so nothing is kept.
                        self.texts.clear_text(item, text)
                        raise UpstreamError(excess, step=Step.RECEIVE, peer=upstream.id)
                    text.software_version = upstream.software_version
                    stream.slot_request.software_version = upstream.software_version
                    stream.record_event(ports.clock())
            parse_events.check_end()
            if not text.events:
                raise UpstreamError("stream has ended without an event", step=Step.RECEIVE)
        state.record_success()
        return STATUS_OK, ""

    def _accepts_version(self, item: Item, route: Route, text: GeneratedText, version: int) -> bool:
        """Return whether an event of this version can be appended to the text.

        A text that must have a single version is cleared if it has another one.
        """
        if version < self.submission.min_version:
            return False
        if route.single_version and text.versions and text.versions != [version]:
            self.texts.clear_text(item, text)
            return False
        return True

    async def _check_queue_time(self) -> None:
        """Raise ItemFailedError once the queue time has passed."""
        if self._exceeds_queue_time(await self._batch_route()):
            raise ItemFailedError("item exceeded the queue time")
