"""Run the items of one owned batch and list their results."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio
from eliot import log_message

from ..errors import AcaciarillError, Outcome, UpstreamError
from ..fleet import (
    Attempt,
    AttemptSender,
    Configuration,
    ForwardedRequest,
    Forwarder,
    Route,
    UpstreamState,
)
from ._checkpoint import TextCheckpoint
from ._log import ResultLog
from ._model import FIRST_EPOCH, BatchHead, Item, Result, ScoreRequest, StreamEvent, Submission
from ._scheduler import EngineScheduler, Place, Run
from ._texts import Text, TextStore
from .const import (
    APPEND_LINGER_S,
    APPEND_PARTIAL_S,
    CHECKPOINT_S,
    FAILED_PAUSE_S,
    FULL_PAUSE_S,
    REQUEST_ID_PLACEHOLDER,
    ROUTE_POLL_S,
    SCORE_RETRY_S,
    SCORE_TIMEOUT_S,
    STATE_COMPLETED,
    STATE_FAILED,
    TAKEOVER_SETTLE_S,
)

STATUS_OK = 200
STATUS_IMPOSSIBLE = 422
STATUS_FAILED = 500


@dataclass(slots=True)
class RunnerPorts:
    """Hold what runners share: engines, scoring, the configuration and the clocks."""

    sender: AttemptSender
    scheduler: EngineScheduler
    forwarder: Forwarder
    event_reader: Callable[[], Callable[[bytes], Iterable[StreamEvent]]]
    configuration: Callable[[], Configuration | None]
    clock: Callable[[], float]
    true_time: Callable[[], float]


def wanted_groups(submission: Submission) -> set[str]:
    """Return the groups to finish first: those whose longest text is expected to be shortest."""
    longest: dict[str, int] = {}
    for item in submission.items:
        longest[item.group] = max(longest.get(item.group, 0), item.expected_tokens)
    count = submission.desired_groups or len(longest)
    return set(sorted(longest, key=lambda group: longest[group])[:count])


class _Impossible(Exception):
    """Tell that an item can never be done."""


class BatchRunner:
    """Generate, score and list every item that is not listed yet."""

    def __init__(
        self,
        batch_id: str,
        head: BatchHead,
        submission: Submission,
        log: ResultLog,
        ports: RunnerPorts,
        texts: TextStore,
        taken_over: bool = False,
    ) -> None:
        self.texts = texts
        self.checkpoint = TextCheckpoint(batch_id, log.store, texts)
        self.taken_over = taken_over
        self.restored: set[str] = set()
        self.batch_id = batch_id
        self.head = head
        self.submission = submission
        self.log = log
        self.ports = ports
        self.ready: list[Result] = []
        self.wakeup = anyio.Event()
        self.some_ready = anyio.Event()
        self.missing: Counter[str] = Counter()
        self.scope = anyio.CancelScope()
        self.stopped = False
        self.unfinished = 0

    async def run(self) -> None:
        """Run until every item is listed, or `scope` is cancelled."""
        with self.scope:
            if self.head.epoch == FIRST_EPOCH:
                self.log.complete = True  # nobody has listed anything yet
            else:
                await self.log.load()
                self.restored = await self.checkpoint.load()
            self.ready.clear()  # of an earlier run that failed: its items are known by now
            pending = [item for item in self.submission.items if item.id not in self.log.listed]
            self.unfinished = len(pending)
            self.missing = Counter(item.group for item in pending)
            if not pending:
                return
            wanted = wanted_groups(self.submission)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._save_texts, pending)
                for item in pending:
                    tasks.start_soon(self._run_item, item, item.group in wanted)
                await self._append_results()
                tasks.cancel_scope.cancel()
            log_message(
                message_type="batch:finished", batch=self.batch_id, listed=len(self.log.results)
            )

    def stop(self) -> None:
        """End all runs; engines drop them when their connections close."""
        self.stopped = True
        self.scope.cancel()

    async def _route(self, host: str, path: str) -> Route:
        """Return a route; waits while the configuration here is older than the batch."""
        while True:
            configuration = self.ports.configuration()
            route = configuration.find_route(host, path) if configuration is not None else None
            if route is not None:
                return route
            if configuration is not None and configuration.version >= self.head.configuration:
                raise _Impossible("the route is gone")
            await anyio.sleep(ROUTE_POLL_S)

    async def _own_route(self) -> Route:
        return await self._route(self.head.host, self.head.path)

    def _given_up(self, route: Route) -> bool:
        if not route.max_queue_s:
            return False
        return self.ports.true_time() > self.head.submitted_at + route.max_queue_s

    async def _append_results(self) -> None:
        """Write finished results, those that end close together in one segment."""
        while self.unfinished:
            if not self.ready:
                await self.some_ready.wait()
            with anyio.move_on_after(APPEND_PARTIAL_S):
                await self.wakeup.wait()
                await anyio.sleep(APPEND_LINGER_S)
            self.some_ready = anyio.Event()
            self.wakeup = anyio.Event()
            ready, self.ready = self.ready, []
            await self.log.append(ready)
            self.unfinished -= len(ready)

    async def _save_texts(self, items: list[Item]) -> None:
        while True:
            await anyio.sleep(CHECKPOINT_S)
            await self.checkpoint.save([i for i in items if i.id not in self.log.listed])

    async def _run_item(self, item: Item, wanted: bool) -> None:
        result = Result(item.id, STATE_FAILED)
        try:
            result = await self._complete(item, wanted)
        except _Impossible as reason:
            log_message(
                message_type="item:given_up",
                batch=self.batch_id,
                request=item.id,
                reason=str(reason),
            )
        self._finish(item, result)

    async def _complete(self, item: Item, wanted: bool) -> Result:
        minimum, route = self.submission.min_version, await self._own_route()
        known = self.texts.result(item, minimum, route.single_version)
        if known is not None:
            log_message(message_type="item:known", batch=self.batch_id, request=item.id)
            return known
        if self.taken_over and item.id in self.restored:
            await anyio.sleep(TAKEOVER_SETTLE_S)
        text = self.texts.text(item, minimum, route.single_version)
        await self._generate(item, wanted, text)
        score = await self._score(item.score) if item.score is not None else None
        output = "\n".join(text.events)
        versions = tuple(sorted(text.versions))
        result = Result(item.id, STATE_COMPLETED, output, versions, score)
        self.texts.keep_result(item, result)
        return result

    def _finish(self, item: Item, result: Result) -> None:
        self.ready.append(result)
        self.some_ready.set()
        self.missing[item.group] -= 1
        if not self.missing[item.group]:
            self.wakeup.set()

    async def _generate(self, item: Item, wanted: bool, text: Text) -> None:
        """Generate the whole text, resuming on other engines; raise _Impossible."""
        failures = 0
        avoid = ""
        while True:
            route = await self._own_route()
            if self._given_up(route):
                raise _Impossible("it waited too long")
            place = self._place(item, wanted, route, text, avoid)
            started = self.ports.clock()
            async with self.ports.scheduler.place(place) as state:
                waited = self.ports.clock() - started
                status, reason = await self._attempt(item, route, text, state)
            log_message(
                message_type="item:attempt",
                batch=self.batch_id,
                request=item.id,
                upstream=state.upstream.id,
                version=state.newest_version(self.submission.model),
                status=status,
                reason=reason,
                last_event=text.last_id,
                waited_s=round(waited, 3),
                ran_s=round(self.ports.clock() - started - waited, 3),
            )
            if status == STATUS_OK and not reason:
                return
            if status == STATUS_IMPOSSIBLE:
                raise _Impossible("the engine says that it can never be done")
            if status == STATUS_FAILED and reason == "failed":
                failures += 1
                if failures >= route.max_attempts:
                    raise _Impossible("every attempt failed")
            avoid = state.upstream.id
            await anyio.sleep(FULL_PAUSE_S if reason == "not run" else FAILED_PAUSE_S)

    def _place(self, item: Item, wanted: bool, route: Route, text: Text, avoid: str) -> Place:
        deadline = self.head.submitted_at + route.result_deadline_s
        exact = text.versions[0] if route.single_version and text.versions else None
        return Place(
            route.choose_service(0.0),
            self.submission.model,
            self.submission.min_version,
            (float(not wanted), deadline, -float(item.expected_tokens)),
            item.group,
            exact,
            avoid,
        )

    async def _attempt(
        self, item: Item, route: Route, text: Text, state: UpstreamState
    ) -> tuple[int, str]:
        """Run an item on one engine; return the status and why the text is not whole, if so."""
        ports = self.ports
        attempt = Attempt(
            state.upstream,
            max(0.5, self.head.submitted_at + route.max_queue_s - ports.true_time()),
            self.head.customer,
            resume_after=text.last_id,
        )
        place = self._place(item, True, route, text, state.upstream.id)
        run = Run(place, state, ports.clock())
        ports.scheduler.active_streams.append(run)
        try:
            with run.scope:
                return await self._stream(item, route, text, run, attempt)
            return 0, run.stopped
        except UpstreamError as error:
            state.record_failure(ports.clock())
            ports.sender.pool.close_idle_connections(state.upstream.address)
            return 0, error.message
        finally:
            ports.scheduler.active_streams.remove(run)

    async def _stream(
        self,
        item: Item,
        route: Route,
        text: Text,
        run: Run,
        attempt: Attempt,
    ) -> tuple[int, str]:
        ports, state = self.ports, run.state
        headers = [
            (b"Host", self.head.host.encode()),
            *item.headers,
            (REQUEST_ID_PLACEHOLDER, item.id.encode()),
        ]
        async with ports.sender.open(
            state, attempt, "POST", item.path, headers, item.body
        ) as answer:
            head, facts = answer.head, answer.metadata
            if head.status != STATUS_OK:
                await answer.exchange.read_body()
                if facts.not_run:
                    state.record_overload(ports.clock())
                    return head.status, "not run"
            if facts.request_id != item.id:
                return 0, "the answer is not to this request"
            if head.status != STATUS_OK:
                return head.status, "failed"
            version = facts.weight_version
            model = self.submission.model
            upstream = state.upstream
            if version is not None:
                ports.scheduler.table.observe_version(
                    upstream.id, upstream.lifetime, model, version
                )
            read = ports.event_reader()
            async for chunk in answer.exchange.chunks():
                for event in read(chunk):
                    version = version if event.version is None else event.version
                    if version is None:  # a text that was whole already brings no event
                        return head.status, "no weight version"
                    if not self._fits(route, text, version):
                        return head.status, "the weight version does not fit"
                    if text.last_id is not None and event.id != text.last_id + 1:
                        return head.status, "an event is missing"
                    text.add(event.id, event.data, version)
                run.note_event(ports.clock())
        state.record_success()
        return STATUS_OK, ""

    def _fits(self, route: Route, text: Text, version: int) -> bool:
        """Tell whether an event of this version may join the text; else starts the text anew."""
        if version < self.submission.min_version:
            return False
        if route.single_version and text.versions and text.versions != [version]:
            text.clear()
            return False
        return True

    async def _score(self, score: ScoreRequest) -> str:
        """Return the proof of a finished scoring call."""
        errors = 0
        while True:
            route = await self._route(score.host, score.path)
            call = ForwardedRequest(
                score.id,
                "POST",
                score.path,
                [(b"Host", score.host.encode()), (REQUEST_ID_PLACEHOLDER, score.id.encode())],
                score.body,
                route,
                route.choose_service(self.ports.forwarder.rng.random()),
                "",
                self.ports.clock() + SCORE_TIMEOUT_S,
                metered=False,
            )
            try:
                reply = await self.ports.forwarder.forward(call)
                server_stamp = self.ports.sender.codec.decode(reply.head).server_stamp
                if reply.head.status // 100 == 2 and server_stamp:
                    return server_stamp
            except AcaciarillError as error:
                if error.outcome is Outcome.NOT_RUN and error.retry_after_s:
                    await anyio.sleep(error.retry_after_s)
            errors += call.server_error_count
            if errors >= route.max_attempts:
                raise _Impossible("every scoring attempt failed")
            if self._given_up(await self._own_route()):
                raise _Impossible("scoring waited too long")
            await anyio.sleep(SCORE_RETRY_S)
